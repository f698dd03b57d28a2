"""Numbers of nodes by which the nodes divide what they share.

Views of the membership differ for a while. A node that sees fewer nodes than
another takes a larger share than the other one reckons with. So each node
tells what number it sees. It uses a smaller number only long after it has
told it, and others reckon with the smallest that it has told lately.
"""

import collections
import math

from .. import clock as clocks

WINDOW = 120.0
# A node that has just started takes no share, and says so, since others may
# still be using what will be its own.
TELL_AFTER = 30.0
NO_SHARE = 0


class NodeCounts:
    """Numbers of nodes that this node and its peers have seen lately.

    :param clock: source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._started_at = clock.monotonic()
        self._own = _Window()
        self._peers: dict[str, _Window] = {}

    def note_own(self, count: int) -> None:
        """Take the number of nodes that this node sees now."""
        self._own.note(self._clock.monotonic(), count)

    def note(self, peer: str, count: int) -> None:
        """Take the number that a peer has told."""
        window = self._peers.setdefault(peer, _Window())
        window.note(self._clock.monotonic(), count or math.inf)

    def forget(self, peer: str) -> None:
        """Forget what a peer has told."""
        self._peers.pop(peer, None)

    def told(self) -> int:
        """Return the number to tell peers."""
        if self._clock.monotonic() < self._started_at + TELL_AFTER:
            return NO_SHARE
        return int(self._own.last)

    def divisor(self) -> float:
        """Return the number by which this node may divide; maybe infinite."""
        now = self._clock.monotonic()
        if now < self._started_at + WINDOW:
            return math.inf
        return self._own.most(now)

    def divisor_of(self, peer: str) -> float:
        """Return the least number by which a peer may divide now."""
        now = self._clock.monotonic()
        window = self._peers.get(peer)
        if window is None:
            return self._own.least(now)
        return window.least(now)


class _Window:
    """Values of the last ``WINDOW`` seconds, each with its start."""

    def __init__(self) -> None:
        self._values: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    @property
    def last(self) -> float:
        """Value noted last."""
        return self._values[-1][1] if self._values else 1

    def note(self, now: float, value: float) -> None:
        """Take the value in force from now on."""
        if not self._values or self._values[-1][1] != value:
            self._values.append((now, value))
        self._prune(now)

    def least(self, now: float) -> float:
        """Return the least value in force within the window."""
        self._prune(now)
        return min((value for _, value in self._values), default=1)

    def most(self, now: float) -> float:
        """Return the greatest value in force within the window."""
        self._prune(now)
        return max((value for _, value in self._values), default=1)

    def _prune(self, now: float) -> None:
        # A value stays in force until the next one begins.
        while len(self._values) > 1 and self._values[1][0] <= now - WINDOW:
            self._values.popleft()
