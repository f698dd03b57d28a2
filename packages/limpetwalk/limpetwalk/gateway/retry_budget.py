"""Retry budget of a service, applied by the nodes without coordination.

Limits the extra load of an outage in which every request fails somewhere:
each node sends at most the retries that its own requests and its part of the
extra allowance permit, so the sum over the nodes stays within the service's
bound.
"""

import collections
from collections.abc import Callable

from .. import clock as clocks
from . import types

# Fraction of the stated bound that is used. A request and its retries may be
# counted up to half a window apart.
USED_SHARE = 0.85
# Shortest time over which a request rate is computed, in seconds.
MIN_RATE_SPAN = 1.0


class RetryBudget:
    """Retries that this node may still send to one service.

    :param clock: source of monotonic time.
    :param bounds: returns the bounds in force.
    :param nodes: returns the number of nodes that share the extra allowance.
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
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self) -> None:
        """Record a request of a caller."""
        self._requests.append(self._clock.monotonic())
        self._drop_expired()

    def arrival_rate(self) -> float:
        """Return the requests per second sent to servers, in the window.

        Retries count as well, escalations among them.
        """
        self._drop_expired()
        if not self._requests:
            return 0.0
        # Measured from the first request, since the window is not full yet
        # after a start.
        span = self._clock.monotonic() - self._requests[0]
        arrivals = len(self._requests) + len(self._retries)
        return arrivals / max(MIN_RATE_SPAN, span)

    def remaining(self) -> float:
        """Return the number of retries that are allowed now."""
        self._drop_expired()
        bounds = self._bounds()
        extra = bounds.retry_extra / max(1, self._nodes())
        allowed = bounds.retry_share * len(self._requests) + extra
        return allowed * USED_SHARE - len(self._retries)

    def try_take(self) -> bool:
        """Use one retry if the budget allows it; return whether it did."""
        if self.remaining() < 1.0:
            return False
        self._retries.append(self._clock.monotonic())
        return True

    def _drop_expired(self) -> None:
        oldest = self._clock.monotonic() - self._bounds().retry_window
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()
