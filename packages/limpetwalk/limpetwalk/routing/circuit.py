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
    """Opens after consecutive failures; a successful trial request closes it.

    :param rng: random source that spreads the trials of many nodes in time.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._pause = INITIAL_PAUSE_SECONDS
        self._open_until: float | None = None
        self._opened_at = float("-inf")
        self._is_trial_running = False

    def state(self, now: float) -> State:
        """Return the state at a monotonic instant."""
        if self._open_until is None:
            return State.CLOSED
        if now < self._open_until:
            return State.OPEN
        return State.HALF_OPEN

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent."""
        state = self.state(now)
        if state is State.HALF_OPEN:
            return not self._is_trial_running
        return state is State.CLOSED

    def start(self) -> None:
        """Record that a request is sent."""
        if self._open_until is not None:
            self._is_trial_running = True

    def succeed(self) -> bool:
        """Record an answer.

        :returns: whether it closed the circuit.
        """
        was_open = self._open_until is not None
        self._failures = 0
        self._pause = INITIAL_PAUSE_SECONDS
        self._open_until = None
        self._is_trial_running = False
        return was_open

    def fail(self, now: float) -> bool:
        """Record a failure.

        :returns: whether it opened the circuit.
        """
        self._is_trial_running = False
        self._failures += 1
        if self._open_until is None and self._failures < FAILURES_TO_OPEN:
            return False
        self._opened_at = now
        jitter = self._rng.uniform(0.8, 1.2)
        opened = self._open_until is None
        self._open_until = now + self._pause * jitter
        self._pause = min(MAX_PAUSE_SECONDS, self._pause * 2)
        return opened

    def record_load_read(self, at: float) -> None:
        """Record that the server answered a load read.

        An answer after the circuit opened permits a trial at once.

        :param at: monotonic instant of the answer.
        """
        if self._open_until is not None and at > self._opened_at:
            self._open_until = min(self._open_until, at)

    def end_without_result(self) -> None:
        """Record that a request ended without showing the server's health."""
        self._is_trial_running = False
