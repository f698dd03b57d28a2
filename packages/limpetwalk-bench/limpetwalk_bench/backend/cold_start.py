"""Cold start of a stand-in."""

from limpetwalk import clock as clocks


class ColdStart:
    """Cold state of a stand-in and its load while cold.

    :param cold: whether it is cold from the start.
    :param allowance: maximum number of requests in flight while cold.
    :param duration: seconds from the first request until it is warm.
    :param clock: clock of the duration.
    """

    def __init__(
        self,
        cold: bool,
        allowance: int,
        duration: float,
        clock: clocks.Clock,
    ) -> None:
        self.peak_in_flight = 0
        self.overloads = 0
        self._allowance = allowance
        self._duration = duration
        self._clock = clock
        self._became_cold = cold
        self._first_request_at: float | None = None

    @property
    def cold(self) -> bool:
        """Whether the stand-in is cold now."""
        if not self._became_cold:
            return False
        if self._first_request_at is None:
            return True
        return (
            self._clock.monotonic() < self._first_request_at + self._duration
        )

    def turn_cold(self) -> None:
        """Become cold until ``duration`` after the next request."""
        self._became_cold = True
        self._first_request_at = None

    def admit(self, in_flight: int) -> bool:
        """Record that a request arrived.

        :param in_flight: requests in flight now, this one included.
        :returns: whether the request is within the allowance.
        """
        if not self.cold:
            return True
        if self._first_request_at is None:
            self._first_request_at = self._clock.monotonic()
        self.peak_in_flight = max(self.peak_in_flight, in_flight)
        if in_flight <= self._allowance:
            return True
        self.overloads += 1
        return False
