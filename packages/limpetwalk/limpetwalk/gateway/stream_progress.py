"""Decides whether an event stream makes progress.

Serves servers that keep a stream open without sending anything new: comments,
repeated events or single bytes now and then. Only new events are progress.
"""

from .. import clock as clocks
from . import buffers


class StreamProgress:
    """Progress of one server's stream.

    :param clock: source of monotonic time.
    :param filler_bytes: maximum size of the comments and repeated events
        between two new events.
    """

    def __init__(self, clock: clocks.Clock, filler_bytes: int) -> None:
        self._clock = clock
        self._filler_limit = filler_bytes
        self._filler = 0
        self._progress_at = clock.monotonic()

    def time_left(self, longest_pause: float) -> float:
        """Return the seconds until the stream counts as stalled.

        :param longest_pause: longest pause between two new events, in
            seconds.
        """
        elapsed = self._clock.monotonic() - self._progress_at
        return max(0.0, longest_pause - elapsed)

    def record_event(self) -> None:
        """Record a new event."""
        self._filler = 0
        self._progress_at = self._clock.monotonic()

    def record_filler(self, size: int) -> None:
        """Record a comment or a repeated event.

        :param size: its size, in bytes.
        :raises LimitExceeded: when there were too many since the last new
            event.
        """
        self._filler += size
        if self._filler > self._filler_limit:
            raise buffers.LimitExceeded(
                "filler",
                f"more than {self._filler_limit} bytes without a new event",
            )
