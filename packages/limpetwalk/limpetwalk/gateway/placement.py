"""Choice of the server for one request.

Answers two loads: plain calls that want the idlest sound server, and
generations whose shared prompt parts are dear to read again. The cost of a
server is the time in seconds that a caller would probably wait for it.
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

# Seconds that one more request at a server is worth beside the reading that
# it waits for: it slows each token of an engine a little, and takes one of
# the few slots of a plain service.
PER_REQUEST_ENGINE = 0.002
PER_REQUEST_PLAIN = 0.010
# Seconds that a path to another zone is worth: it costs a millisecond and
# is billed by the byte.
PER_ZONE = 0.004
# Seconds that a sure failure is worth: about the time that is lost by it.
PER_FAILURE = 1.5
# Seconds that a cold server is worth, since it is slow.
PER_COLD = 0.5
# Part of the shared tokens that the server which rendezvous hashing names
# probably holds, because other nodes send it the same parts.
OTHERS_WARM_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class Need:
    """What a request wants of a server.

    :param service: service that is to answer.
    :param versions: versions that may answer, or None for all.
    :param model: model that is to answer, or empty.
    :param prompt: size and parts of its prompt.
    :param avoided: servers tried before; taken only when no other is left.
    """

    service: str
    versions: frozenset[str] | None = None
    model: str = ""
    prompt: types.Prompt = types.Prompt()
    avoided: Collection[str] = ()


@dataclass(frozen=True, slots=True)
class Choice:
    """Server that was chosen.

    :param queue_seconds: prefill time of the requests that wait there.
    :param prefill_seconds: prefill time of the request itself.
    """

    member: fleet.Member
    queue_seconds: float
    prefill_seconds: float

    @property
    def first_byte_seconds(self) -> float:
        """Seconds until the first byte, probably."""
        return (
            self.queue_seconds + self.prefill_seconds + prefill_time.OVERHEAD
        )


class Placer:
    """Chooses servers by their cost.

    :param zone: availability zone of this node.
    :param may_send_cold: whether a cold server may be sent a request now.
    """

    def __init__(
        self,
        zone: str,
        servers: fleet.Fleet,
        memory: prefix_cache.PrefixCacheTracker,
        loads: server_load.ServerLoads,
        prefill_times: prefill_time.PrefillTimes,
        clock: clocks.Clock,
        may_send_cold: Callable[[fleet.Member], bool],
    ) -> None:
        self._zone = zone
        self._fleet = servers
        self._memory = memory
        self._loads = loads
        self._prefill_times = prefill_times
        self._clock = clock
        self._may_send_cold = may_send_cold

    def choose(self, need: Need) -> Choice | None:
        """Return the cheapest server, or None when none may be used."""
        now = self._clock.monotonic()
        able = [
            held
            for held in self._fleet.usable(need.service)
            if self._fits(held, need, now)
        ]
        fresh = [held for held in able if held.id not in need.avoided]
        sound = [held for held in fresh if held.health.backoff_until <= now]
        candidates = sound or fresh
        if not candidates:
            return None
        preferred = self._preferred(need, candidates)
        loads = self._loads.at([held.id for held in candidates])
        rated = [
            self._rate(held, need, preferred, loads[held.id], now)
            for held in candidates
        ]
        return min(rated, key=lambda each: each[:2])[2]

    def _fits(self, held: fleet.Member, need: Need, now: float) -> bool:
        entry = held.entry
        if need.versions is not None and entry.version not in need.versions:
            return False
        if need.model and entry.models and need.model not in entry.models:
            return False
        return not held.is_cold(now) or self._may_send_cold(held)

    def _preferred(self, need: Need, held: Iterable[fleet.Member]) -> str:
        key = need.prompt.shared_key
        if not key:
            return ""
        return max(
            held,
            key=lambda each: xxhash.xxh64_intdigest(
                f"{each.id}\0{need.model}\0{key}".encode()
            ),
        ).id

    def _rate(
        self,
        held: fleet.Member,
        need: Need,
        preferred: str,
        load: server_load.Load,
        now: float,
    ) -> tuple[float, int, Choice]:
        unread = self._unread(held, need, preferred)
        reading = self._prefill_times.prefill_seconds(need.model, unread)
        choice = Choice(held, load.waiting, reading)
        per_request = PER_REQUEST_ENGINE if need.model else PER_REQUEST_PLAIN
        cost = load.waiting + reading + per_request * load.active
        if held.entry.zone != self._zone:
            cost += PER_ZONE
        cost += PER_FAILURE * held.health.failure_share(now)
        if held.is_cold(now):
            cost += PER_COLD
        tie = xxhash.xxh32_intdigest(f"{held.id}{now}".encode())
        return cost, tie, choice

    def _unread(self, held: fleet.Member, need: Need, preferred: str) -> float:
        """Return the tokens that a server would have to read."""
        total = sum(part.tokens for part in need.prompt.parts)
        cached = self._memory.cached_tokens(held.id, need.model, need.prompt)
        if held.id == preferred:
            shared = total - need.prompt.parts[-1].tokens
            cached = max(cached, int(OTHERS_WARM_SHARE * shared))
        return float(total - cached)
