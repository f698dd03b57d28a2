"""Brittle servers, which fall over when they reject too many requests.

Serves overload of servers that state how many requests they may reject in a
second, with many nodes that hear of each other late. A server's room is its
slots, or less where rejections have shown so; what the nodes have there, and
may have placed there unheard, stays below it. Rejections of all nodes are
counted, and a server that has rejected many of what it may gets nothing until
they are old. Requests beyond what a server is known to have accepted are
probes, of which a node has few at a time.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import math
import random
import statistics

from .. import clock as clocks
from . import fleet
from . import peer_groups
from . import server_load
from . import stated_values

# Share of the rejections that a server may make in a second, from which it
# gets nothing until they are old.
REJECTIONS_SHARE = 0.4
# Share of a server's free room that may be filled before the nodes hear of
# each other, and standard deviations by which chance may exceed it.
FILLED_SHARE = 0.8
DEVIATIONS = 3.0
# Share of it for requests that cost least there; the rest is for others.
CHEAPEST_SHARE = 0.4
# Share of the requests at a server that it has room for after a rejection.
SHARE_AFTER_REJECTION = 0.9
# Time in which a report of a single group is sent and summed up, in seconds.
READING_DELAY = 0.05
# Growth of a server's room without rejections, per second, as a share of it
# and in requests.
GROWTH_SHARE = 0.05
GROWTH_REQUESTS = 0.5


@dataclass(slots=True)
class _Room:
    """Requests that a server has room for, as learnt from rejections.

    :param accepted: requests at the server with which it accepted one.
    :param probes: requests beyond those that this node waits for.
    :param rejected: recent rejections that have been learnt from.
    :param own_rejected_at: instant of this node's last rejection.
    """

    size: float
    grown_at: float
    accepted: float
    probes: int = 0
    rejected: int = 0
    own_rejected_at: float = -math.inf

    def shrink(self, active: int, lasting: float) -> None:
        """Learn from a rejection.

        :param active: requests at the server by the latest reports.
        :param lasting: share of them that were still there.
        """
        known = lasting * active + (1.0 - lasting) * self.size
        size = SHARE_AFTER_REJECTION * min(self.size, known)
        self.size = max(1.0, size)
        self.accepted = min(self.accepted, self.size)


@dataclass(frozen=True, slots=True)
class _View:
    """What the reports of other nodes leave open.

    :param delay: time in which others may have sent unheard, in seconds.
    :param lasting: share of the reported requests that are still there.
    :param unheard: requests that others would have at the servers by then.
    """

    delay: float
    lasting: float
    unheard: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Request to a server beyond what it is known to have accepted.

    :param active: requests at the server with it.
    """

    server: str
    active: int


class BrittleServers(stated_values.StatedValues):
    """Rejections per second that servers state, and their room.

    :param nodes: returns the names of all known nodes.
    :param loads: load of servers, by the reports of all nodes.
    :param clock: source of monotonic time.
    :param demand: returns the requests per second that all nodes send to the
        service of a server.
    :param rng: random source for the use of room that other nodes see too.
    :param on_change: called with the server and the rejections per second
        that it states, or None when it is no longer brittle.
    """

    def __init__(
        self,
        nodes: Callable[[], frozenset[str]],
        loads: server_load.ServerLoads,
        clock: clocks.Clock,
        demand: Callable[[str], float],
        rng: random.Random,
        on_change: Callable[[str, float | None], None],
    ) -> None:
        super().__init__(clock, on_change)
        self._nodes = nodes
        self._loads = loads
        self._demand = demand
        self._rng = rng
        self._rooms: dict[str, _Room] = {}

    def start_probe(self, server_id: str) -> Probe | None:
        """Record that a request is sent, if it is a probe.

        The request already counts in the load.
        """
        room = self._rooms.get(server_id)
        if room is None:
            return None
        active = self._loads.total_loads([server_id])[server_id].active
        if active <= room.accepted:
            return None
        room.probes += 1
        return Probe(server_id, active)

    def end_probe(self, probe: Probe | None, accepted: bool) -> None:
        """Record whether a server accepted a request that was sent.

        :param probe: None if the request was none.
        """
        room = self._rooms.get(probe.server) if probe is not None else None
        if probe is None or room is None:
            return
        room.probes = max(0, room.probes - 1)
        if accepted:
            room.accepted = min(room.size, max(room.accepted, probe.active))

    def record_rejection(self, server_id: str) -> bool:
        """Record that a server rejected a request of this node.

        The request still counts in the load.

        :returns: whether the server is brittle.
        """
        if self.value(server_id) is None:
            return False
        self._loads.record_rejected(server_id)
        room = self._rooms.get(server_id)
        if room is not None:
            active = self._loads.total_loads([server_id])[server_id].active
            room.shrink(active - 1, self._view([server_id]).lasting)
            room.rejected = self._loads.total_rejected(server_id)
            room.own_rejected_at = self._clock.monotonic()
        return True

    def with_room(self, members: Sequence[fleet.Member]) -> list[fleet.Member]:
        """Return the servers that may get a request now.

        :param members: servers of one service.
        """
        rejections = self._stated_rejections(members)
        if not rejections:
            return list(members)
        brittle = [member for member in members if member.id in rejections]
        view = self._view([member.id for member in members])
        self._add_rooms(brittle)
        free = {
            member.id: self._free(member, rejections[member.id], view)
            for member in brittle
        }
        chosen = [
            member
            for member in members
            if member.id not in free
            or self._draw(CHEAPEST_SHARE * free[member.id], view.unheard)
        ]
        if chosen:
            return chosen
        # Others may want the same servers, so a request that found none by
        # its costs goes to any, in proportion to their room.
        total = sum(free.values())
        if self._draw((1.0 - CHEAPEST_SHARE) * total, view.unheard):
            weights = [free[member.id] for member in brittle]
            return self._rng.choices(brittle, weights)
        return []

    def _stated_rejections(
        self, members: Sequence[fleet.Member]
    ) -> dict[str, float]:
        """Return the rejections per second that brittle servers may make.

        The servers of a service are brittle at the same time, so one that
        hasn't answered yet is taken to be like the others.
        """
        stated = {member.id: self.value(member.id) for member in members}
        values = [value for value in stated.values() if value is not None]
        if not values:
            return {}
        least = min(values)
        return {
            server_id: least if value is None else value
            for server_id, value in stated.items()
            if value is not None or not self.is_known(server_id)
        }

    def _view(self, server_ids: Sequence[str]) -> _View:
        """Return what the reports leave open about servers of a service."""
        nodes = self._node_count
        delay = _report_delay(nodes)
        duration = self._loads.mean_duration(server_ids)
        lasting = math.exp(-delay / duration) if duration else 1.0
        others = (nodes - 1) / nodes * self._demand(server_ids[0])
        seconds = duration * (1.0 - lasting) if duration else delay
        return _View(delay, lasting, others * seconds)

    def _free(
        self, member: fleet.Member, rejections: float, view: _View
    ) -> float:
        """Return the requests that a server may get from all nodes unheard.

        Their number varies by chance; where more come than there is room for,
        the server may reject some.
        """
        now = self._clock.monotonic()
        active = self._loads.total_loads([member.id])[member.id].active
        own = self._loads.own_active(member.id)
        rejected = self._loads.total_rejected(member.id)
        room = self._room(member, rejected, active, view)
        # Late reports leave others as many again unheard.
        allowed = REJECTIONS_SHARE * rejections / (1.0 + view.delay)
        # The others hear of this node's rejection after the delay.
        if (
            rejected >= max(1.0, allowed)
            or now < room.own_rejected_at + view.delay
        ):
            return 0.0
        if active + 1 > room.accepted and room.probes >= max(1.0, allowed):
            return 0.0
        free = room.size - own - view.lasting * (active - own)
        if free < 1.0:
            return 0.0
        most = free + max(0.0, allowed - rejected)
        return min(FILLED_SHARE * free, _mean_below(most))

    def _add_rooms(self, members: Sequence[fleet.Member]) -> None:
        """Add the rooms of new servers, which are like the others'."""
        now = self._clock.monotonic()
        known = [
            self._rooms[member.id]
            for member in members
            if member.id in self._rooms
        ]
        loads = self._loads.total_loads([member.id for member in members])
        for member in members:
            if member.id in self._rooms:
                continue
            size, accepted = math.inf, float(loads[member.id].active)
            if known:
                size = statistics.fmean(room.size for room in known)
                accepted = statistics.fmean(room.accepted for room in known)
            self._rooms[member.id] = _Room(size, now, accepted)

    def _room(
        self, member: fleet.Member, rejected: int, active: int, view: _View
    ) -> _Room:
        now = self._clock.monotonic()
        room = self._rooms[member.id]
        slots = max(1, member.entry.slots)
        room.size = min(room.size, slots)
        if rejected > room.rejected:
            room.shrink(active, view.lasting)
        elif not rejected:
            growth = GROWTH_SHARE * room.size + GROWTH_REQUESTS
            size = room.size + growth * (now - room.grown_at)
            room.size = min(size, slots)
        room.grown_at = now
        room.rejected = rejected
        return room

    def _draw(self, free: float, unheard: float) -> bool:
        return free > 0.0 and self._rng.random() * unheard < free

    @property
    def _node_count(self) -> int:
        return max(1, len(self._nodes()))

    def _expire(self) -> None:
        super()._expire()
        self._rooms = {
            server_id: room
            for server_id, room in self._rooms.items()
            if self._clock.monotonic() - room.grown_at
            <= stated_values.LIFETIME
        }


def _report_delay(nodes: int) -> float:
    """Return the time in which nodes don't know what the others sent."""
    if peer_groups.has_groups(nodes):
        return peer_groups.GROUPS_DELAY
    interval = peer_groups.single_group_interval(nodes)
    return interval + READING_DELAY if nodes > 1 else 0.0


def _mean_below(most: float) -> float:
    """Return the mean of a number that rarely exceeds a bound by chance."""
    # Solves mean + DEVIATIONS * sqrt(mean) = most.
    root = math.sqrt(DEVIATIONS**2 + 4.0 * most) - DEVIATIONS
    return root**2 / 4.0
