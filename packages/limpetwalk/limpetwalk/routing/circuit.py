"""Circuit breaker of a backend server."""

import enum
import random

FAILURES_TO_OPEN = 3
INITIAL_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 10.0


class State(enum.Enum):
    """State of a circuit."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Circuit:
    """Opens after failures in a row; one trial at a time closes it again.

    :param rng: random source that spreads the trials of many nodes.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._pause = INITIAL_PAUSE_SECONDS
        self._open_until: float | None = None
        self._opened_at = float("-inf")
        self._trial = False

    def state(self, now: float) -> State:
        """Return the state at a monotonic instant."""
        if self._open_until is None:
            return State.CLOSED
        if now < self._open_until:
            return State.OPEN
        return State.HALF_OPEN

    def allows(self, now: float) -> bool:
        """Whether a request may be sent."""
        state = self.state(now)
        if state is State.HALF_OPEN:
            return not self._trial
        return state is State.CLOSED

    def start(self) -> None:
        """Note that a request is sent."""
        if self._open_until is not None:
            self._trial = True

    def succeed(self) -> bool:
        """Note an answer.

        :returns: whether it closed the circuit.
        """
        was_open = self._open_until is not None
        self._failures = 0
        self._pause = INITIAL_PAUSE_SECONDS
        self._open_until = None
        self._trial = False
        return was_open

    def fail(self, now: float) -> bool:
        """Note a failure.

        :returns: whether it opened the circuit.
        """
        self._trial = False
        self._failures += 1
        if self._open_until is None and self._failures < FAILURES_TO_OPEN:
            return False
        self._opened_at = now
        spread = self._rng.uniform(0.8, 1.2)
        opened = self._open_until is None
        self._open_until = now + self._pause * spread
        self._pause = min(MAX_PAUSE_SECONDS, self._pause * 2)
        return opened

    def record_load_read(self, at: float) -> None:
        """Note that the server was seen to answer a load read.

        What was seen after the circuit opened lets a trial through at once.

        :param at: monotonic instant at which it was seen.
        """
        if self._open_until is not None and at > self._opened_at:
            self._open_until = min(self._open_until, at)

    def end_without_result(self) -> None:
        """Note that a request ended without telling about the server."""
        self._trial = False
