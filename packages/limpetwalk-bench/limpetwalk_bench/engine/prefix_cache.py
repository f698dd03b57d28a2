"""Prefix cache of limited size whose events are late and may be lost."""

import collections
from dataclasses import asdict
from dataclasses import dataclass
import random
from typing import Any

import xxhash

from limpetwalk import clock as clocks

MAX_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of the prefix cache.

    :param seq: sequence number, which counts lost events too.
    :param at: monotonic time of the change, in seconds.
    :param kind: ``stored`` or ``evicted``.
    :param block: hash of the prefix up to the end of the block.
    """

    seq: int
    at: float
    kind: str
    block: str


class PrefixCache:
    """Least-recently-used cache of the blocks of prompt prefixes.

    :param block_tokens: tokens of a block.
    :param limit: maximum number of blocks.
    :param lag: seconds until an event is shown.
    :param lost_share: share of events that are lost, 0.0 to 1.0.
    :param clock: clock of the events.
    :param rng: random source that decides which events are lost.
    """

    def __init__(
        self,
        block_tokens: int,
        limit: int,
        lag: float,
        lost_share: float,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._block_tokens = block_tokens
        self._limit = limit
        self._lag = lag
        self._lost_share = lost_share
        self._clock = clock
        self._rng = rng
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._seq = 0

    def hashes(self, words: list[str]) -> list[str]:
        """Return the hashes of the whole blocks of a prompt."""
        hashes = []
        state = xxhash.xxh64()
        for end in range(
            self._block_tokens, len(words) + 1, self._block_tokens
        ):
            block = " ".join(words[end - self._block_tokens : end])
            state.update(block.encode())
            hashes.append(state.hexdigest())
        return hashes

    def cached_tokens(self, blocks: list[str]) -> int:
        """Return the number of leading tokens cached; mark them as used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * self._block_tokens

    def store(self, blocks: list[str]) -> None:
        """Add blocks and evict the least recently used ones."""
        for block in blocks:
            if block not in self._blocks:
                self._record_event("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            block, _ = self._blocks.popitem(last=False)
            self._record_event("evicted", block)

    def export(self) -> list[str]:
        """Return the cached blocks, the least recently used first."""
        return list(self._blocks)

    def clear(self) -> None:
        """Remove all blocks and events, as a restart does."""
        self._blocks.clear()
        self._events.clear()

    def events(self, after: int) -> list[dict[str, Any]]:
        """Return the events after a sequence number that are old enough."""
        shown_until = self._clock.monotonic() - self._lag
        return [
            asdict(event)
            for event in self._events
            if event.seq > after and event.at <= shown_until
        ]

    def _record_event(self, kind: str, block: str) -> None:
        self._seq += 1
        if self._rng.random() < self._lost_share:
            return
        now = self._clock.monotonic()
        self._events.append(CacheEvent(self._seq, now, kind, block))
