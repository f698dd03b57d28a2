"""Adaptive limit on the used share of a server's declared concurrency."""

MIN_FACTOR = 0.25
DECREASE_FACTOR = 0.7
INCREASE_STEP = 0.02


class Limiter:
    """Factor up to 1.0 with additive increase and multiplicative decrease."""

    def __init__(self) -> None:
        self.factor = 1.0

    def decrease(self) -> None:
        """Reduce the factor after the server reported overload."""
        self.factor = max(MIN_FACTOR, self.factor * DECREASE_FACTOR)

    def increase(self) -> None:
        """Raise the factor after a complete answer."""
        self.factor = min(1.0, self.factor + INCREASE_STEP)
