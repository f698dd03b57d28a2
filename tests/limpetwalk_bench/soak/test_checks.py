"""Each guarantee, violated once on purpose and held once."""

import dataclasses
import unittest

import multidict

from limpetwalk_bench.hub import server
from limpetwalk_bench.soak import callers
from limpetwalk_bench.soak import checks
from limpetwalk_bench.soak import fault_plan

START = 100.0


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
        {"Attempt-Id": attempt_id, "Deadline-Ms": "2400"}
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
