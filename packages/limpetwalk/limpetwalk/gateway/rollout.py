"""Which versions of a service may answer, while one replaces another."""

from collections.abc import Iterable
from dataclasses import dataclass
import enum
import json
import math

import xxhash

from .. import clock as clocks
from . import types

HASH_SPAN = float(2**64)
# Most sessions whose version is remembered; the oldest are forgotten.
SESSIONS_KEPT = 20_000


class Phase(enum.Enum):
    """How far a roll-out has come.

    :cvar CANARY: a small share of new sessions tries the new version.
    :cvar FULL: all work goes to the new version; the old one still runs.
    :cvar COMPLETE: the old version is stopped.
    :cvar REVERTED: the new version gets nothing.
    """

    CANARY = "canary"
    FULL = "full"
    COMPLETE = "complete"
    REVERTED = "reverted"


@dataclass(frozen=True, slots=True)
class Stage:
    """Stage of a roll-out, as its lead decided it.

    :param order_id: order that it belongs to.
    :param share: part of new sessions for the new version, 0 to 1.
    :param started: store's clock when it was ordered, seconds.
    :param since: store's clock when this phase started, seconds.
    :param base_requests: requests of the old version seen before the start.
    :param failures: those of the new version seen when this phase started.
    :param successes: good answers likewise.
    """

    order_id: int
    target: str
    phase: Phase
    share: float
    started: float
    since: float
    base_requests: int = 0
    failures: int = 0
    successes: int = 0
    reason: str = ""

    def to_json(self) -> str:
        """Return the stage as the nodes share it."""
        held = {
            name: getattr(self, name) for name in Stage.__dataclass_fields__
        }
        held["phase"] = self.phase.value
        return json.dumps(held)

    @classmethod
    def from_json(cls, text: str) -> "Stage":
        """Return a stage that a node shared.

        :raises ValueError: when the text is none.
        """
        held = json.loads(text)
        if not isinstance(held, dict):
            raise ValueError("a stage is a mapping")
        try:
            held["phase"] = Phase(held["phase"])
            return cls(
                **{
                    name: held[name]
                    for name in Stage.__dataclass_fields__
                    if name in held
                }
            )
        except (KeyError, TypeError) as exc:
            raise ValueError(f"not a stage: {exc!r}") from exc


class Rollouts:
    """Orders and stages of roll-outs, and the versions they allow.

    :param clock: source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.orders: dict[str, types.RolloutOrder] = {}
        self._heard_at: dict[str, float] = {}
        self.stages: dict[str, Stage] = {}
        self.stage_versions: dict[str, int] = {}
        self._sessions: dict[str, tuple[str, float]] = {}

    def apply_order(self, order: types.RolloutOrder) -> None:
        """Take over an order."""
        held = self.orders.get(order.service)
        if held is None or held.order_id != order.order_id:
            self._heard_at[order.service] = self._clock.monotonic()
        self.orders[order.service] = order

    def order_age(self, service: str) -> float:
        """Return for how many seconds the order of a service is known."""
        now = self._clock.monotonic()
        return now - self._heard_at.get(service, now)

    def remove_order(self, key: str) -> None:
        """Forget an order whose row is gone.

        :param key: key of the row; it ends with the service.
        """
        self.orders.pop(key.rpartition("/")[2], None)

    def retain_orders(self, services: Iterable[str]) -> None:
        """Forget orders that a whole read did not show."""
        kept = set(services)
        for service in set(self.orders) - kept:
            del self.orders[service]

    def apply_stage(
        self, service: str, text: str, version: int
    ) -> Stage | None:
        """Take over a stage that the lead shared.

        :returns: the stage when it is a new one.
        """
        if version <= self.stage_versions.get(service, 0):
            return None
        try:
            stage = Stage.from_json(text)
        except ValueError:
            return None
        self.stage_versions[service] = version
        self.stages[service] = stage
        return stage

    def stage(self, service: str) -> Stage | None:
        """Return the stage that belongs to the current order, if any.

        Without an order, the last stage still stands.
        """
        stage = self.stages.get(service)
        order = self.orders.get(service)
        if stage is None or (
            order is not None and order.order_id != stage.order_id
        ):
            return None
        return stage

    def allowed_split(
        self, service: str, versions: Iterable[str], trusted: set[str]
    ) -> "Split":
        """Return which versions may get work.

        :param versions: versions of the servers that are there.
        :param trusted: versions that served before any order.
        """
        held = set(versions)
        stage = self.stage(service)
        order = self.orders.get(service)
        if stage is not None:
            return _split_by_stage(stage, held)
        if order is not None:
            return Split(frozenset(held - {order.target}), frozenset(), 0.0)
        known = held & trusted
        return Split(frozenset(known or held), frozenset(), 0.0)

    def choose_versions(
        self, split: "Split", session: str, pause: float
    ) -> frozenset[str]:
        """Return the versions for one request.

        A session keeps the version of its last request unless that one gets
        no work any more; nodes agree on a new session by its hash.

        :param session: key of the session, or of the request without one.
        :param pause: longest pause within a session, in seconds.
        """
        if not split.candidate or split.share <= 0:
            return split.base
        if split.share >= 1:
            return split.candidate
        now = self._clock.monotonic()
        version, until = self._sessions.get(session, ("", -math.inf))
        if until >= now:
            for versions in (split.base, split.candidate):
                if version in versions:
                    return versions
        mark = xxhash.xxh64_intdigest(session.encode()) / HASH_SPAN
        return split.candidate if mark < split.share else split.base

    def record_session(self, session: str, version: str, pause: float) -> None:
        """Note the version that a session was served by.

        :param pause: longest pause within a session, in seconds.
        """
        self._sessions.pop(session, None)
        until = self._clock.monotonic() + pause
        self._sessions[session] = (version, until)
        while len(self._sessions) > SESSIONS_KEPT:
            del self._sessions[next(iter(self._sessions))]


@dataclass(frozen=True, slots=True)
class Split:
    """Versions between which work is split.

    :param base: versions that serve by default.
    :param candidate: version that a roll-out brings in.
    :param share: part of new sessions for the candidate.
    """

    base: frozenset[str]
    candidate: frozenset[str]
    share: float


def _split_by_stage(stage: Stage, held: set[str]) -> Split:
    old = frozenset(held - {stage.target})
    new = frozenset(held & {stage.target})
    if stage.phase is Phase.REVERTED:
        return Split(old, frozenset(), 0.0)
    if stage.phase in (Phase.FULL, Phase.COMPLETE):
        return Split(old, new, 1.0)
    return Split(old, new, stage.share)
