"""Checks of the guarantees after a run.

They compare what callers recorded, the run logs of the backend servers and
the ledger. The router's own counters are not used.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from limpetwalk.ledger import base as ledger

from . import outcome

MAX_EXAMPLES = 3


@dataclass(frozen=True, slots=True)
class ServiceRun:
    """Execution of a non-idempotent call in a plain service's effects log.

    :param tag: tag that the caller put into the body.
    :param attempt_id: identifier of the attempt that was executed.
    """

    tag: str
    attempt_id: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of one check.

    :param guarantee: what must hold.
    :param case_count: number of cases that were checked.
    :param violations: number of cases in which it did not hold.
    :param examples: at most ``MAX_EXAMPLES`` of these cases.
    """

    guarantee: str
    case_count: int
    violations: int
    examples: tuple[str, ...] = ()


def _make_verdict(
    guarantee: str, case_count: int, violating: list[str]
) -> Verdict:
    return Verdict(
        guarantee, case_count, len(violating), tuple(violating[:MAX_EXAMPLES])
    )


def check_answers(outcomes: Iterable[outcome.Outcome]) -> Verdict:
    """Check that every answer is complete and belongs to its request."""
    answered = [o for o in outcomes if o.reason == "answered"]
    violating = [o.plan.key for o in answered if not (o.complete and o.own)]
    return _make_verdict(
        "answers are whole and the caller's own", len(answered), violating
    )


def check_single_runs(runs: Iterable[ServiceRun]) -> Verdict:
    """Check that no non-idempotent request was executed twice."""
    counts = Counter(run.tag for run in runs)
    violating = [tag for tag, count in counts.items() if count > 1]
    return _make_verdict(
        "non-idempotent requests ran at most once", len(counts), violating
    )


def check_not_run(
    outcomes: Iterable[outcome.Outcome],
    runs: Iterable[ServiceRun],
    tags: dict[str, str],
) -> Verdict:
    """Check that requests refused as ``not_run`` were not executed.

    :param tags: tag of each request by its key.
    """
    executed_tags = {run.tag for run in runs}
    refused = [o for o in outcomes if o.run == "not_run"]
    violating = [
        o.plan.key for o in refused if tags[o.plan.key] in executed_tags
    ]
    return _make_verdict(
        "refusals that say not_run are true", len(refused), violating
    )


def idempotency_key(entry: ledger.BillEntry) -> str:
    """Return the idempotency key of the request that a bill entry is for.

    In entries for requests without a stored record, the key is followed by a
    colon and the digest of the body.
    """
    return entry.request_key.partition(":")[0]


def check_bills(
    outcomes: Iterable[outcome.Outcome],
    entries: Iterable[ledger.BillEntry],
) -> Verdict:
    """Check that each answered request has one bill entry and none has two."""
    counts = Counter(idempotency_key(entry) for entry in entries)
    answered = [o for o in outcomes if o.answered]
    violating = [
        f"{o.plan.key}: {counts[o.plan.key]} entries"
        for o in answered
        if counts[o.plan.key] != 1
    ]
    duplicates = [f"{key}: {n} entries" for key, n in counts.items() if n > 1]
    return _make_verdict(
        "answered requests are billed once",
        len(answered),
        sorted(set(violating + duplicates)),
    )


def check_sessions(outcomes: Iterable[outcome.Outcome]) -> Verdict:
    """Check that each session got one version of each model."""
    versions: dict[tuple[str, str], set[str]] = {}
    for o in outcomes:
        if not (o.answered and o.session and o.version):
            continue
        model, _, version = o.version.partition(":")
        versions.setdefault((o.session, model), set()).add(version)
    violating = [
        f"{model}: {sorted(used)}"
        for (_, model), used in versions.items()
        if len(used) > 1
    ]
    return _make_verdict(
        "sessions keep their version", len(versions), violating
    )


def check_outcomes(outcomes: Iterable[outcome.Outcome]) -> Verdict:
    """Check that every request ended in an answer or a typed refusal."""
    all_outcomes = list(outcomes)
    violating = [
        f"{o.plan.key}: {o.reason}"
        for o in all_outcomes
        if o.reason == "untyped"
    ]
    return _make_verdict(
        "every refusal is typed", len(all_outcomes), violating
    )
