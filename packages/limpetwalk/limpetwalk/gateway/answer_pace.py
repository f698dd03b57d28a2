"""Pace at which a server sends the events of a stream."""


class AnswerPace:
    """Events of one server's answer and their times.

    :ivar events: number of events so far.
    """

    def __init__(self) -> None:
        self.events = 0
        self._first_at = 0.0
        self._latest_at = 0.0

    def record_event(self, now: float) -> None:
        """Record an event.

        :param now: current instant, in seconds.
        """
        if not self.events:
            self._first_at = now
        self.events += 1
        self._latest_at = now

    def seconds_per_event(self) -> float | None:
        """Return the mean time between events, None before the second."""
        if self.events < 2:
            return None
        return (self._latest_at - self._first_at) / (self.events - 1)
