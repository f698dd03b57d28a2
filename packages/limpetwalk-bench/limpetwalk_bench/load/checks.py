"""Checks of the promises after a run.

The witnesses are what callers saw, the run logs of the backend servers and
the ledger; the router's own counters are not asked.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from limpetwalk.ledger import base as ledger

from . import outcome

EXAMPLES_SHOWN = 3


@dataclass(frozen=True, slots=True)
class ServiceRun:
    """One run of a non-idempotent call in a plain service's effects log.

    :param tag: tag that the caller put into the body.
    :param attempt_id: attempt that ran.
    """

    tag: str
    attempt_id: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of one check.

    :param promise: what must hold.
    :param looked_at: number of cases.
    :param broken: number of cases in which it did not hold.
    :param examples: a few of them.
    """

    promise: str
    looked_at: int
    broken: int
    examples: tuple[str, ...] = ()


def _verdict(promise: str, looked_at: int, bad: list[str]) -> Verdict:
    return Verdict(promise, looked_at, len(bad), tuple(bad[:EXAMPLES_SHOWN]))


def check_answers(outcomes: Iterable[outcome.Outcome]) -> Verdict:
    """Every answer is whole and belongs to its request."""
    answered = [o for o in outcomes if o.reason == "answered"]
    bad = [o.plan.key for o in answered if not (o.whole and o.own)]
    return _verdict(
        "answers are whole and the caller's own", len(answered), bad
    )


def check_single_runs(runs: Iterable[ServiceRun]) -> Verdict:
    """No non-idempotent request ran twice."""
    counts = Counter(run.tag for run in runs)
    bad = [tag for tag, count in counts.items() if count > 1]
    return _verdict(
        "non-idempotent requests ran at most once", len(counts), bad
    )


def check_not_run(
    outcomes: Iterable[outcome.Outcome],
    runs: Iterable[ServiceRun],
    tags: dict[str, str],
) -> Verdict:
    """A refusal that says ``not_run`` is true.

    :param tags: tag of each request by its key.
    """
    ran = {run.tag for run in runs}
    refused = [o for o in outcomes if o.run == "not_run"]
    bad = [o.plan.key for o in refused if tags[o.plan.key] in ran]
    return _verdict("refusals that say not_run are true", len(refused), bad)


def idempotency_key(entry: ledger.BillEntry) -> str:
    """Return the key of a load request that a bill entry stands for.

    A node that keeps no record of a request adds the body's digest.
    """
    return entry.request_key.partition(":")[0]


def check_bills(
    outcomes: Iterable[outcome.Outcome],
    entries: Iterable[ledger.BillEntry],
) -> Verdict:
    """Every answered request has one bill entry and none has two."""
    counts = Counter(idempotency_key(entry) for entry in entries)
    answered = [o for o in outcomes if o.answered]
    bad = [
        f"{o.plan.key}: {counts[o.plan.key]} entries"
        for o in answered
        if counts[o.plan.key] != 1
    ]
    doubled = [f"{key}: {n} entries" for key, n in counts.items() if n > 1]
    return _verdict(
        "answered requests are billed once",
        len(answered),
        sorted(set(bad + doubled)),
    )


def check_sessions(outcomes: Iterable[outcome.Outcome]) -> Verdict:
    """Every session was answered by one version of each model."""
    versions: dict[tuple[str, str], set[str]] = {}
    for o in outcomes:
        if not (o.answered and o.session and o.version):
            continue
        model, _, version = o.version.partition(":")
        versions.setdefault((o.session, model), set()).add(version)
    bad = [
        f"{model}: {sorted(found)}"
        for (_, model), found in versions.items()
        if len(found) > 1
    ]
    return _verdict("sessions keep their version", len(versions), bad)


def check_outcomes(outcomes: Iterable[outcome.Outcome]) -> Verdict:
    """Every request ended in an answer or a typed refusal."""
    total = list(outcomes)
    bad = [f"{o.plan.key}: {o.reason}" for o in total if o.reason == "untyped"]
    return _verdict("every refusal is typed", len(total), bad)
