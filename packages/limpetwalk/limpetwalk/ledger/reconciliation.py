"""Compares the ledger with answers to callers and runs at servers."""

import collections
from collections.abc import Iterable
from dataclasses import dataclass

from . import base


@dataclass(frozen=True, slots=True)
class Answered:
    """Request whose complete answer a caller received.

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
    """Differences found; all fields are empty when there are none.

    :param unbilled: answered requests without a bill entry.
    :param unanswered: bill entries of requests without a known answer at a
        caller.
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
    def is_consistent(self) -> bool:
        """Whether every answer is billed once and nothing ran twice.

        An entry without a known answer is consistent, as the caller may have
        disconnected before it read the answer.
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

    :param entries: all entries of the log, duplicates included.
    :param answers: answers that callers received.
    :param runs: runs from the logs of all backend servers.
    """
    entry_list = list(entries)
    answered = set(answers)
    run_list = list(runs)
    billed_counts = collections.Counter(_key_of(entry) for entry in entry_list)
    run_ids = {run.request_id for run in run_list}
    non_idempotent_counts = collections.Counter(
        run.request_id for run in run_list if not run.idempotent
    )
    return Reconciliation(
        unbilled=_sort_keys(answered - billed_counts.keys()),
        unanswered=_sort_keys(billed_counts.keys() - answered),
        doubled=_sort_keys(
            {key for key, count in billed_counts.items() if count > 1}
        ),
        unrun=_sort_keys(
            {
                _key_of(entry)
                for entry in entry_list
                if entry.request_id not in run_ids
            }
        ),
        run_twice=tuple(
            sorted(
                request_id
                for request_id, count in non_idempotent_counts.items()
                if count > 1
            )
        ),
    )


def _key_of(entry: base.BillEntry) -> Answered:
    return Answered(entry.workspace, entry.request_key)


def _sort_keys(keys: set[Answered]) -> tuple[Answered, ...]:
    return tuple(
        sorted(keys, key=lambda key: (key.workspace, key.request_key))
    )
