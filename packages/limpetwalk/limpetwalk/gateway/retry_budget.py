"""Budget of repeats that all nodes keep without talking.

Answers the load of an outage in which every request fails somewhere: each
node repeats at most its share of what its own requests allow, so the sum
over the nodes stays within the service's bound.
"""

import collections
from collections.abc import Callable

from .. import clock as clocks
from . import types

# Part of the stated bound that is used. Requests of callers may be counted
# half a window apart from their repeats.
USED_SHARE = 0.85
# Shortest time over which a rate of requests is told, seconds.
LEAST_SPAN = 1.0


class RetryBudget:
    """Repeats that one service may still be sent by this node.

    :param nodes: returns the number of nodes that share the extra part.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        bounds: Callable[[], types.Bounds],
        nodes: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._bounds = bounds
        self._nodes = nodes
        self._first: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def record_request(self) -> None:
        """Note a request of a caller."""
        self._first.append(self._clock.monotonic())
        self._forget()

    def request_rate(self) -> float:
        """Return the requests of callers a second, within the window."""
        self._forget()
        if not self._first:
            return 0.0
        # Since the first one: at the start the window is not full yet.
        seen = self._clock.monotonic() - self._first[0]
        return len(self._first) / max(LEAST_SPAN, seen)

    def remaining(self) -> float:
        """Return how many repeats are allowed now."""
        self._forget()
        bounds = self._bounds()
        extra = bounds.retry_extra / max(1, self._nodes())
        allowed = bounds.retry_share * len(self._first) + extra
        return allowed * USED_SHARE - len(self._repeats)

    def try_take(self) -> bool:
        """Take one repeat; whether the budget allows it."""
        if self.remaining() < 1.0:
            return False
        self._repeats.append(self._clock.monotonic())
        return True

    def _forget(self) -> None:
        oldest = self._clock.monotonic() - self._bounds().retry_window
        for held in (self._first, self._repeats):
            while held and held[0] < oldest:
                held.popleft()
