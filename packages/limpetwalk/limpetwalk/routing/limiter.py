"""Adaptive share of a backend server's declared concurrency."""

LEAST = 0.25
DECREASE = 0.7
INCREASE = 0.02


class Limiter:
    """Additive increase, multiplicative decrease of a factor up to 1.0."""

    def __init__(self) -> None:
        self.factor = 1.0

    def overloaded(self) -> None:
        """Note that the server was given too much."""
        self.factor = max(LEAST, self.factor * DECREASE)

    def answered(self) -> None:
        """Note a whole answer."""
        self.factor = min(1.0, self.factor + INCREASE)
