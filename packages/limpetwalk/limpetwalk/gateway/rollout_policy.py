"""Decides when a roll-out advances, completes or is reverted.

Guards against a version that fails or becomes slow from its start, later,
under load or on one route only. A small share of sessions goes to the new
version first, and a sequential test over the evidence of all nodes may revert
it at any time. It gets all requests only when even a version whose fault has
not shown would stay within the allowed exposure until the end of the period.
"""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import math

from ..rollouts import evidence
from ..rollouts import guard
from . import rollout
from . import types

# Probability that a good version is reverted. That costs the operator another
# order, while a bad version that stays violates a promise to callers.
ALPHA = 0.05
# Requests planned for the new version before it gets all requests. The time
# within which a bad version must be reverted starts at its fiftieth bad
# response, and slow responses are hard to detect. The number is low enough
# that the fiftieth is not reached even at twice the estimated request rate.
CANARY_REQUESTS = 24
# Limits of the canary share, as fractions of the allowed exposure share. The
# rest of the exposure is used in the last seconds, when all requests go to the
# new version. A smaller share would give too little evidence for a service
# with ten requests per second.
MAX_CANARY_FRACTION = 0.5
MIN_CANARY_FRACTION = 0.03
# Fraction of the allowed exposure that may be planned for when all requests go
# to the new version. The nodes' counts arrive late, and requests in flight are
# not in them.
PLANNED_FRACTION = 0.95
# Factor by which the request rate may rise in the last seconds of the period.
# What was sent to the new version then can't be taken back.
RATE_RISE = 1.75
# Time before the end of the period, in seconds, from which no rise is planned
# for: a version that doesn't get all requests by then can't complete.
LAST_CHANCE = 2.3
# Largest share of a canary that gets fewer requests than planned, as a
# multiple of the allowed exposure share, and the smallest factor by which its
# share is raised.
MAX_RAISED_FRACTION = 2.0
MIN_RAISE = 1.25
# Requests that are wanted in proportion to the sufficient successes: some come
# too late to be counted. The second limit holds if they go on until the end.
RAISE_MARGIN = 1.5
MAX_CANARY_REQUESTS = 28
# Seconds from a request until its outcome is in the evidence, and the shortest
# time between two shares of a canary.
EVIDENCE_LAG = 1.5
MIN_RAISE_INTERVAL = 2.0
# Fraction of the period in which sessions keep the old version, and the margin
# in seconds for nodes that received the order late.
FIRST_HALF = 0.5
HALF_MARGIN = 0.4
# Excess of the new version's failure share over the old one's above which it
# does not get all requests.
DOUBTFUL_EXCESS = 0.08
# Probability below which the failures of the new version are not taken for
# chance, if it fails as often as the old one. A single failure among a few
# requests is likely at a service that fails now and then.
CHANCE_PROBABILITY = 0.1
# Minimum failures for reverting a version that is only doubtful.
MIN_DOUBTFUL_FAILURES = 2
# Fraction of the allowed exposure from which a doubtful version is reverted.
# The rest is used up while evidence is on its way.
LIMIT_FRACTION = 0.5
# Successes of the new version that are required before it gets all requests,
# or at the latest before the old one is stopped, which can't be undone.
SUFFICIENT_SUCCESSES = 16
# Fraction of the old version's responses that suffices instead, for services
# that get too few requests for that number.
SUFFICIENT_FRACTION = 0.08
# Seconds in which all requests give sufficient evidence of a version: a few
# rounds of reports. That long before the end, a version that has received few
# requests gets all of them.
PROOF_TIME = 3.0
# Minimum seconds with all requests on the new version before the old one is
# stopped: a round of reports.
MIN_FULL_TIME = 1.0
# Shortest time over which a request rate is computed, in seconds.
MIN_ELAPSED = 0.5
# Seconds reserved for the last writes before the end of the period: two checks
# of the leader.
END_MARGIN = 1.0

# Longest time for which the first stage waits until all nodes have reported
# their request rates, in seconds and as a fraction of the period.
REPORTS_TIMEOUT = 2.0
REPORTS_FRACTION = 0.15

NO_PROOF = "no proof by the end of the period"


@dataclass(frozen=True, slots=True)
class Evidence:
    """Evidence of all nodes since the order.

    :param base: outcomes of the version in force.
    :param candidate: outcomes of the new version.
    :param old_in_flight: requests in flight at old versions.
    :param all_reported: whether every known node has reported in the current
        phase, or since the order when there is none.
    :param rate: approximate requests per second of the service.
    :param base_paces: slow and other answers of the version in force, by the
        time between their events.
    :param candidate_paces: the same of the new version.
    """

    base: evidence.Tally
    candidate: evidence.Tally
    old_in_flight: int
    all_reported: bool
    rate: float
    base_paces: evidence.Tally = field(default_factory=evidence.Tally)
    candidate_paces: evidence.Tally = field(default_factory=evidence.Tally)


def next_stage(
    stage: rollout.Stage | None,
    order: types.RolloutOrder,
    observed: Evidence,
    bounds: types.Bounds,
    candidate_ready: bool,
    order_age: float,
    now: float,
    base_state: rollout.BaseState = rollout.BaseState.READY,
) -> rollout.Stage | None:
    """Return the stage that follows, or None when nothing changes.

    Complete and reverted can't be undone, so each needs a server of the
    version that it leaves.

    :param stage: stage of this order, None before the first.
    :param order: order of the roll-out.
    :param observed: evidence of all nodes.
    :param bounds: bounds in force.
    :param candidate_ready: whether a server of the new version is usable.
    :param order_age: seconds since this node received the order.
    :param now: the store's clock, in seconds.
    :param base_state: servers of other versions.
    """
    if stage is None:
        if not candidate_ready:
            return None
        longest = min(REPORTS_TIMEOUT, REPORTS_FRACTION * order.period)
        if not observed.all_reported and order_age < longest:
            return None
        return rollout.Stage(
            order_id=order.order_id,
            target=order.target,
            phase=rollout.Phase.CANARY,
            share=_canary_share(order, observed, bounds),
            started=now - order_age,
            since=now,
            base_requests=observed.base.requests,
            reason="ordered",
        )
    if stage.phase in (rollout.Phase.COMPLETE, rollout.Phase.REVERTED):
        return None
    reason = _revert_reason(stage, observed, bounds)
    if reason and base_state is rollout.BaseState.READY:
        return _revert(stage, observed, now, reason)
    if reason:
        return _halt(stage, observed, now, reason) if stage.share else None
    elapsed = now - stage.started
    if stage.phase is rollout.Phase.FULL:
        following = _after_full(stage, order, observed, elapsed, now)
    elif base_state is rollout.BaseState.GONE:
        following = _without_base(stage, observed, now)
    else:
        following = _after_canary(stage, order, observed, bounds, elapsed, now)
    if following is None:
        return None
    has_server = {
        rollout.Phase.COMPLETE: candidate_ready,
        rollout.Phase.REVERTED: base_state is rollout.BaseState.READY,
    }
    return following if has_server.get(following.phase, True) else None


def _revert_reason(
    stage: rollout.Stage, observed: Evidence, bounds: types.Bounds
) -> str:
    """Return why the new version must be reverted, or empty."""
    for tallies in (observed, _recent(stage, observed)):
        halt = guard.SequentialGuard(ALPHA).judge(
            tallies.base, tallies.candidate
        )
        if halt is not None:
            return f"{halt.cause.value}, evidence {halt.e_value:.0f}"
        enough = tallies.candidate.failures >= MIN_DOUBTFUL_FAILURES
        if (
            enough
            and _near_the_limit(observed, bounds)
            and _is_doubtful(tallies.base, tallies.candidate)
        ):
            return "doubtful, and exposure near its bound"
    if stage.phase is rollout.Phase.CANARY:
        # Once it gets all requests, load slows the new version as well.
        halt = guard.SequentialGuard(ALPHA).judge(
            observed.base_paces, observed.candidate_paces
        )
        if halt is not None:
            return f"slow, evidence {halt.e_value:.0f}"
    return ""


def _after_canary(
    stage: rollout.Stage,
    order: types.RolloutOrder,
    observed: Evidence,
    bounds: types.Bounds,
    elapsed: float,
    now: float,
) -> rollout.Stage | None:
    # In a short period, the first half ends after the end margin begins.
    half = order.period * FIRST_HALF + HALF_MARGIN
    if elapsed >= max(order.period - END_MARGIN, half + MIN_ELAPSED):
        return _revert(stage, observed, now, NO_PROOF)
    if elapsed < half:
        return None
    may_wait = elapsed < order.period - END_MARGIN - PROOF_TIME
    if may_wait and not _is_proven(observed):
        time_left = order.period - END_MARGIN - PROOF_TIME - elapsed
        return _raise_share(stage, observed, bounds, time_left, now)
    if _fails_beyond_chance(observed.base, observed.candidate):
        return None
    if _fails_beyond_chance(observed.base_paces, observed.candidate_paces):
        return None
    if not _fits_to_the_end(stage, order, observed, bounds, elapsed):
        return None
    return _advance(
        stage, rollout.Phase.FULL, 1.0, observed, now, "no harm seen"
    )


def _raise_share(
    stage: rollout.Stage,
    observed: Evidence,
    bounds: types.Bounds,
    time_left: float,
    now: float,
) -> rollout.Stage | None:
    """Return the canary with the share that proves it in time, if larger.

    Where few sessions chose the new version, the successes that it needs would
    come only when all requests go to it, and too late for a decision.

    :param time_left: seconds of the canary until the proof must be there.
    """
    if not stage.share or now - stage.since < MIN_RAISE_INTERVAL:
        return None
    if _is_doubtful(observed.base, observed.candidate):
        return None
    rate = max(observed.rate, 1.0)
    on_their_way = stage.share * rate * EVIDENCE_LAG
    exposed = observed.candidate.requests + on_their_way
    wanted = min(CANARY_REQUESTS, RAISE_MARGIN * _enough(observed))
    time_left = max(time_left, MIN_ELAPSED)
    share = min(
        (wanted - exposed) / (rate * time_left),
        (MAX_CANARY_REQUESTS - exposed) / (rate * (time_left + PROOF_TIME)),
        MAX_RAISED_FRACTION * bounds.exposure_share,
    )
    if share < MIN_RAISE * stage.share:
        return None
    return _advance(
        stage, rollout.Phase.CANARY, share, observed, now, "few requests"
    )


def _without_base(
    stage: rollout.Stage, observed: Evidence, now: float
) -> rollout.Stage | None:
    """Return the stage after a canary that has lost all other versions."""
    if not stage.share or _is_doubtful(observed.base, observed.candidate):
        return None
    return _advance(
        stage, rollout.Phase.FULL, 1.0, observed, now, "no other version"
    )


def _canary_share(
    order: types.RolloutOrder, observed: Evidence, bounds: types.Bounds
) -> float:
    """Return the share of new sessions for the new version, 0 to 1."""
    expected = max(1.0, observed.rate * order.period)
    fraction = CANARY_REQUESTS / expected / bounds.exposure_share
    fraction = max(MIN_CANARY_FRACTION, min(MAX_CANARY_FRACTION, fraction))
    return fraction * bounds.exposure_share


def _fits_to_the_end(
    stage: rollout.Stage,
    order: types.RolloutOrder,
    observed: Evidence,
    bounds: types.Bounds,
    elapsed: float,
) -> bool:
    """Return whether sending all requests until the end is within bounds.

    A rise is planned for from the larger of the mean rate and what the nodes
    report now.
    """
    exposed: float = observed.candidate.requests
    total = observed.base.requests - stage.base_requests + exposed
    rate = total / max(elapsed, MIN_ELAPSED)
    time_left = max(0.0, order.period - elapsed)
    if time_left > LAST_CHANCE:
        exposed += stage.share * rate * EVIDENCE_LAG
        rate = RATE_RISE * max(observed.rate, rate)
    allowed = bounds.exposure_share * (total + rate * time_left)
    allowed += bounds.exposure_extra
    return exposed + rate * time_left <= PLANNED_FRACTION * allowed


def _is_proven(observed: Evidence) -> bool:
    """Return whether there are sufficient successes and few failures."""
    enough = observed.candidate.successes >= _enough(observed)
    return enough and not _is_doubtful(observed.base, observed.candidate)


def _enough(observed: Evidence) -> float:
    """Return the number of successes that is sufficient."""
    return min(
        SUFFICIENT_SUCCESSES, SUFFICIENT_FRACTION * observed.base.requests
    )


def _is_doubtful(base: evidence.Tally, candidate: evidence.Tally) -> bool:
    """Return whether the new version fails more, even if by chance."""
    base_share = base.failures / max(1, base.requests)
    candidate_share = candidate.failures / max(1, candidate.requests)
    return candidate_share > base_share + DOUBTFUL_EXCESS


def _fails_beyond_chance(
    base: evidence.Tally, candidate: evidence.Tally
) -> bool:
    """Return whether the new version probably fails more than the old one.

    It decides on all requests, which can be undone. What can't be undone is
    decided by ``_is_doubtful``.
    """
    # One failure and one success are added, since the share is an estimate.
    expected_share = (base.failures + 1) / (base.requests + 2)
    chance = _chance(candidate.failures, candidate.requests, expected_share)
    return _is_doubtful(base, candidate) and chance < CHANCE_PROBABILITY


def _chance(failures: int, requests: int, share: float) -> float:
    """Return the probability of at least some failures among requests.

    :param share: probability that a request fails.
    """
    fewer = sum(
        math.comb(requests, count)
        * share**count
        * (1 - share) ** (requests - count)
        for count in range(failures)
    )
    return 1 - fewer


def _recent(stage: rollout.Stage, observed: Evidence) -> Evidence:
    """Return the evidence with the candidate's outcomes of this stage only.

    The earlier successes of a version that becomes bad later would hide its
    failures.
    """
    candidate = evidence.Tally(
        failures=max(0, observed.candidate.failures - stage.failures),
        successes=max(0, observed.candidate.successes - stage.successes),
    )
    return replace(observed, candidate=candidate)


def _near_the_limit(observed: Evidence, bounds: types.Bounds) -> bool:
    """Return whether exposure is at least ``LIMIT_FRACTION`` of its bound."""
    total = observed.base.requests + observed.candidate.requests
    allowed = bounds.exposure_share * total + bounds.exposure_extra
    return observed.candidate.requests >= LIMIT_FRACTION * allowed


def _after_full(
    stage: rollout.Stage,
    order: types.RolloutOrder,
    observed: Evidence,
    elapsed: float,
    now: float,
) -> rollout.Stage | None:
    if now - stage.since < MIN_FULL_TIME:
        return None
    idle = observed.all_reported and observed.old_in_flight == 0
    late = elapsed >= order.period - END_MARGIN
    if not idle and not late:
        return None
    recent = _recent(stage, observed)
    if _is_proven(observed) and not _is_doubtful(
        recent.base, recent.candidate
    ):
        reason = "old version idle" if idle else "end of the period"
        return _advance(
            stage, rollout.Phase.COMPLETE, 1.0, observed, now, reason
        )
    return _revert(stage, observed, now, NO_PROOF) if late else None


def _revert(
    stage: rollout.Stage, observed: Evidence, now: float, reason: str
) -> rollout.Stage:
    return _advance(stage, rollout.Phase.REVERTED, 0.0, observed, now, reason)


def _halt(
    stage: rollout.Stage, observed: Evidence, now: float, reason: str
) -> rollout.Stage:
    """Return the stage of a version that fails while there is no other."""
    return _advance(stage, rollout.Phase.CANARY, 0.0, observed, now, reason)


def _advance(
    stage: rollout.Stage,
    phase: rollout.Phase,
    share: float,
    observed: Evidence,
    now: float,
    reason: str,
) -> rollout.Stage:
    return replace(
        stage,
        phase=phase,
        share=share,
        since=now,
        failures=observed.candidate.failures,
        successes=observed.candidate.successes,
        reason=reason,
    )
