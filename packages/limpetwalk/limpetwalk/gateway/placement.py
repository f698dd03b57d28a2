"""Chooses the server for a request by its expected cost.

Serves two kinds of load: plain calls, which need the least loaded healthy
server, and generations, whose shared prompt parts are expensive to read again.
The cost of a server is the time in seconds that a caller would probably wait
for it.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import math
import random

import xxhash

from .. import clock as clocks
from . import fleet
from . import load_decisions
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
# Fraction of the shared tokens that the server chosen by rendezvous hashing
# probably caches, because other nodes send it the same parts.
PREFERRED_CACHED_SHARE = 0.7
# Requests that a server may get from nodes that don't know of each other's,
# before fewer servers are compared.
UNSEEN_PER_SERVER = 1.5
# Least number of servers that are compared.
MIN_COMPARED = 2


@dataclass(frozen=True, slots=True)
class Need:
    """Requirements of a request for its server.

    :param service: service that the request is for.
    :param versions: versions that may serve it, or None for all.
    :param model: model that is to serve it, or empty.
    :param prompt: size and parts of its prompt.
    :param avoided: identifiers of servers tried before, which are not chosen.
    """

    service: str
    versions: frozenset[str] | None = None
    model: str = ""
    prompt: types.Prompt = types.Prompt()
    avoided: Collection[str] = ()


@dataclass(frozen=True, slots=True)
class Choice:
    """Server that was chosen, with its expected times.

    :param queue_seconds: prefill time of the requests that wait there, and
        time until a slot is free.
    :param prefill_seconds: prefill time of the request itself.
    :param time_factor: time that the server needs, against the mean of its
        service, for which both times are.
    """

    member: fleet.Member
    queue_seconds: float
    prefill_seconds: float
    time_factor: float = 1.0

    @property
    def first_byte_seconds(self) -> float:
        """Expected time to the first byte, in seconds."""
        return self.time_factor * (
            self.queue_seconds + self.prefill_seconds + prefill_time.OVERHEAD
        )


class EvenSpeeds:
    """Speeds of servers of which none is known."""

    def time_factor(self, server_id: str) -> float:
        """Return 1, as for a server as fast as the mean."""
        return 1.0


class Placer:
    """Chooses the server with the lowest cost.

    :param zone: availability zone of this node.
    :param may_send: returns whether this node may send a server a request
        now; cold servers and those with a limit take few.
    :param with_room: returns those of some servers that have room for a
        request, as brittle servers must not be asked without.
    :param unseen: returns the number of requests to a service that other
        nodes have probably sent since the reports that this node knows.
    :param rng: chooses the servers that are compared.
    :param speeds: how fast each server is.
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
        unseen: Callable[[str], float] = lambda service: 0.0,
        rng: random.Random | None = None,
        speeds: load_decisions.ServerSpeeds = EvenSpeeds(),
    ) -> None:
        self._zone = zone
        self._fleet = servers
        self._memory = memory
        self._loads = loads
        self._prefill_times = prefill_times
        self._clock = clock
        self._may_send = may_send
        self._with_room = with_room
        self._unseen = unseen
        self._rng = rng or random.Random()
        self._speeds = speeds

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
        candidates = self._with_room(healthy or untried)
        if not candidates:
            return None
        preferred = self._preferred_server(need, candidates)
        candidates = self._compared(need.service, candidates, preferred)
        loads = self._loads.total_loads([member.id for member in candidates])
        factors = {
            member.id: self._speeds.time_factor(member.id)
            for member in candidates
        }
        duration = self._duration(candidates, loads, factors)
        ratings = [
            self._rate(
                member,
                need,
                preferred,
                loads[member.id],
                factors[member.id],
                duration,
                now,
            )
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

    def _compared(
        self, service: str, candidates: list[fleet.Member], preferred: str
    ) -> list[fleet.Member]:
        """Return the servers to compare: all, or some that chance chooses.

        Nodes that know the same loads would all choose the server of the
        lowest cost, before they hear of each other's requests. With chance
        it gets only the share of them for which it is compared.
        """
        unseen = self._unseen(service)
        if unseen <= UNSEEN_PER_SERVER:
            return candidates
        share = UNSEEN_PER_SERVER / unseen
        count = max(MIN_COMPARED, math.ceil(share * len(candidates)))
        near: list[fleet.Member] = []
        far: list[fleet.Member] = []
        for member in candidates:
            (near if member.entry.zone == self._zone else far).append(member)
        compared = [
            member
            for part in (near, far)
            for member in self._rng.sample(part, min(count, len(part)))
        ]
        if all(member.id != preferred for member in compared):
            compared += [m for m in candidates if m.id == preferred]
        return compared

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
        factor: float,
        duration: float,
        now: float,
    ) -> tuple[float, int, Choice]:
        unread_tokens = self._unread_tokens(member, need, preferred)
        prefill = self._prefill_times.prefill_seconds(
            need.model, unread_tokens
        )
        waiting = load.pending_prefill + _slot_seconds(member, load, duration)
        choice = Choice(member, waiting, prefill, factor)
        request_cost = (
            ENGINE_REQUEST_COST if need.model else PLAIN_REQUEST_COST
        )
        cost = waiting + prefill + request_cost * load.active
        if not need.model:
            cost += duration
        cost *= factor
        if member.entry.zone != self._zone:
            cost += OTHER_ZONE_COST
        cost += FAILURE_COST * member.health.failure_share(now)
        tie_breaker = xxhash.xxh32_intdigest(f"{member.id}{now}".encode())
        return cost, tie_breaker, choice

    def _duration(
        self,
        candidates: Iterable[fleet.Member],
        loads: Mapping[str, server_load.Load],
        factors: Mapping[str, float],
    ) -> float:
        """Return the mean duration of requests, in seconds.

        :returns: 0 when all servers have a slot and are equally fast, as the
            duration changes no choice then.
        """
        if all(
            factors[member.id] == 1.0
            and not _is_full(member, loads[member.id])
            for member in candidates
        ):
            return 0.0
        return self._loads.mean_duration(member.id for member in candidates)

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


def _is_full(member: fleet.Member, load: server_load.Load) -> bool:
    return 0 < member.entry.slots <= load.active


def _slot_seconds(
    member: fleet.Member, load: server_load.Load, duration: float
) -> float:
    """Return the time until a slot is free for a request, in seconds."""
    if not _is_full(member, load):
        return 0.0
    ahead = load.active - member.entry.slots + 1
    return duration * ahead / member.entry.slots
