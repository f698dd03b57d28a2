"""Room that the servers of a service have for requests, by their priority.

Serves a load that an engine's slots can't hold: requests beyond them wait at
the engine, where even the most urgent one can't be moved. A part of the slots
is left to each more urgent priority, since other nodes' loads are known late.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math

from .. import clock as clocks
from . import fleet
from . import server_load
from . import types

# Fraction of a server's slots that is left to each more urgent priority.
RESERVED_SHARE = 0.125
# Smallest fraction of the slots that a priority may use, however many are more
# urgent.
SMALLEST_SHARE = 0.5
# Fraction of the shortest target latency of more urgent requests that prompts
# may take which a server has yet to read.
PREFILL_SHARE = 0.25
# Fraction of the servers that remain when none has room: the least loaded.
LEAST_LOADED_SHARE = 0.25
# Fraction of the slots above which the time to the first byte says more of the
# requests before it than of its prompt.
CALM_SHARE = 0.5


class ServerRoom:
    """Room of servers, from their slots and the loads of all nodes.

    :param routes: returns the routes of the configuration in force.
    """

    def __init__(
        self,
        servers: fleet.Fleet,
        loads: server_load.ServerLoads,
        routes: Callable[[], Sequence[types.Route]],
        clock: clocks.Clock,
    ) -> None:
        self._fleet = servers
        self._loads = loads
        self._routes = routes
        self._clock = clock
        self._ranked: Sequence[types.Route] = ()
        self._priorities: dict[str, list[int]] = {}
        self._targets: dict[str, list[float]] = {}

    def rank(self, service: str, priority: int) -> int:
        """Return how many priorities of a service are more urgent."""
        return sum(known < priority for known in self._known(service))

    def is_ranked(self, service: str) -> bool:
        """Return whether the requests of a service differ in priority."""
        return len(self._known(service)) > 1

    def slots(self, member: fleet.Member, rank: int) -> float:
        """Return the slots of a server that requests of a rank may use."""
        if member.entry.slots <= 0:
            return math.inf
        share = max(SMALLEST_SHARE, 1.0 - RESERVED_SHARE * rank)
        return member.entry.slots * share

    def free(self, service: str, rank: int) -> float:
        """Return the number of requests of a rank that servers could take."""
        now = self._clock.monotonic()
        members = [
            member
            for member in self._fleet.usable(service)
            if member.health.backoff_until <= now
        ]
        loads = self._loads.total_loads([member.id for member in members])
        longest = self._longest_prefill(service, rank)
        return sum(
            max(0.0, self.slots(member, rank) - loads[member.id].active)
            for member in members
            if loads[member.id].pending_prefill < longest
        )

    def with_room(
        self, members: Sequence[fleet.Member], priority: int
    ) -> list[fleet.Member]:
        """Return the servers with room, or the least loaded if none has any.

        :param members: servers of one service.
        """
        if not members or not self.is_ranked(members[0].entry.service):
            return list(members)
        service = members[0].entry.service
        rank = self.rank(service, priority)
        longest = self._longest_prefill(service, rank)
        loads = self._loads.total_loads([member.id for member in members])
        roomy = [
            member
            for member in members
            if loads[member.id].active < self.slots(member, rank)
            and loads[member.id].pending_prefill < longest
        ]
        if roomy:
            return roomy
        by_load = sorted(
            members,
            key=lambda member: (
                loads[member.id].active / self.slots(member, rank)
            ),
        )
        return by_load[: math.ceil(len(by_load) * LEAST_LOADED_SHARE)]

    def is_calm(self, member: fleet.Member) -> bool:
        """Return whether requests hardly wait for each other at a server."""
        load = self._loads.total_loads([member.id])[member.id]
        return load.active <= CALM_SHARE * self.slots(member, 0)

    def _longest_prefill(self, service: str, rank: int) -> float:
        """Return the pending prefill time beyond which a server is short.

        A prompt that an engine reads delays the more urgent ones after it.
        """
        self._known(service)
        targets = self._targets.get(service, [])[:rank]
        return min(targets, default=math.inf) * PREFILL_SHARE

    def _known(self, service: str) -> list[int]:
        routes = self._routes()
        if routes is not self._ranked:
            self._ranked = routes
            targets = _targets_by_service(routes)
            self._priorities = {name: list(targets[name]) for name in targets}
            self._targets = {
                name: list(targets[name].values()) for name in targets
            }
        return self._priorities.get(service, [])


def _targets_by_service(
    routes: Iterable[types.Route],
) -> dict[str, dict[int, float]]:
    """Return the shortest target latencies of services, by priority.

    Only generations count: a slot of a plain service is free again before
    other nodes hear that it was taken.
    """
    targets: dict[str, dict[int, float]] = {}
    generations = (route for route in routes if route.streaming)
    for route in sorted(generations, key=lambda route: route.priority):
        for service, weight in route.targets:
            if weight > 0:
                known = targets.setdefault(service, {})
                known[route.priority] = min(
                    known.get(route.priority, math.inf), route.target_latency
                )
    return targets
