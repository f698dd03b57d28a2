"""Compares the ledger with the answers given and the runs at servers."""

import collections
from collections.abc import Iterable
from dataclasses import dataclass

from . import base


@dataclass(frozen=True, slots=True)
class Answered:
    """Request whose whole answer a caller received.

    :param workspace: workspace of the caller.
    :param request_key: idempotency key, or the request id without one.
    """

    workspace: str
    request_key: str


@dataclass(frozen=True, slots=True)
class Run:
    """Run in the log of a backend server.

    :param request_id: identifier of the request.
    :param server: backend server.
    :param idempotent: whether the request may run more than once.
    """

    request_id: str
    server: str
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Reconciliation:
    """What does not agree; all empty when everything does.

    :param unbilled: answered requests without a bill entry.
    :param unanswered: bill entries of requests that no caller is known to
        have received an answer to.
    :param doubled: keys with more than one bill entry.
    :param unrun: bill entries of requests that no server ran.
    :param run_twice: non-idempotent requests that ran more than once.
    """

    unbilled: tuple[Answered, ...]
    unanswered: tuple[Answered, ...]
    doubled: tuple[Answered, ...]
    unrun: tuple[Answered, ...]
    run_twice: tuple[str, ...]

    @property
    def kept(self) -> bool:
        """Whether every answer is billed once and nothing ran twice.

        An entry without a known answer does not break it: the caller may
        have gone before it read the answer.
        """
        return not (
            self.unbilled or self.doubled or self.unrun or self.run_twice
        )


def reconcile(
    entries: Iterable[base.BillEntry],
    answers: Iterable[Answered],
    runs: Iterable[Run],
) -> Reconciliation:
    """Compare bill entries, answers and runs.

    :param entries: entries as they stand in the log, repeats included.
    :param answers: answers that callers received.
    :param runs: logs of all backend servers.
    """
    held = list(entries)
    answered = set(answers)
    logged = list(runs)
    billed = collections.Counter(_key(entry) for entry in held)
    ran = {run.request_id for run in logged}
    strict = collections.Counter(
        run.request_id for run in logged if not run.idempotent
    )
    return Reconciliation(
        unbilled=_sorted(answered - billed.keys()),
        unanswered=_sorted(billed.keys() - answered),
        doubled=_sorted({key for key, count in billed.items() if count > 1}),
        unrun=_sorted(
            {_key(entry) for entry in held if entry.request_id not in ran}
        ),
        run_twice=tuple(
            sorted(name for name, count in strict.items() if count > 1)
        ),
    )


def _key(entry: base.BillEntry) -> Answered:
    return Answered(entry.workspace, entry.request_key)


def _sorted(keys: set[Answered]) -> tuple[Answered, ...]:
    return tuple(
        sorted(keys, key=lambda key: (key.workspace, key.request_key))
    )
