"""Each guarantee, violated once on purpose and held once."""

import dataclasses
import unittest

import multidict

from limpetwalk_bench.hub import server
from limpetwalk_bench.hub import site
from limpetwalk_bench.soak import callers
from limpetwalk_bench.soak import checks
from limpetwalk_bench.soak import fault_plan
from limpetwalk_bench.soak import operator_model

START = 100.0
RULES = operator_model.Rules(
    {site.API_KEY: site.WORKSPACE}, {"once": False, "again": False}
)


def make_outcome(route: str = "once", **changes: object) -> callers.Outcome:
    """Return the outcome of request c-1 with a complete answer of p-1."""
    base = callers.Outcome(
        id="c-1",
        route=route,
        node="node-1",
        sent_at=START + 1,
        ended_at=START + 1.1,
        status=200,
        seal="seal-p-1",
        answered_attempt_id="c-1",
        body=b"done c-1",
        complete=True,
    )
    return dataclasses.replace(base, **changes)


def make_request(
    attempt_id: str = "c-1", **changes: object
) -> server.ReceivedRequest:
    """Return a request that a server executed."""
    headers = multidict.CIMultiDict(
        {
            "Attempt-Id": attempt_id,
            "Deadline-Ms": "2400",
            "Tenant": site.WORKSPACE,
        }
    )
    base = server.ReceivedRequest(
        "POST", "/once/x", headers, attempt_id.encode(), True, START + 1.05
    )
    return dataclasses.replace(base, **changes)


class FindViolations(unittest.TestCase):
    """Violations found in recorded outcomes and executions."""

    def violated(
        self,
        outcome: callers.Outcome,
        *requests: server.ReceivedRequest,
        faults: tuple[fault_plan.Fault, ...] = (),
        calm_from: float = START + 50,
        more_outcomes: tuple[callers.Outcome, ...] = (),
        replacements: tuple[tuple[str, float], ...] = (),
        history: operator_model.History | None = None,
    ) -> set[str]:
        p1 = server.Server("p-1")
        p1.received.extend(requests)
        calm_outcome = make_outcome(
            id="last", route="calm", sent_at=START + 60, ended_at=START + 60.1
        )
        calm_request = make_request("last", received_at=START + 60.05)
        calm_outcome = dataclasses.replace(
            calm_outcome,
            route="again",
            answered_attempt_id="last",
            body=b"done last",
        )
        p1.received.append(calm_request)
        observations = checks.Observations(
            [outcome, *more_outcomes, calm_outcome],
            {"p-1": p1},
            faults,
            START,
            calm_from,
            replacements,
            history,
        )
        return {
            violation.promise
            for violation in checks.find_violations(observations)
        }

    def test_complete_answer_violates_nothing(self) -> None:
        self.assertEqual(set(), self.violated(make_outcome(), make_request()))

    def test_second_execution(self) -> None:
        violations = self.violated(
            make_outcome(), make_request(), make_request()
        )
        self.assertEqual({"once", "attempts"}, violations)

    def test_second_execution_of_an_idempotent_request_is_allowed(
        self,
    ) -> None:
        self.assertEqual(
            set(),
            self.violated(
                make_outcome("again"), make_request(), make_request()
            ),
        )

    def test_too_many_servers(self) -> None:
        violations = self.violated(
            make_outcome("again"),
            make_request(),
            make_request(),
            make_request(),
        )
        self.assertEqual({"attempts"}, violations)

    def test_refusal_of_an_executed_request(self) -> None:
        refused = make_outcome(status=503, seal="", body=b"")
        self.assertEqual({"not_run"}, self.violated(refused, make_request()))
        self.assertEqual(set(), self.violated(refused))

    def test_extended_deadline(self) -> None:
        extended = make_request()
        extended.headers["Deadline-Ms"] = "2600"
        self.assertEqual({"deadline"}, self.violated(make_outcome(), extended))

    def test_rejected_request(self) -> None:
        rejected = make_outcome(status=404, seal="", body=b"")
        self.assertEqual({"denied"}, self.violated(rejected))

    def test_answer_of_another_request(self) -> None:
        other = make_outcome(answered_attempt_id="c-2")
        self.assertEqual({"own_answer"}, self.violated(other, make_request()))
        self.assertEqual({"own_answer"}, self.violated(make_outcome()))

    def test_truncated_body(self) -> None:
        cut = make_outcome(body=b"done c")
        self.assertEqual({"whole"}, self.violated(cut, make_request()))

    def test_stream_with_a_gap_or_a_duplicate(self) -> None:
        numbers = (1, 2, 3, 4, 5)
        for received in (
            numbers,
            (1, 2, 4, 5),
            (1, 2, 2, 3, 4, 5),
            numbers[:4],
        ):
            body = b"".join(map(server.event, received))
            violations = self.violated(
                make_outcome("stream", body=body), make_request()
            )
            expected = set() if received == numbers else {"whole"}
            self.assertEqual(expected, violations, received)

    def test_request_that_no_caller_sent(self) -> None:
        violations = self.violated(
            make_outcome(), make_request(), make_request("c-9")
        )
        self.assertEqual({"unasked"}, violations)

    def test_changed_body(self) -> None:
        changed = make_request(body=b"c-1 and more")
        self.assertEqual({"unasked"}, self.violated(make_outcome(), changed))

    def test_cut_connection(self) -> None:
        cut = make_outcome(
            status=0, seal="", body=b"", complete=False, error="cut"
        )
        self.assertEqual({"finished"}, self.violated(cut, make_request()))

    def test_cut_answer_is_excused_by_an_outage(self) -> None:
        cut = make_outcome(
            status=0, seal="", body=b"", complete=False, error="cut"
        )
        for kind, target, expected in (
            (fault_plan.FaultKind.KILL, "node-1", set()),
            (fault_plan.FaultKind.KILL, "node-2", {"finished"}),
            (fault_plan.FaultKind.TERM, "node-1", {"finished"}),
            (fault_plan.FaultKind.RELOAD, "node-1", {"finished"}),
            (fault_plan.FaultKind.SERVER_TRUNCATES, "p-1", set()),
            (fault_plan.FaultKind.STORE_DOWN, "", {"finished"}),
        ):
            fault = fault_plan.Fault(0.9, 0.5, kind, target)
            violations = self.violated(cut, make_request(), faults=(fault,))
            self.assertEqual(expected, violations, kind)

    def test_replaced_node_may_cut_in_the_last_sixth_of_its_grace(
        self,
    ) -> None:
        cut = make_outcome(complete=False, error="reset")
        for node, age, excused in (
            ("node-1", 3.0, False),
            ("node-1", 3.4, True),
            ("node-1", 3.9, True),
            ("node-1", 4.0, False),
            ("node-2", 3.4, False),
        ):
            with self.subTest(node=node, age=age):
                stops = ((node, cut.ended_at - age),)
                violations = self.violated(
                    cut, make_request(), replacements=stops
                )
                self.assertEqual(excused, "finished" not in violations)

    def test_request_with_a_key_that_was_taken_away(self) -> None:
        for age, status, key, broken in (
            (2.0, 200, site.API_KEY, set()),
            (4.0, 200, site.API_KEY, {"allowed", "workspace"}),
            (4.0, 401, site.API_KEY, set()),
            (4.0, 404, site.API_KEY, set()),
            (4.0, 413, site.API_KEY, {"denied"}),
            (2.0, 200, "key-of-nobody", {"allowed", "workspace"}),
        ):
            with self.subTest(age=age, status=status, key=key):
                outcome = make_outcome(status=status, key=key)
                request = make_request()
                self.assertEqual(
                    broken,
                    self.violated(
                        outcome,
                        *([request] if status == 200 else []),
                        history=self.history_with_a_key_taken(age),
                    ),
                )

    def test_request_that_all_configurations_allow_is_denied(self) -> None:
        history = operator_model.History(RULES)
        violations = self.violated(make_outcome(status=401), history=history)
        self.assertIn("denied", violations)

    def test_request_of_another_workspace(self) -> None:
        request = make_request()
        request.headers["Tenant"] = "workspace-2"
        violations = self.violated(
            make_outcome(), request, history=operator_model.History(RULES)
        )
        self.assertIn("workspace", violations)

    def test_request_at_a_server_of_an_evacuated_zone(self) -> None:
        for age, broken in ((5.0, False), (7.0, True)):
            request = make_request()
            history = operator_model.History(RULES)
            history.evacuations.append(
                operator_model.Evacuation(
                    frozenset(("p-1",)), request.received_at - age, START + 40
                )
            )
            violations = self.violated(
                make_outcome(), request, history=history
            )
            self.assertEqual(broken, "evacuated" in violations, age)

    def history_with_a_key_taken(self, age: float) -> operator_model.History:
        """Return a history of a key that was taken away before a request."""
        history = operator_model.History(RULES)
        at = make_outcome().sent_at - age
        history.write(operator_model.Rules({}, RULES.routes), at, at)
        history.write(RULES, START + 50, START + 50)
        return history

    def test_hung_request(self) -> None:
        hung = make_outcome(
            status=0, seal="", body=b"", complete=False, hung=True
        )
        self.assertEqual({"answered"}, self.violated(hung))
        pause = fault_plan.Fault(
            0.5, 2.0, fault_plan.FaultKind.PAUSE, "node-1"
        )
        self.assertEqual(set(), self.violated(hung, faults=(pause,)))

    def test_request_at_a_server_that_has_left(self) -> None:
        late = make_outcome(sent_at=START + 14, ended_at=START + 14.2)
        reached = make_request(received_at=START + 14.1)
        leave = fault_plan.Fault(
            10.0, 8.0, fault_plan.FaultKind.SERVER_LEAVES, "p-1"
        )
        violations = self.violated(late, reached, faults=(leave,))
        self.assertEqual({"drain"}, violations)
        down = fault_plan.Fault(9.0, 2.0, fault_plan.FaultKind.STORE_DOWN)
        violations = self.violated(late, reached, faults=(leave, down))
        self.assertEqual(set(), violations)

    def test_failure_after_the_last_fault(self) -> None:
        failed = make_outcome(
            sent_at=START + 55,
            ended_at=START + 55.1,
            status=502,
            body=b"",
            seal="",
        )
        self.assertEqual({"recovery"}, self.violated(failed))

    def test_silence_is_no_excuse(self) -> None:
        cut = make_outcome("stream", body=b"", complete=False, error="cut")
        silence = fault_plan.Fault(
            0.9, 1.0, fault_plan.FaultKind.SERVER_SILENT, "p-1"
        )
        violations = self.violated(cut, make_request(), faults=(silence,))
        self.assertEqual({"finished"}, violations)

    def test_silent_server_is_waited_for(self) -> None:
        silence = fault_plan.Fault(
            0.9, 1.0, fault_plan.FaultKind.SERVER_SILENT, "p-1"
        )
        errors = fault_plan.Fault(
            0.9, 1.0, fault_plan.FaultKind.SERVER_ERRORS, "p-1"
        )
        for ended_at, faults, expected in (
            (START + 2, (silence,), {"waited"}),
            (START + 2, (), set()),
            (START + 2, (silence, errors), set()),
            (START + 3.4, (silence,), set()),
        ):
            given_up = make_outcome(
                status=502, seal="", body=b"", ended_at=ended_at
            )
            violations = self.violated(given_up, make_request(), faults=faults)
            self.assertEqual(expected, violations, (ended_at, faults))

    def test_cut_answer_is_excused_by_a_cut_link(self) -> None:
        cut = make_outcome("stream", body=b"", complete=False, error="cut")
        for link_cut, node, server_id, expected in (
            (fault_plan.LinkCut.HANG, "node-1", "p-1", set()),
            (fault_plan.LinkCut.RESET, "node-1", "p-1", set()),
            (fault_plan.LinkCut.REFUSE, "node-1", "p-1", {"finished"}),
            (fault_plan.LinkCut.HANG, "node-2", "p-1", {"finished"}),
            (fault_plan.LinkCut.HANG, "node-1", "p-2", {"finished"}),
        ):
            fault = cut_links(0.9, 0.5, node, (server_id,), link_cut)
            violations = self.violated(cut, make_request(), faults=(fault,))
            self.assertEqual(expected, violations, fault)

    def test_answer_may_be_lost_with_the_peer_that_passes_it_on(self) -> None:
        cut = make_outcome("stream", body=b"", complete=False, error="cut")
        kill = fault_plan.Fault(0.9, 0.5, fault_plan.FaultKind.KILL, "node-2")
        peer = make_outcome(
            id="c-2", route="again", node="node-2", answered_attempt_id="c-2"
        )
        peer = dataclasses.replace(peer, body=b"done c-2")
        requests = (make_request(), make_request("c-2"))
        for links, outcome, expected in (
            (cut_links(0.5, 3.0, "node-1"), cut, set()),
            (cut_links(0.5, 3.0, "node-2"), cut, {"finished"}),
            (
                cut_links(0.5, 3.0, "node-1", (), fault_plan.LinkCut.REFUSE),
                dataclasses.replace(cut, status=0),
                {"finished"},
            ),
        ):
            violations = self.violated(
                outcome,
                *requests,
                faults=(kill, links),
                more_outcomes=(peer,),
            )
            self.assertEqual(expected, violations, links)


def cut_links(
    at: float,
    duration: float,
    node: str,
    servers: tuple[str, ...] = ("p-1",),
    link_cut: fault_plan.LinkCut = fault_plan.LinkCut.REFUSE,
) -> fault_plan.Fault:
    """Return a cut of a node's links to servers."""
    return fault_plan.Fault(
        at,
        duration,
        fault_plan.FaultKind.NODE_LINKS,
        node,
        link_cut=link_cut,
        servers=servers,
    )


class NodesWithoutLinks(unittest.TestCase):
    """Requests at nodes that are cut off from all servers."""

    def violated(
        self,
        served: int,
        failed: int,
        *faults: fault_plan.Fault,
        sent_at: float = START + 12.5,
        others_served: int = 90,
        others_failed: int = 10,
    ) -> bool:
        """Return whether the service at node-1 is too poor.

        :param served: number of requests served at node-1.
        :param failed: number of requests that failed there.
        :param sent_at: time at which all requests were sent, in seconds.
        :param others_served: number of requests served at node-2.
        """
        outcomes = []
        for node, count, status in (
            ("node-1", served, 200),
            ("node-1", failed, 503),
            ("node-2", others_served, 200),
            ("node-2", others_failed, 503),
        ):
            outcome = make_outcome(
                node=node, status=status, sent_at=sent_at, ended_at=sent_at + 1
            )
            outcomes += [outcome] * count
        observations = checks.Observations(
            outcomes,
            {"p-1": server.Server("p-1"), "p-2": server.Server("p-2")},
            faults,
            START,
            START + 50,
        )
        return "cut_nodes" in {
            violation.promise
            for violation in checks.find_violations(observations)
        }

    cut = cut_links(11.0, 3.0, "node-1", ("p-1", "p-2"))

    def test_bound(self) -> None:
        # 0.6 is two thirds of the others' 0.9. Of 200 requests, 14 may fail.
        for served, failed, expected in (
            (60, 40, False),
            (59, 41, True),
            (0, 100, True),
            (0, 12, False),
            (0, 13, True),
        ):
            self.assertIs(
                expected, self.violated(served, failed, self.cut), served
            )

    def test_other_times(self) -> None:
        for sent_at, expected in (
            (START + 10.9, False),
            (START + 11.9, False),
            (START + 12.1, True),
            (START + 13.9, True),
            (START + 14.1, False),
        ):
            violated = self.violated(0, 100, self.cut, sent_at=sent_at)
            self.assertIs(expected, violated, sent_at)

    def test_some_servers_only(self) -> None:
        cut = cut_links(11.0, 3.0, "node-1", ("p-1",))
        self.assertFalse(self.violated(0, 100, cut))

    def test_all_nodes(self) -> None:
        other = cut_links(11.5, 2.0, "node-2", ("p-1", "p-2"))
        self.assertFalse(self.violated(0, 100, self.cut, other))

    def test_cuts_that_come_and_go(self) -> None:
        again = cut_links(15.0, 3.0, "node-1", ("p-1", "p-2"))
        for sent_at, expected in ((15.5, False), (16.5, True)):
            violated = self.violated(
                0, 100, self.cut, again, sent_at=START + sent_at
            )
            self.assertIs(expected, violated, sent_at)

    def test_nodes_out_of_touch_do_not_count(self) -> None:
        for kind, target, expected in (
            (fault_plan.FaultKind.KILL, "node-1", False),
            (fault_plan.FaultKind.KILL, "node-2", False),
            (fault_plan.FaultKind.TERM, "node-1", False),
            (fault_plan.FaultKind.PAUSE, "node-1", False),
            (fault_plan.FaultKind.STORE_DOWN, "", False),
            (fault_plan.FaultKind.STORE_LINK, "node-1", False),
            (fault_plan.FaultKind.RELOAD, "node-1", True),
            (fault_plan.FaultKind.SERVER_ERRORS, "p-1", True),
        ):
            fault = fault_plan.Fault(11.6, 0.5, kind, target)
            self.assertIs(
                expected, self.violated(0, 100, self.cut, fault), kind
            )
