"""Estimates which servers have parts of a prompt in their prefix cache."""

import collections

from .. import clock as clocks
from . import types

# Maximum number of remembered pairs of prompt part and server, about 100 bytes
# each; the least recently read are evicted.
MAX_REMEMBERED = 20_000


class PrefixCacheTracker:
    """Prompt parts that servers have read for this node, by model.

    :param reuse: seconds after which a part is assumed to be evicted.
    """

    def __init__(self, clock: clocks.Clock, reuse: float) -> None:
        self._clock = clock
        self._reuse = reuse
        self._read_at: collections.OrderedDict[tuple[str, str, str], float] = (
            collections.OrderedDict()
        )

    def cached_tokens(
        self, server_id: str, model: str, prompt: types.Prompt
    ) -> int:
        """Return how many leading tokens a server probably has cached."""
        oldest = self._clock.monotonic() - self._reuse
        tokens = 0
        for part in prompt.parts:
            read_at = self._read_at.get((server_id, model, part.id))
            if read_at is None or read_at < oldest:
                break
            tokens += part.tokens
        return tokens

    def record_read(
        self, server_id: str, model: str, prompt: types.Prompt
    ) -> None:
        """Record that a server has read a prompt."""
        now = self._clock.monotonic()
        for part in prompt.parts:
            key = (server_id, model, part.id)
            self._read_at[key] = now
            self._read_at.move_to_end(key)
        while len(self._read_at) > MAX_REMEMBERED:
            self._read_at.popitem(last=False)
