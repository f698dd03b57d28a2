"""Node counts by which nodes divide shared quantities.

The membership that nodes see may differ for a while. A node that sees fewer
nodes than another takes a larger share than the other one expects. So each
node reports the count that it sees. It uses a smaller count only long after
it has reported it, and others assume the smallest that it reported recently.
"""

import collections
import math

from .. import clock as clocks

WINDOW = 120.0  # seconds
# A node that has just started takes no share, and reports so, since others
# may still be using the share that will be its own. In seconds.
REPORT_DELAY = 30.0
NO_SHARE = 0


class NodeCounts:
    """Node counts that this node and its peers have seen recently.

    :param clock: source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._started_at = clock.monotonic()
        self._own = _Window()
        self._peers: dict[str, _Window] = {}

    def record_own(self, count: int) -> None:
        """Record the number of nodes that this node sees now."""
        self._own.record(self._clock.monotonic(), count)

    def record_peer(self, peer: str, count: int) -> None:
        """Record the number of nodes that a peer reported."""
        window = self._peers.setdefault(peer, _Window())
        window.record(self._clock.monotonic(), count or math.inf)

    def remove_peer(self, peer: str) -> None:
        """Discard the counts that a peer reported."""
        self._peers.pop(peer, None)

    def reported_count(self) -> int:
        """Return the count to report to peers."""
        if self._clock.monotonic() < self._started_at + REPORT_DELAY:
            return NO_SHARE
        return int(self._own.last)

    def divisor(self) -> float:
        """Return the count by which this node divides, possibly infinite.

        It is the greatest of the window, so the node's share is the smallest.
        """
        now = self._clock.monotonic()
        if now < self._started_at + WINDOW:
            return math.inf
        return self._own.greatest(now)

    def divisor_of(self, peer: str) -> float:
        """Return the smallest count by which a peer may divide now.

        A peer that reported none is assumed to see what this node sees.
        """
        now = self._clock.monotonic()
        window = self._peers.get(peer)
        if window is None:
            return self._own.smallest(now)
        return window.smallest(now)


class _Window:
    """Values in force within the last ``WINDOW`` seconds."""

    def __init__(self) -> None:
        # Each value with the time from which it is in force.
        self._values: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    @property
    def last(self) -> float:
        """Value recorded last; 1 when there is none."""
        return self._values[-1][1] if self._values else 1

    def record(self, now: float, value: float) -> None:
        """Record the value in force from now on."""
        if not self._values or self._values[-1][1] != value:
            self._values.append((now, value))
        self._prune(now)

    def smallest(self, now: float) -> float:
        """Return the smallest value in force within the window."""
        self._prune(now)
        return min((value for _, value in self._values), default=1)

    def greatest(self, now: float) -> float:
        """Return the greatest value in force within the window."""
        self._prune(now)
        return max((value for _, value in self._values), default=1)

    def _prune(self, now: float) -> None:
        # A value remains in force until the time of the next one.
        while len(self._values) > 1 and self._values[1][0] <= now - WINDOW:
            self._values.popleft()
