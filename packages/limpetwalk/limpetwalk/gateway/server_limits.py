"""Limits that servers in need name for the requests of all nodes together.

Serves a load in which a server asks for fewer requests per second than it
would get, and many nodes send to it. Each node gets a part of the limit, and
may use what the others leave unused, by their load reports. The limits that
nodes have been told travel with these reports, so that one answer is enough
for all nodes.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import math
import random

from .. import clock as clocks
from . import peer_groups
from . import request_pacer
from . import server_load

# Interval over which a limit is divided among the nodes, in seconds: long
# enough for a limit of a few requests per second and as many nodes.
INTERVAL_SECONDS = server_load.RECENT_SECONDS
# Requests that a server may get in the interval beyond its limit: up to this
# share of it, and this number. The platform allows half of it, and five.
EXTRA_SHARE = 0.5
EXTRA_REQUESTS = 2
# Share of a limit that is divided among the nodes. The rest, and what they
# leave unused, is open to all.
OWN_SHARE = 0.5
# Time in which nodes don't know what the others have just sent, in seconds:
# the interval of reports in a single group, or within and between groups.
SINGLE_GROUP_DELAY = 0.3
GROUPS_DELAY = 0.8
# Time after which a limit ends that no answer confirms, in seconds.
LIMIT_LIFETIME = 10.0
# Age up to which an observation is reported, in seconds: several reports, of
# which some may be lost. With many servers, older ones would make up most of
# each report.
REPORTED_AGE = 1.0
# Change of a limit that is logged, as a share of it.
LOGGED_CHANGE = 0.25


@dataclass(frozen=True, slots=True)
class ObservedLimit:
    """Limit of a server as an answer named it.

    :param rate: requests per second; None when the answer named none.
    :param age: time since the answer, in seconds.
    """

    server: str
    rate: float | None
    age: float


@dataclass(slots=True)
class _Limit:
    """Limit of a server, None for one that has ended.

    :param hops: nodes through which the observation came, 0 for this node's
        own.
    """

    rate: float | None
    observed_at: float
    hops: int


class ServerLimits:
    """Limits of servers, and this node's part of each.

    :param node: name of this node.
    :param nodes: returns the names of all known nodes.
    :param loads: load of servers, by the reports of all nodes.
    :param clock: source of monotonic time.
    :param demand: returns the requests per second that all nodes send to the
        service of a server.
    :param rng: random source for the use of what others leave unused.
    :param on_change: called with the server and its new limit, in requests
        per second, or None when it has ended.
    """

    def __init__(
        self,
        node: str,
        nodes: Callable[[], frozenset[str]],
        loads: server_load.ServerLoads,
        clock: clocks.Clock,
        demand: Callable[[str], float],
        rng: random.Random,
        on_change: Callable[[str, float | None], None],
    ) -> None:
        self._loads = loads
        self._clock = clock
        self._demand = demand
        self._rng = rng
        self._on_change = on_change
        self._pacer = request_pacer.RequestPacer(
            node, nodes, clock, INTERVAL_SECONDS
        )
        self._limits: dict[str, _Limit] = {}

    def record_answer(self, server_id: str, text: str | None) -> None:
        """Record the limit that an answer of a server names.

        :param text: value of the header, None when it is missing.
        """
        rate = _parse_rate(text)
        if rate is not None or server_id in self._limits:
            now = self._clock.monotonic()
            self._update(server_id, _Limit(rate, now, hops=0))

    def merge(self, observed: Iterable[ObservedLimit], hops: int) -> None:
        """Apply limits that another node reports, where they are newer.

        :param hops: nodes through which the observations came.
        """
        now = self._clock.monotonic()
        for limit in observed:
            known = self._limits.get(limit.server)
            observed_at = now - limit.age
            if limit.age > LIMIT_LIFETIME:
                continue
            if known is None or known.observed_at < observed_at:
                self._update(
                    limit.server, _Limit(limit.rate, observed_at, hops)
                )

    def observed(self, max_hops: int) -> list[ObservedLimit]:
        """Return the limits to report to other nodes, ended ones included.

        Each hop makes an observation look younger by the time that the report
        took, so it must not travel in a circle.

        :param max_hops: nodes through which the observations may have come.
        """
        self._expire()
        now = self._clock.monotonic()
        return [
            ObservedLimit(server_id, limit.rate, now - limit.observed_at)
            for server_id, limit in self._limits.items()
            if limit.hops <= max_hops
            and now - limit.observed_at <= REPORTED_AGE
        ]

    def limit(self, server_id: str) -> float | None:
        """Return the limit of a server in requests per second, or None."""
        limit = self._limits.get(server_id)
        if limit is None:
            return None
        age = self._clock.monotonic() - limit.observed_at
        return limit.rate if age <= LIMIT_LIFETIME else None

    def may_send(self, server_id: str) -> bool:
        """Return whether this node may send a server a request now."""
        rate = self.limit(server_id)
        if rate is None:
            return True
        unused = self._unused(server_id, rate)
        if unused <= 0:
            return False
        parts = max(1, int(_allowed(rate) * OWN_SHARE))
        if self._pacer.may_send(server_id, parts):
            return True
        # Many nodes may want a request that looks unused before they hear of
        # each other.
        return self._rng.random() * (1.0 + self._unheard(server_id)) < unused

    def record_sent(self, server_id: str) -> None:
        """Record that a request is sent to a server."""
        if server_id in self._limits:
            self._pacer.record_sent(server_id)
            self._loads.record_sent(server_id)

    def _unused(self, server_id: str, rate: float) -> int:
        """Return the requests that a server may still get in the interval."""
        return _allowed(rate) - self._loads.total_recent(server_id)

    def _unheard(self, server_id: str) -> float:
        """Return the requests that others may have placed unheard.

        Each of them may have drawn for each server of its service, whichever
        it chose in the end.
        """
        delay = SINGLE_GROUP_DELAY
        if peer_groups.has_groups(self._pacer.node_count):
            delay = GROUPS_DELAY
        return delay * self._demand(server_id)

    def _update(self, server_id: str, limit: _Limit) -> None:
        known = self._limits.get(server_id)
        before = known.rate if known is not None else None
        self._limits[server_id] = limit
        if _differ(before, limit.rate):
            self._on_change(server_id, limit.rate)

    def _expire(self) -> None:
        oldest = self._clock.monotonic() - LIMIT_LIFETIME
        for server_id, limit in list(self._limits.items()):
            if limit.observed_at < oldest:
                del self._limits[server_id]
                if limit.rate is not None:
                    self._on_change(server_id, None)


def _allowed(rate: float) -> int:
    """Return the requests that all nodes may send a server in the interval."""
    requests = rate * INTERVAL_SECONDS
    extra = min(EXTRA_SHARE * requests, EXTRA_REQUESTS)
    # A single request shows whether a limit of none still holds.
    return max(1, int(requests + extra))


def _differ(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before is not after
    return abs(after - before) > LOGGED_CHANGE * before


def _parse_rate(text: str | None) -> float | None:
    """Return a limit from its header, None when it is missing or invalid."""
    try:
        rate = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
