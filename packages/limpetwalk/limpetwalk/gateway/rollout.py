"""Chooses which versions of a service may serve during a roll-out."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace
import enum
import json
import math

import xxhash

from .. import clock as clocks
from . import json_decoder
from . import types

# Number of values of a 64-bit hash.
HASH_SPAN = float(2**64)
# Maximum number of sessions whose version is remembered; the least recently
# used are evicted.
MAX_SESSIONS = 20_000
# Time without a server of another version after which the ordered one gets all
# requests, in seconds. It covers the restart of servers that lost power.
BASE_GONE_TIME = 5.0
# Largest instant, in seconds, and number of requests of a stage.
MAX_INSTANT = 2.0**63
MAX_REQUESTS = 2**53


class Phase(enum.Enum):
    """Phase of a roll-out.

    :cvar CANARY: a small share of new sessions goes to the new version.
    :cvar FULL: all requests go to the new version; the old one still runs.
    :cvar COMPLETE: the old version is stopped.
    :cvar REVERTED: the new version gets no requests.
    """

    CANARY = "canary"
    FULL = "full"
    COMPLETE = "complete"
    REVERTED = "reverted"


class BaseState(enum.Enum):
    """Servers of other versions than the ordered one.

    :cvar READY: there are some.
    :cvar ABSENT: there are none, but were a moment ago.
    :cvar GONE: there have been none for ``BASE_GONE_TIME``.
    """

    READY = "ready"
    ABSENT = "absent"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Stage:
    """Stage of a roll-out, as decided by the leader.

    :param order_id: identifier of the order that it belongs to.
    :param target: version that is rolled out.
    :param share: fraction of new sessions for the new version, 0 to 1.
    :param started: store's clock when it was ordered, seconds.
    :param since: store's clock when this phase started, seconds.
    :param base_requests: requests to the old version recorded before the
        start.
    :param failures: failures of the new version recorded up to the start of
        this phase.
    :param successes: its successes up to the start of this phase.
    :param reason: why this stage was chosen.
    """

    order_id: str
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
        """Return the stage as JSON, for the table that the nodes share."""
        document = {
            name: getattr(self, name) for name in Stage.__dataclass_fields__
        }
        document["phase"] = self.phase.value
        return json.dumps(document)

    @classmethod
    def from_json(cls, text: str) -> "Stage":
        """Return a stage from its JSON.

        :raises ValueError: when the text is no valid stage.
        """
        document = json_decoder.decode(text)
        if not isinstance(document, dict):
            raise ValueError("a stage must be a JSON object")
        try:
            document["phase"] = Phase(document["phase"])
            document["order_id"] = str(document["order_id"])
            types.Version.parse(document["order_id"])
            stage = cls(
                **{
                    name: document[name]
                    for name in Stage.__dataclass_fields__
                    if name in document
                }
            )
        except (KeyError, TypeError) as exc:
            raise ValueError(f"invalid field of a stage: {exc!r}") from exc
        stage._check()
        return stage

    @property
    def may_get_all(self) -> bool:
        """Whether the version may serve where there is no other.

        It gets no requests once it was found to fail.
        """
        return self.phase is not Phase.REVERTED and self.share > 0

    def _check(self) -> None:
        """Raise ``ValueError`` when a field has no possible value."""
        if not isinstance(self.target, str) or not isinstance(
            self.reason, str
        ):
            raise ValueError("target and reason must be strings")
        json_decoder.number(self.share, 0, 1)
        for instant in (self.started, self.since):
            json_decoder.number(instant, -MAX_INSTANT, MAX_INSTANT)
        for count in (self.base_requests, self.failures, self.successes):
            json_decoder.integer(count, 0, MAX_REQUESTS)


class Rollouts:
    """Orders and stages of roll-outs, and the versions that they allow.

    :param clock: source of monotonic time.
    :ivar stages: latest known stage by service.
    :ivar stage_versions: versions of the rows that hold the stages.
    :ivar lost_stages: services whose stage isn't in the store any more.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.orders: dict[str, types.RolloutOrder] = {}
        self._removed_orders: dict[str, types.RolloutOrder] = {}
        self._ordered_at: dict[str, float] = {}
        # Services whose known order is the first that this node has seen.
        self._first_orders: set[str] = set()
        self.stages: dict[str, Stage] = {}
        self.stage_versions: dict[str, types.Version] = {}
        self.lost_stages: set[str] = set()
        self._sessions: dict[str, tuple[str, float]] = {}
        self._base_absent_since: dict[str, float] = {}

    def apply_order(
        self, order: types.RolloutOrder, restored: bool = False
    ) -> None:
        """Add or update an order.

        :param restored: whether it stands in the copy of a restored store,
            which may hold an order that was removed since.
        """
        previous = self.orders.get(order.service)
        removed = self._removed_orders.get(order.service)
        if previous is None and restored:
            previous = removed
        if previous is None:
            if removed is None:
                self._first_orders.add(order.service)
        elif order.version == previous.version or order.repeats(previous):
            order = replace(order, order_id=previous.order_id)
        elif previous.order_id != order.order_id:
            self._first_orders.discard(order.service)
        if previous is None or previous.order_id != order.order_id:
            self._ordered_at[order.service] = self._clock.monotonic()
        self.orders[order.service] = order
        self._match_order(order.service)

    def _match_order(self, service: str) -> None:
        """Give an order the identity under which other nodes know it.

        A node that starts after a restoration has seen only the row that was
        written again, while the stage belongs to the former one.
        """
        order = self.orders.get(service)
        stage = self.stages.get(service)
        if order is None or stage is None or service not in self._first_orders:
            return
        ordered = types.Version.parse(stage.order_id)
        is_former = (
            ordered.era < order.version.era and stage.target == order.target
        )
        if is_former or ordered == order.version:
            self.orders[service] = replace(order, order_id=stage.order_id)

    def is_candidate(self, service: str, version: str) -> bool:
        """Return whether a version is being rolled out."""
        order = self.orders.get(service)
        if order is None or order.target != version:
            return False
        stage = self.stage(service)
        return stage is None or stage.phase is not Phase.COMPLETE

    def order_age(self, service: str) -> float:
        """Return the seconds since the order of a service was received."""
        now = self._clock.monotonic()
        return now - self._ordered_at.get(service, now)

    def remove_order(self, key: str) -> None:
        """Remove an order whose row was removed.

        :param key: key of the row; its last part is the service.
        """
        self._remove(key.rpartition("/")[2])

    def _remove(self, service: str) -> None:
        order = self.orders.pop(service, None)
        if order is not None:
            self._removed_orders[service] = order
            self._first_orders.discard(service)

    def retain_orders(self, services: Iterable[str]) -> None:
        """Remove orders that are missing from a full read of the table.

        :param services: services whose orders were read.
        """
        retained = set(services)
        for service in set(self.orders) - retained:
            self._remove(service)

    def apply_stage(
        self, service: str, text: str, version: types.Version
    ) -> Stage | None:
        """Apply a stage that the leader published.

        :param text: JSON of the stage.
        :param version: version of its row.
        :returns: the stage, or None when it is not newer than the known one
            or can't be read. Its version is known then, so that the leader
            can replace it.
        """
        if version <= self.stage_versions.get(service, types.Version()):
            return None
        self.stage_versions[service] = version
        try:
            stage = Stage.from_json(text)
        except ValueError:
            return None
        known = self.stages.get(service)
        if known is not None and service in self.lost_stages:
            if stage.since < known.since:
                return None
            self.lost_stages.remove(service)
        self.stages[service] = stage
        self._match_order(service)
        return stage if stage != known else None

    def record_restoration(self, version: types.Version) -> None:
        """Record that the store was restored from a copy.

        The known stages hold until the copy's rows, which follow, show that
        they are still there.

        :param version: version of the restored store.
        """
        self.lost_stages.update(self.stages)
        for service in self.stages:
            self.stage_versions[service] = types.Version(version.era)

    def stage(self, service: str) -> Stage | None:
        """Return the stage that belongs to the current order, if any.

        Without an order, the last stage still applies.
        """
        stage = self.stages.get(service)
        order = self.orders.get(service)
        if stage is None or (
            order is not None and order.order_id != stage.order_id
        ):
            return None
        return stage

    def base_state(self, service: str, versions: Iterable[str]) -> BaseState:
        """Return whether there are servers to go back to in a roll-out.

        :param versions: versions of the servers that are known to be up.
        """
        target = self._target(service)
        if not target or not set(versions) <= {target}:
            self._base_absent_since.pop(service, None)
            return BaseState.READY
        now = self._clock.monotonic()
        since = self._base_absent_since.setdefault(service, now)
        if now - since < BASE_GONE_TIME:
            return BaseState.ABSENT
        return BaseState.GONE

    def _target(self, service: str) -> str:
        """Return the version that is or was rolled out last, or empty."""
        stage = self.stage(service)
        if stage is not None:
            return stage.target
        order = self.orders.get(service)
        return order.target if order is not None else ""

    def allowed_split(
        self,
        service: str,
        versions: Iterable[str],
        trusted: set[str],
        proven: Callable[[], Iterable[str]] | None = None,
    ) -> "Split":
        """Return the versions that may get requests.

        :param versions: versions of the available servers.
        :param trusted: versions that served before any order.
        :param proven: returns the versions of the servers that are known to
            be up; None if all are.
        """
        available = set(versions)
        stage = self.stage(service)
        order = self.orders.get(service)
        if (stage is not None and stage.may_get_all) or (
            stage is None and order is not None
        ):
            up = available if proven is None else proven()
            if self.base_state(service, up) is BaseState.GONE:
                return Split(frozenset(available), frozenset(), 0.0)
        if stage is not None:
            return _split_by_stage(stage, available)
        if order is not None:
            return Split(
                frozenset(available - {order.target}), frozenset(), 0.0
            )
        trusted_versions = available & trusted
        return Split(
            frozenset(trusted_versions or available), frozenset(), 0.0
        )

    def choose_versions(
        self, split: "Split", session: str, pause: float
    ) -> frozenset[str]:
        """Return the versions that may serve one request.

        A session keeps the version of its last request unless that version
        gets no more requests. The hash of a new session decides, so that all
        nodes choose alike.

        :param split: versions between which requests are split.

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
        draw = xxhash.xxh64_intdigest(session.encode()) / HASH_SPAN
        return split.candidate if draw < split.share else split.base

    def record_session(self, session: str, version: str, pause: float) -> None:
        """Record the version that served a session.

        :param pause: longest pause within a session, in seconds.
        """
        self._sessions.pop(session, None)
        until = self._clock.monotonic() + pause
        self._sessions[session] = (version, until)
        while len(self._sessions) > MAX_SESSIONS:
            del self._sessions[next(iter(self._sessions))]


@dataclass(frozen=True, slots=True)
class Split:
    """Versions between which requests are split.

    :param base: versions that serve by default.
    :param candidate: new version of a roll-out, or an empty set.
    :param share: fraction of new sessions for the candidate, 0 to 1.
    """

    base: frozenset[str]
    candidate: frozenset[str]
    share: float


def _split_by_stage(stage: Stage, available: set[str]) -> Split:
    old_versions = frozenset(available - {stage.target})
    new_versions = frozenset(available & {stage.target})
    if stage.phase is Phase.REVERTED:
        return Split(old_versions, frozenset(), 0.0)
    if stage.phase in (Phase.FULL, Phase.COMPLETE):
        return Split(old_versions, new_versions, 1.0)
    return Split(old_versions, new_versions, stage.share)
