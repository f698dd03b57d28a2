"""Pace at which servers get requests after they started or recovered.

Serves servers that have just started, come back cold with their zone, return
from a drain, a pause or a backoff. Without it they are flooded, since all
nodes see the emptiest server at once, or left idle. A server may hold few
requests at first. Their number doubles while its answers take the expected
time, and is halved when they don't. While a server is cold, its requests per
second stay within the platform's bound besides.

All nodes decide alike by the load reports, which tell what a server holds and
who had trouble with it. Only the bound is kept without them: it is divided
among the nodes by rendezvous hashing.
"""

from collections.abc import Callable
from dataclasses import dataclass
import enum
import math
import random

from .. import clock as clocks
from . import fleet
from . import peer_groups
from . import request_pacer
from . import server_load
from . import types

# Fraction of a cold server's allowed rate that is assigned to nodes. Nodes
# that join or leave divide it anew, and for a while some nodes divide it in
# the old way; both together stay within the rate.
ASSIGNED_SHARE = 0.5
# Interval in which each part allows one request, in seconds.
INTERVAL_SECONDS = 1.0
# Requests that a server may hold at first, for all nodes together.
FIRST_REQUESTS = 2.0
# Factor by which they grow, and by which they shrink on trouble.
GROWTH = 2.0
# A server is no longer paced when it may hold this multiple of the mean of
# the others of its service, and this number.
FULL_FACTOR = 2.0
FULL_REQUESTS = 8.0
# Time without trouble after which a server is no longer paced, in seconds: its
# service may be too idle to show more.
MAX_SECONDS = 10.0
# The head of an answer is slow when it takes this multiple of the expected
# time, compared with other servers, and this time, in seconds.
SLOW_FACTOR = 3.0
SLOW_SECONDS = 0.5
# Time to the head of an answer that is assumed before the first, in seconds.
DEFAULT_HEAD_SECONDS = 0.5
# Weight of an answer in the usual times.
ANSWER_WEIGHT = 0.05


class State(enum.Enum):
    """What is known of a server that is paced."""

    COLD = "cold"
    GROWING = "growing"
    BACK = "back"
    FULL = "full"


@dataclass(slots=True)
class _Pace:
    """Pace of one server.

    :param limit: requests that it may hold, for all nodes together.
    :param stepped_at: instant at which the limit was last set.
    :param quiet_since: instant since which there was no trouble.
    :param asked_at: instant at which the server was last considered.
    :param used_since: instant since which its requests show whether the limit
        is bearable, None while they don't.
    :param openness: factor on the probability of using what reports leave
        open; it grows while few requests come.
    :param opened_at: instant at which it was last set.
    :param troubled: whether a request had trouble since the last step.
    :param held_back: whether the last step was for trouble.
    """

    state: State
    stepped_at: float
    quiet_since: float
    asked_at: float
    opened_at: float
    limit: float = FIRST_REQUESTS
    openness: float = 1.0
    used_since: float | None = None
    troubled: bool = False
    held_back: bool = False


@dataclass(slots=True)
class _UsualTimes:
    """Times of a service's answers at servers that aren't paced.

    :param head: seconds to the head.
    :param factor: the same, as a multiple of the expected time.
    """

    head: float = DEFAULT_HEAD_SECONDS
    factor: float = 1.0

    def record(self, seconds: float, factor: float) -> None:
        """Record an answer."""
        self.head += ANSWER_WEIGHT * (seconds - self.head)
        self.factor += ANSWER_WEIGHT * (factor - self.factor)


class PacedServers:
    """Paces of servers that started or recovered, as this node sees them.

    :param node: name of this node.
    :param nodes: returns the names of all known nodes.
    :param bounds: returns the bounds in force.
    :param service: returns a service of the configuration. Its servers are
        paced if they have a cold time.
    :param members: returns all servers of a service.
    :param loads: load of servers, by the reports of all nodes.
    :param demand: returns the requests per second that all nodes send to the
        service of a server.
    :param is_brittle: returns whether a server counts its rejections itself.
    :param clock: source of monotonic time.
    :param rng: random source for the use of what reports leave open.
    :param on_change: called with the server, its state and what it may hold.
    """

    def __init__(
        self,
        node: str,
        nodes: Callable[[], frozenset[str]],
        bounds: Callable[[], types.Bounds],
        service: Callable[[str], types.Service | None],
        members: Callable[[str], list[fleet.Member]],
        loads: server_load.ServerLoads,
        demand: Callable[[str], float],
        is_brittle: Callable[[str], bool],
        clock: clocks.Clock,
        rng: random.Random,
        on_change: Callable[[str, State, float], None],
    ) -> None:
        self._node = node
        self._nodes = nodes
        self._bounds = bounds
        self._service = service
        self._members = members
        self._loads = loads
        self._demand = demand
        self._is_brittle = is_brittle
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self._pacer = request_pacer.RequestPacer(
            node, nodes, clock, INTERVAL_SECONDS
        )
        self._paces: dict[str, _Pace] = {}
        self._usual_times: dict[str, _UsualTimes] = {}

    @property
    def count(self) -> int:
        """Number of servers that are paced."""
        self._drop_expired()
        return len(self._paces)

    def may_send(self, member: fleet.Member) -> bool:
        """Return whether this node may send a server a request now.

        Only the bound on cold servers forbids it; see ``with_room``.
        """
        now = self._clock.monotonic()
        if member.is_cold(now):
            member.was_away = False
            pace = self._paces.get(member.entry.start)
            if pace is None or pace.state is not State.COLD:
                self._begin(member, State.COLD, now)
            else:
                self._observe(pace, member)
            # A node that the others don't know has no part.
            return self._node in self._nodes() and self._pacer.may_send(
                member.id, self._parts(member)
            )
        if member.health.backoff_until > now:
            member.was_away = True
        elif member.was_away:
            member.was_away = False
            self._begin(member, State.GROWING, now)
        return True

    def with_room(self, members: list[fleet.Member]) -> list[fleet.Member]:
        """Return those of some servers that may hold another request.

        :returns: all of them when none may, since a service that starts as a
            whole must serve.
        """
        paced = [
            member for member in members if member.entry.start in self._paces
        ]
        if not paced:
            return members
        without = {member.id for member in paced if not self._has_room(member)}
        return [
            member for member in members if member.id not in without
        ] or members

    def record_sent(self, member: fleet.Member) -> None:
        """Record that a request is sent to a server."""
        if member.is_cold(self._clock.monotonic()):
            self._pacer.record_sent(member.id)

    def record_answer(
        self, member: fleet.Member, seconds: float, expected: float
    ) -> None:
        """Record the head of an answer.

        :param seconds: time from the request to the head.
        :param expected: time that was expected when the request was placed.
        """
        name = member.entry.service
        if not self._is_paced(name):
            return
        usual = self._usual_times.setdefault(name, _UsualTimes())
        factor = seconds / expected
        pace = self._paces.get(member.entry.start)
        if pace is None:
            usual.record(seconds, factor)
        elif seconds > SLOW_SECONDS and factor > SLOW_FACTOR * usual.factor:
            self.record_failure(member)
        elif pace.used_since is None:
            pace.used_since = self._clock.monotonic()

    def record_failure(self, member: fleet.Member) -> None:
        """Record that a request failed or was rejected at a server."""
        pace = self._paces.get(member.entry.start)
        if pace is None:
            return
        pace.troubled = True
        if not self._is_brittle(member.id):
            self._loads.record_rejected(member.id)

    def _is_paced(self, name: str) -> bool:
        service = self._service(name)
        return service is not None and bool(
            service.cold_seconds and service.cold_rate
        )

    def _begin(self, member: fleet.Member, state: State, now: float) -> None:
        if not self._is_paced(member.entry.service):
            return
        self._drop_expired()
        self._paces[member.entry.start] = _Pace(state, now, now, now, now)
        self._on_change(member.id, state, FIRST_REQUESTS)

    def _drop_expired(self) -> None:
        """Drop the paces of servers that have gone or aren't asked."""
        oldest = self._clock.monotonic() - MAX_SECONDS
        self._paces = {
            start: pace
            for start, pace in self._paces.items()
            if pace.asked_at >= oldest
        }

    def _has_room(self, member: fleet.Member) -> bool:
        pace = self._paces[member.entry.start]
        active = self._observe(pace, member)
        if pace.state is State.FULL:
            return True
        room = pace.limit - active
        # Many nodes may send a request before they hear of each other.
        unheard = self._unheard(member) / pace.openness
        return self._rng.random() * (1.0 + unheard) < room

    def _observe(self, pace: _Pace, member: fleet.Member) -> int:
        """Set what a server may hold by what is seen of it.

        :returns: the number of requests that it holds.
        """
        now = self._clock.monotonic()
        pace.asked_at = now
        load = self._loads.total_loads([member.id])[member.id]
        pace.troubled |= load.rejected > 0
        self._record_use(pace, load.active, now)
        self._step(pace, member, load.active, now)
        return load.active

    def _record_use(self, pace: _Pace, active: int, now: float) -> None:
        if pace.used_since is None and GROWTH * active >= pace.limit:
            pace.used_since = now

    def _step(
        self, pace: _Pace, member: fleet.Member, active: int, now: float
    ) -> None:
        may_be_full = False
        if pace.state is State.COLD and not member.is_cold(now):
            self._change(pace, member, State.GROWING)
            may_be_full = True
        delay = peer_groups.report_delay(self._pacer.node_count)
        if now - pace.opened_at >= delay:
            pace.opened_at = now
            if pace.used_since is None:
                pace.openness *= GROWTH
            elif active > pace.limit:
                pace.openness = max(1.0, pace.openness / GROWTH)
        if pace.troubled:
            pace.quiet_since = now
            # The same trouble is reported for a while.
            if now - pace.stepped_at >= server_load.REJECTED_SECONDS + delay:
                self._hold_back(pace, member, now)
            return
        usual = self._usual_times.get(member.entry.service, _UsualTimes())
        used_since = now if pace.used_since is None else pace.used_since
        if now - used_since >= max(usual.head, delay):
            # Other nodes may have seen more of it.
            pace.limit = max(pace.limit * GROWTH, float(active))
            pace.held_back = False
            pace.used_since = None
            pace.stepped_at = now
            self._record_use(pace, active, now)
            may_be_full = True
        if pace.state is State.COLD:
            return
        is_quiet = now - pace.quiet_since >= MAX_SECONDS
        if is_quiet or (
            may_be_full and pace.limit >= self._full_limit(member)
        ):
            del self._paces[member.entry.start]
            self._change(pace, member, State.FULL)

    def _hold_back(
        self, pace: _Pace, member: fleet.Member, now: float
    ) -> None:
        before = pace.limit
        pace.limit = max(FIRST_REQUESTS, before / GROWTH)
        pace.troubled = False
        pace.used_since = None
        pace.stepped_at = now
        if pace.limit < before or not pace.held_back:
            self._on_change(member.id, State.BACK, pace.limit)
        pace.held_back = True

    def _change(self, pace: _Pace, member: fleet.Member, state: State) -> None:
        pace.state = state
        self._on_change(member.id, state, pace.limit)

    def _full_limit(self, member: fleet.Member) -> float:
        others = [
            other.id
            for other in self._members(member.entry.service)
            if other.entry.start not in self._paces
        ]
        loads = self._loads.total_loads(others)
        active = sum(load.active for load in loads.values())
        return max(FULL_REQUESTS, FULL_FACTOR * active / max(1, len(others)))

    def _unheard(self, member: fleet.Member) -> float:
        """Return the requests that others may have sent unheard.

        A server without load may attract all requests of its service, or no
        more than its share, as others have cached the prompts: the mean of
        both, in their logarithms, is assumed at first.
        """
        nodes = self._pacer.node_count
        servers = len(self._members(member.entry.service))
        rate = self._demand(member.id) / math.sqrt(max(1, servers))
        if member.is_cold(self._clock.monotonic()):
            parts = self._parts(member)
            rate = min(
                rate * min(1.0, parts / nodes), parts / INTERVAL_SECONDS
            )
        return peer_groups.report_delay(nodes) * rate

    def _parts(self, member: fleet.Member) -> int:
        """Return the requests that the nodes may send in the interval."""
        bounds = self._bounds()
        service = self._service(member.entry.service)
        rate = service.cold_rate if service else 0.0
        allowed = rate * bounds.cold_factor + bounds.cold_extra
        parts = int(allowed * ASSIGNED_SHARE * INTERVAL_SECONDS)
        nodes = self._pacer.node_count
        return parts - parts % nodes if parts >= nodes else parts
