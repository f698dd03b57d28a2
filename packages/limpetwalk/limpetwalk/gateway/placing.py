"""Choice of the server for one request.

Answers two loads: plain calls that want the idlest sound server, and
generations whose shared prompt parts are dear to read again. The cost of a
server is counted in prompt tokens that the request would have to wait for.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from .. import clock as clocks
from . import affinity
from . import fleet
from . import types

# Prompt tokens that one more request at a server is worth. A request of
# this node stands for some of the other nodes.
TOKENS_PER_REQUEST = 400.0
# Prompt tokens that a path to another zone is worth: it costs about a
# millisecond and is billed by the byte.
TOKENS_PER_ZONE = 120.0
# Prompt tokens that a sure failure is worth: about a second of reading.
TOKENS_PER_FAILURE = 30_000.0
# Prompt tokens that a cold server is worth, since it is slow.
TOKENS_PER_COLD = 4_000.0
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


class Placer:
    """Chooses servers by their cost.

    :param zone: availability zone of this node.
    :param may_send_cold: whether a cold server may be sent a request now.
    """

    def __init__(
        self,
        zone: str,
        servers: fleet.Fleet,
        memory: affinity.PrefixMemory,
        clock: clocks.Clock,
        may_send_cold: Callable[[fleet.Member], bool],
    ) -> None:
        self._zone = zone
        self._fleet = servers
        self._memory = memory
        self._clock = clock
        self._may_send_cold = may_send_cold

    def choose(self, need: Need) -> fleet.Member | None:
        """Return the cheapest server, or None when none may be used."""
        now = self._clock.monotonic()
        able = [
            held
            for held in self._fleet.usable(need.service)
            if self._fits(held, need, now)
        ]
        fresh = [held for held in able if held.id not in need.avoided]
        sound = [held for held in fresh if held.condition.rests_until <= now]
        candidates = sound or fresh
        if not candidates:
            return None
        preferred = self._preferred(need, candidates)
        return min(
            candidates,
            key=lambda held: self._cost(held, need, preferred, now),
        )

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

    def _cost(
        self, held: fleet.Member, need: Need, preferred: str, now: float
    ) -> tuple[float, int]:
        cost = TOKENS_PER_REQUEST * held.condition.in_flight
        cost += self._unread(held, need, preferred)
        if held.entry.zone != self._zone:
            cost += TOKENS_PER_ZONE
        cost += TOKENS_PER_FAILURE * held.condition.failure_share(now)
        if held.is_cold(now):
            cost += TOKENS_PER_COLD
        tie = xxhash.xxh32_intdigest(f"{held.id}{now}".encode())
        return cost, tie

    def _unread(self, held: fleet.Member, need: Need, preferred: str) -> float:
        """Return the tokens that a server would have to read."""
        total = sum(part.tokens for part in need.prompt.parts)
        cached = self._memory.cached_tokens(held.id, need.model, need.prompt)
        if held.id == preferred:
            shared = total - need.prompt.parts[-1].tokens
            cached = max(cached, int(OTHERS_WARM_SHARE * shared))
        return float(total - cached)
