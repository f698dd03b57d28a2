"""Each promise, broken once on purpose and kept once."""

import dataclasses
import unittest

import multidict

from limpetwalk_bench.hub import server
from limpetwalk_bench.soak import callers
from limpetwalk_bench.soak import checks
from limpetwalk_bench.soak import plan

START = 100.0


def outcome(kind: str = "once", **changes: object) -> callers.Outcome:
    """Return a whole answer of server p-1 to request c-1."""
    held = callers.Outcome(
        id="c-1",
        kind=kind,
        node="node-1",
        sent=START + 1,
        ended=START + 1.1,
        status=200,
        seal="seal-p-1",
        echoed="c-1",
        body=b"done c-1",
        whole=True,
    )
    return dataclasses.replace(held, **changes)


def run(attempt: str = "c-1", **changes: object) -> server.ReceivedRequest:
    """Return a request that a server ran."""
    headers = multidict.CIMultiDict(
        {"Attempt-Id": attempt, "Deadline-Ms": "2400"}
    )
    held = server.ReceivedRequest(
        "POST", "/once/x", headers, attempt.encode(), True, START + 1.05
    )
    return dataclasses.replace(held, **changes)


class Promises(unittest.TestCase):
    """Findings of the judge."""

    def judge(
        self,
        held: callers.Outcome,
        *runs: server.ReceivedRequest,
        faults: tuple[plan.Fault, ...] = (),
        calm_from: float = START + 50,
        more: tuple[callers.Outcome, ...] = (),
    ) -> set[str]:
        p1 = server.Server("p-1")
        p1.received.extend(runs)
        calm = outcome(
            id="last", kind="calm", sent=START + 60, ended=START + 60.1
        )
        last = run("last", received_at=START + 60.05)
        calm = dataclasses.replace(
            calm, kind="again", echoed="last", body=b"done last"
        )
        p1.received.append(last)
        seen = checks.Soaked(
            [held, *more, calm], {"p-1": p1}, faults, START, calm_from
        )
        return {each.promise for each in checks.judge(seen)}

    def test_whole_answer_keeps_all(self) -> None:
        self.assertEqual(set(), self.judge(outcome(), run()))

    def test_second_run(self) -> None:
        broken = self.judge(outcome(), run(), run())
        self.assertEqual({"once", "attempts"}, broken)

    def test_second_run_of_an_idempotent_request_is_kept(self) -> None:
        self.assertEqual(set(), self.judge(outcome("again"), run(), run()))

    def test_too_many_servers(self) -> None:
        broken = self.judge(outcome("again"), run(), run(), run())
        self.assertEqual({"attempts"}, broken)

    def test_refusal_of_what_ran(self) -> None:
        refused = outcome(status=503, seal="", body=b"")
        self.assertEqual({"not_run"}, self.judge(refused, run()))
        self.assertEqual(set(), self.judge(refused))

    def test_longer_deadline(self) -> None:
        longer = run()
        longer.headers["Deadline-Ms"] = "2600"
        self.assertEqual({"deadline"}, self.judge(outcome(), longer))

    def test_denial(self) -> None:
        denied = outcome(status=404, seal="", body=b"")
        self.assertEqual({"denied"}, self.judge(denied))

    def test_answer_of_another_request(self) -> None:
        other = outcome(echoed="c-2")
        self.assertEqual({"own_answer"}, self.judge(other, run()))
        self.assertEqual({"own_answer"}, self.judge(outcome()))

    def test_other_bytes(self) -> None:
        cut = outcome(body=b"done c")
        self.assertEqual({"whole"}, self.judge(cut, run()))

    def test_stream_with_a_gap_or_a_repeat(self) -> None:
        numbers = (1, 2, 3, 4, 5)
        for held in (numbers, (1, 2, 4, 5), (1, 2, 2, 3, 4, 5), numbers[:4]):
            body = b"".join(map(server.event, held))
            broken = self.judge(outcome("stream", body=body), run())
            expected = set() if held == numbers else {"whole"}
            self.assertEqual(expected, broken, held)

    def test_request_that_no_caller_sent(self) -> None:
        broken = self.judge(outcome(), run(), run("c-9"))
        self.assertEqual({"unasked"}, broken)

    def test_changed_body(self) -> None:
        changed = run(body=b"c-1 and more")
        self.assertEqual({"unasked"}, self.judge(outcome(), changed))

    def test_cut_answer(self) -> None:
        cut = outcome(status=0, seal="", body=b"", whole=False, error="cut")
        self.assertEqual({"finished"}, self.judge(cut, run()))

    def test_cut_answer_of_a_killed_node_is_kept(self) -> None:
        cut = outcome(status=0, seal="", body=b"", whole=False, error="cut")
        for kind, target, expected in (
            (plan.Kind.KILL, "node-1", set()),
            (plan.Kind.KILL, "node-2", {"finished"}),
            (plan.Kind.TERM, "node-1", {"finished"}),
            (plan.Kind.RELOAD, "node-1", {"finished"}),
            (plan.Kind.SERVER_BREAKS, "p-1", set()),
            (plan.Kind.STORE_DOWN, "", {"finished"}),
        ):
            fault = plan.Fault(0.9, 0.5, kind, target)
            broken = self.judge(cut, run(), faults=(fault,))
            self.assertEqual(expected, broken, kind)

    def test_no_answer(self) -> None:
        hung = outcome(status=0, seal="", body=b"", whole=False, hung=True)
        self.assertEqual({"answered"}, self.judge(hung))
        pause = plan.Fault(0.5, 2.0, plan.Kind.PAUSE, "node-1")
        self.assertEqual(set(), self.judge(hung, faults=(pause,)))

    def test_request_at_a_server_that_has_left(self) -> None:
        late = outcome(sent=START + 14, ended=START + 14.2)
        reached = run(received_at=START + 14.1)
        leave = plan.Fault(10.0, 8.0, plan.Kind.LEAVE, "p-1")
        broken = self.judge(late, reached, faults=(leave,))
        self.assertEqual({"drain"}, broken)
        down = plan.Fault(9.0, 2.0, plan.Kind.STORE_DOWN)
        broken = self.judge(late, reached, faults=(leave, down))
        self.assertEqual(set(), broken)

    def test_failure_after_the_last_fault(self) -> None:
        failed = outcome(
            sent=START + 55, ended=START + 55.1, status=502, body=b"", seal=""
        )
        self.assertEqual({"recovery"}, self.judge(failed))
