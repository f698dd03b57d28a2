"""When a roll-out goes on, is complete or is taken back.

Answers the load of a version that fails, or turns slow, from its start,
later, under load or on one route only: a small share of sessions tries it,
a sequential test over the evidence of all nodes may stop it at any moment,
and it gets all work only when even a version that never showed its fault
would stay within the allowed exposure until the end of the period.
"""

from dataclasses import dataclass
from dataclasses import replace

from ..rollouts import evidence
from ..rollouts import guard
from . import rollout
from . import types

# Chance that a good version is taken back. That costs the operator another
# order; a bad version that stays breaks a promise.
ALPHA = 0.05
# Requests that are to try the new version before it gets all work. The
# platform counts from the fiftieth bad answer until the version must be taken
# back, and slow answers are hard to tell; so few that the fiftieth does not
# come, also when twice the requests come that the rate tells.
CANARY_REQUESTS = 24
# Most and least parts of the allowed exposure share that the canary share
# uses. What it leaves pays for the last seconds, with all work on the new
# version; a smaller one shows a service of ten requests a second too little.
MOST_CANARY_PART = 0.5
LEAST_CANARY_PART = 0.03
# Part of the allowed exposure up to which all work may be planned for; counts
# of the nodes come late, and requests under way are not in them.
PLANNED_PART = 0.9
# Part of the period before which sessions keep the old version, and the
# margin in seconds for nodes that heard of the order late.
FIRST_HALF = 0.5
HALF_MARGIN = 0.4
# Share of failures beyond the old version's with which the new one does not
# get all work.
DOUBTFUL_EXCESS = 0.08
# Least failures that take it back for doubt alone.
DOUBTFUL_FAILURES = 2
# Part of the allowed exposure at which doubt is enough to take it back; the
# rest is on its way while evidence travels.
LIMIT_PART = 0.5
# Good answers of the new version that are wanted before it gets all work, or
# at the latest before the old one is stopped: there is no way back then.
ENOUGH_GOOD = 16
# Part of the answers of the old version that is enough instead, where a
# service gets too few requests for that many.
ENOUGH_PART = 0.08
# Time in which all work proves a version, seconds: a few rounds of evidence.
# That long before the end, a version that has got few requests gets all work.
PROOF_TIME = 3.0
# Least time with all work on the new version before the old one is stopped,
# seconds: a round of evidence.
MIN_FULL_TIME = 1.0
# Least time over which a rate of requests is told, seconds.
LEAST_ELAPSED = 0.5
# Time kept before the end of the period for the last writes, seconds: two
# looks of the lead.
END_MARGIN = 1.0

NO_PROOF = "no proof by the end of the period"


@dataclass(frozen=True, slots=True)
class Evidence:
    """What all nodes have seen since the order.

    :param base: outcomes of the version in force.
    :param candidate: outcomes of the new version.
    :param old_in_flight: requests that still run on old versions.
    :param all_heard: whether every node known has told of itself since the
        new version gets all work.
    :param rate: requests a second that the service gets, about.
    """

    base: evidence.Tally
    candidate: evidence.Tally
    old_in_flight: int
    all_heard: bool
    rate: float


def next_stage(
    stage: rollout.Stage | None,
    order: types.RolloutOrder,
    found: Evidence,
    bounds: types.Bounds,
    candidate_ready: bool,
    order_age: float,
    now: float,
) -> rollout.Stage | None:
    """Return the stage that follows, None when nothing changes.

    :param stage: stage of this order, None before the first.
    :param candidate_ready: whether a server of the new version is there.
    :param order_age: seconds for which the order is known.
    :param now: the store's clock, in seconds.
    """
    if stage is None:
        if not candidate_ready:
            return None
        return rollout.Stage(
            order_id=order.order_id,
            target=order.target,
            phase=rollout.Phase.CANARY,
            share=_canary_share(order, found, bounds),
            started=now - order_age,
            since=now,
            base_requests=found.base.requests,
            reason="ordered",
        )
    if stage.phase in (rollout.Phase.COMPLETE, rollout.Phase.REVERTED):
        return None
    reason = _why_bad(stage, found, bounds)
    if reason:
        return _take_back(stage, found, now, reason)
    elapsed = now - stage.started
    if stage.phase is rollout.Phase.FULL:
        return _after_full(stage, order, found, elapsed, now)
    return _after_canary(stage, order, found, bounds, elapsed, now)


def _why_bad(
    stage: rollout.Stage, found: Evidence, bounds: types.Bounds
) -> str:
    """Return why the new version is to be taken back, or nothing."""
    for each in (found, _recent(stage, found)):
        halt = guard.SequentialGuard(ALPHA).judge(each.base, each.candidate)
        if halt is not None:
            return f"{halt.cause.value}, evidence {halt.e_value:.0f}"
        enough = each.candidate.failures >= DOUBTFUL_FAILURES
        if enough and _near_the_limit(found, bounds) and _is_doubtful(each):
            return "doubtful, and exposure near its bound"
    return ""


def _after_canary(
    stage: rollout.Stage,
    order: types.RolloutOrder,
    found: Evidence,
    bounds: types.Bounds,
    elapsed: float,
    now: float,
) -> rollout.Stage | None:
    # In a short period the first half ends later than the margin begins.
    half = order.period * FIRST_HALF + HALF_MARGIN
    if elapsed >= max(order.period - END_MARGIN, half + LEAST_ELAPSED):
        return _take_back(stage, found, now, NO_PROOF)
    if elapsed < half:
        return None
    waits = elapsed < order.period - END_MARGIN - PROOF_TIME
    if waits and not _has_proof(found):
        return None
    if _is_doubtful(found):
        return None
    if not _fits_to_the_end(stage, order, found, bounds, elapsed):
        return None
    return _next(stage, rollout.Phase.FULL, 1.0, found, now, "no harm seen")


def _canary_share(
    order: types.RolloutOrder, found: Evidence, bounds: types.Bounds
) -> float:
    """Return the part of new sessions that tries the new version."""
    expected = max(1.0, found.rate * order.period)
    part = CANARY_REQUESTS / expected / bounds.exposure_share
    part = max(LEAST_CANARY_PART, min(MOST_CANARY_PART, part))
    return part * bounds.exposure_share


def _fits_to_the_end(
    stage: rollout.Stage,
    order: types.RolloutOrder,
    found: Evidence,
    bounds: types.Bounds,
    elapsed: float,
) -> bool:
    """Whether all work until the end stays within the allowed exposure."""
    exposed = found.candidate.requests
    seen = found.base.requests - stage.base_requests + exposed
    rate = seen / max(elapsed, LEAST_ELAPSED)
    left = max(0.0, order.period - elapsed)
    allowed = bounds.exposure_share * (seen + rate * left)
    allowed += bounds.exposure_extra
    return exposed + rate * left <= PLANNED_PART * allowed


def _has_proof(found: Evidence) -> bool:
    """Whether enough good answers were seen, and few failures."""
    enough = min(ENOUGH_GOOD, ENOUGH_PART * found.base.requests)
    return found.candidate.successes >= enough and not _is_doubtful(found)


def _is_doubtful(found: Evidence) -> bool:
    """Whether the new version fails more, though it may be by chance."""
    base = found.base.failures / max(1, found.base.requests)
    candidate = found.candidate.failures / max(1, found.candidate.requests)
    return candidate > base + DOUBTFUL_EXCESS


def _recent(stage: rollout.Stage, found: Evidence) -> Evidence:
    """Return the evidence with only what was seen since a stage began.

    A version that turns bad later hides behind its earlier good answers.
    """
    candidate = evidence.Tally(
        failures=max(0, found.candidate.failures - stage.failures),
        successes=max(0, found.candidate.successes - stage.successes),
    )
    return replace(found, candidate=candidate)


def _near_the_limit(found: Evidence, bounds: types.Bounds) -> bool:
    """Whether a bad version would soon have got too many requests."""
    total = found.base.requests + found.candidate.requests
    allowed = bounds.exposure_share * total + bounds.exposure_extra
    return found.candidate.requests >= LIMIT_PART * allowed


def _after_full(
    stage: rollout.Stage,
    order: types.RolloutOrder,
    found: Evidence,
    elapsed: float,
    now: float,
) -> rollout.Stage | None:
    if now - stage.since < MIN_FULL_TIME:
        return None
    idle = found.all_heard and found.old_in_flight == 0
    late = elapsed >= order.period - END_MARGIN
    if not idle and not late:
        return None
    if _has_proof(found) and not _is_doubtful(_recent(stage, found)):
        reason = "old version idle" if idle else "end of the period"
        return _next(stage, rollout.Phase.COMPLETE, 1.0, found, now, reason)
    return _take_back(stage, found, now, NO_PROOF) if late else None


def _take_back(
    stage: rollout.Stage, found: Evidence, now: float, reason: str
) -> rollout.Stage:
    return _next(stage, rollout.Phase.REVERTED, 0.0, found, now, reason)


def _next(
    stage: rollout.Stage,
    phase: rollout.Phase,
    share: float,
    found: Evidence,
    now: float,
    reason: str,
) -> rollout.Stage:
    return replace(
        stage,
        phase=phase,
        share=share,
        since=now,
        failures=found.candidate.failures,
        successes=found.candidate.successes,
        reason=reason,
    )
