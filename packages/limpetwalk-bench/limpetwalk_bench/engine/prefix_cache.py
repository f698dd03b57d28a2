"""Prefix cache of limited size with late, lossy events."""

import collections
from dataclasses import asdict
from dataclasses import dataclass
import random
from typing import Any

import xxhash

from limpetwalk import clock as clocks

KEPT_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of the prefix cache.

    :param seq: grows by one with each event, lost ones included.
    :param at: monotonic instant of the change.
    :param kind: ``stored`` or ``evicted``.
    :param block: hash of the prefix up to the end of the block.
    """

    seq: int
    at: float
    kind: str
    block: str


class PrefixCache:
    """Least recently used blocks of prompt prefixes.

    :param block_tokens: tokens of a block.
    :param limit: most blocks held.
    :param lag: seconds until an event is shown.
    :param gap: share of events that are lost.
    """

    def __init__(
        self,
        block_tokens: int,
        limit: int,
        lag: float,
        gap: float,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._block_tokens = block_tokens
        self._limit = limit
        self._lag = lag
        self._gap = gap
        self._clock = clock
        self._rng = rng
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=KEPT_EVENTS
        )
        self._seq = 0

    def hashes(self, words: list[str]) -> list[str]:
        """Return the hashes of the whole blocks of a prompt."""
        found = []
        state = xxhash.xxh64()
        for end in range(
            self._block_tokens, len(words) + 1, self._block_tokens
        ):
            block = " ".join(words[end - self._block_tokens : end])
            state.update(block.encode())
            found.append(state.hexdigest())
        return found

    def cached_tokens(self, blocks: list[str]) -> int:
        """Return how many leading tokens are cached, and refresh them."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * self._block_tokens

    def store(self, blocks: list[str]) -> None:
        """Keep blocks, evicting the least recently used ones."""
        for block in blocks:
            if block not in self._blocks:
                self._note("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            block, _ = self._blocks.popitem(last=False)
            self._note("evicted", block)

    def export(self) -> list[str]:
        """Return the held blocks, the least recently used first."""
        return list(self._blocks)

    def clear(self) -> None:
        """Forget all blocks, as a restart does."""
        self._blocks.clear()
        self._events.clear()

    def events(self, after: int) -> list[dict[str, Any]]:
        """Return the events beyond a sequence number that are due."""
        due = self._clock.monotonic() - self._lag
        return [
            asdict(event)
            for event in self._events
            if event.seq > after and event.at <= due
        ]

    def _note(self, kind: str, block: str) -> None:
        self._seq += 1
        if self._rng.random() < self._gap:
            return
        now = self._clock.monotonic()
        self._events.append(CacheEvent(self._seq, now, kind, block))
