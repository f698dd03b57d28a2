"""Adaptive share of a backend server's declared concurrency."""

MIN_FACTOR = 0.25
DECREASE_FACTOR = 0.7
INCREASE_STEP = 0.02


class Limiter:
    """Additive increase, multiplicative decrease of a factor up to 1.0."""

    def __init__(self) -> None:
        self.factor = 1.0

    def decrease(self) -> None:
        """Note that the server was given too much."""
        self.factor = max(MIN_FACTOR, self.factor * DECREASE_FACTOR)

    def increase(self) -> None:
        """Note a whole answer."""
        self.factor = min(1.0, self.factor + INCREASE_STEP)
