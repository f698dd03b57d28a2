"""Chooses the server for a request by its expected cost.

Serves two kinds of load: plain calls, which need the least loaded healthy
server, and generations, whose shared prompt parts are expensive to read again.
The cost of a server is the time in seconds that a caller would probably wait
for it.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from .. import clock as clocks
from . import fleet
from . import prefill_time
from . import prefix_cache
from . import server_load
from . import types

# Cost in seconds of each active request at a server, besides the prefill time
# that waits there: it slows each token of an engine slightly, and occupies one
# of the few slots of a plain service.
ENGINE_REQUEST_COST = 0.002
PLAIN_REQUEST_COST = 0.010
# Cost in seconds of a server in another zone: the path adds a millisecond, and
# its traffic is billed by the byte.
OTHER_ZONE_COST = 0.004
# Cost in seconds of a certain failure: about the time that it wastes.
FAILURE_COST = 1.5
# Cost in seconds of a cold server, because it is slow.
COLD_COST = 0.5
# Fraction of the shared tokens that the server chosen by rendezvous hashing
# probably caches, because other nodes send it the same parts.
PREFERRED_CACHED_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class Need:
    """Requirements of a request for its server.

    :param service: service that the request is for.
    :param versions: versions that may serve it, or None for all.
    :param model: model that is to serve it, or empty.
    :param prompt: size and parts of its prompt.
    :param avoided: identifiers of servers tried before, which are not chosen.
    :param priority: priority of the request, 0 is the highest.
    """

    service: str
    versions: frozenset[str] | None = None
    model: str = ""
    prompt: types.Prompt = types.Prompt()
    avoided: Collection[str] = ()
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Choice:
    """Server that was chosen, with its expected times.

    :param queue_seconds: prefill time of the requests that wait there.
    :param prefill_seconds: prefill time of the request itself.
    """

    member: fleet.Member
    queue_seconds: float
    prefill_seconds: float

    @property
    def first_byte_seconds(self) -> float:
        """Expected time to the first byte, in seconds."""
        return (
            self.queue_seconds + self.prefill_seconds + prefill_time.OVERHEAD
        )


class Placer:
    """Chooses the server with the lowest cost.

    :param zone: availability zone of this node.
    :param may_send: returns whether this node may send a server a request
        now; cold servers and those with a limit take few.
    :param with_room: returns those of some servers that have room for a
        request, as brittle servers must not be asked without.
    :param roomy: returns those of some servers that a request of a
        priority should go to.
    """

    def __init__(
        self,
        zone: str,
        servers: fleet.Fleet,
        memory: prefix_cache.PrefixCacheTracker,
        loads: server_load.ServerLoads,
        prefill_times: prefill_time.PrefillTimes,
        clock: clocks.Clock,
        may_send: Callable[[fleet.Member], bool],
        with_room: Callable[
            [list[fleet.Member]], list[fleet.Member]
        ] = lambda members: members,
        roomy: Callable[
            [list[fleet.Member], int], list[fleet.Member]
        ] = lambda members, priority: members,
    ) -> None:
        self._zone = zone
        self._fleet = servers
        self._memory = memory
        self._loads = loads
        self._prefill_times = prefill_times
        self._clock = clock
        self._may_send = may_send
        self._with_room = with_room
        self._roomy = roomy

    def choose(self, need: Need) -> Choice | None:
        """Return the server of the lowest cost, or None without a candidate.

        Servers that are backing off are candidates only when all are.
        """
        now = self._clock.monotonic()
        eligible = [
            member
            for member in self._fleet.usable(need.service)
            if self._fits(member, need)
        ]
        untried = [
            member for member in eligible if member.id not in need.avoided
        ]
        healthy = [
            member for member in untried if member.health.backoff_until <= now
        ]
        candidates = self._roomy(
            self._with_room(healthy or untried), need.priority
        )
        if not candidates:
            return None
        preferred = self._preferred_server(need, candidates)
        loads = self._loads.total_loads([member.id for member in candidates])
        ratings = [
            self._rate(member, need, preferred, loads[member.id], now)
            for member in candidates
        ]
        return min(ratings, key=lambda rating: rating[:2])[2]

    def _fits(self, member: fleet.Member, need: Need) -> bool:
        entry = member.entry
        if need.versions is not None and entry.version not in need.versions:
            return False
        if (
            need.model
            and entry.models is not None
            and need.model not in entry.models
        ):
            return False
        return self._may_send(member)

    def _preferred_server(
        self, need: Need, candidates: Iterable[fleet.Member]
    ) -> str:
        key = need.prompt.shared_key
        if not key:
            return ""
        return max(
            candidates,
            key=lambda member: xxhash.xxh64_intdigest(
                f"{member.id}\0{need.model}\0{key}".encode()
            ),
        ).id

    def _rate(
        self,
        member: fleet.Member,
        need: Need,
        preferred: str,
        load: server_load.Load,
        now: float,
    ) -> tuple[float, int, Choice]:
        unread_tokens = self._unread_tokens(member, need, preferred)
        prefill = self._prefill_times.prefill_seconds(
            need.model, unread_tokens
        )
        choice = Choice(member, load.pending_prefill, prefill)
        request_cost = (
            ENGINE_REQUEST_COST if need.model else PLAIN_REQUEST_COST
        )
        cost = load.pending_prefill + prefill + request_cost * load.active
        if member.entry.zone != self._zone:
            cost += OTHER_ZONE_COST
        cost += FAILURE_COST * member.health.failure_share(now)
        if member.is_cold(now):
            cost += COLD_COST
        tie_breaker = xxhash.xxh32_intdigest(f"{member.id}{now}".encode())
        return cost, tie_breaker, choice

    def _unread_tokens(
        self, member: fleet.Member, need: Need, preferred: str
    ) -> float:
        """Return the number of tokens that a server would have to read."""
        total = sum(part.tokens for part in need.prompt.parts)
        cached = self._memory.cached_tokens(member.id, need.model, need.prompt)
        if member.id == preferred:
            shared = total - need.prompt.parts[-1].tokens
            cached = max(cached, int(PREFERRED_CACHED_SHARE * shared))
        return float(total - cached)
