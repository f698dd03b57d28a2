"""Cold start of a stand-in."""

from limpetwalk import clock as clocks


class ColdStart:
    """Whether a stand-in is cold, and how much it was given meanwhile.

    :param allowance: most requests held while cold.
    :param duration: seconds from the first request until it is warm.
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
        self._cold = cold
        self._first: float | None = None

    @property
    def cold(self) -> bool:
        """Whether the stand-in is cold now."""
        if not self._cold:
            return False
        if self._first is None:
            return True
        return self._clock.monotonic() < self._first + self._duration

    def turn_cold(self) -> None:
        """Turn cold again."""
        self._cold = True
        self._first = None

    def admit(self, in_flight: int) -> bool:
        """Note that a request arrived.

        :param in_flight: requests in flight now, this one included.
        :returns: whether the stand-in can bear it.
        """
        if not self.cold:
            return True
        if self._first is None:
            self._first = self._clock.monotonic()
        self.peak_in_flight = max(self.peak_in_flight, in_flight)
        if in_flight <= self._allowance:
            return True
        self.overloads += 1
        return False
