"""Evidence of the outcomes of a version's requests, kept as sums."""

from dataclasses import dataclass


@dataclass(slots=True)
class Tally:
    """Sums over the observed requests of one version.

    The fields are stored under their names.

    :param failures: requests without a good answer: errors, truncated
        answers and answers later than the latency target.
    :param successes: requests with a good answer.
    :param rated: answers that were rated.
    :param total: sum of the ratings.
    :param squares: sum of the squared ratings.
    """

    failures: int = 0
    successes: int = 0
    rated: int = 0
    total: float = 0.0
    squares: float = 0.0

    @property
    def requests(self) -> int:
        """Number of observed requests."""
        return self.failures + self.successes

    @property
    def mean(self) -> float:
        """Mean of the ratings; 0.0 when there are none."""
        return self.total / self.rated if self.rated else 0.0

    @property
    def variance(self) -> float:
        """Variance of the ratings; 0.0 when there are none."""
        if not self.rated:
            return 0.0
        return max(0.0, self.squares / self.rated - self.mean**2)

    def add(self, other: "Tally") -> None:
        """Add the sums of another tally."""
        self.failures += other.failures
        self.successes += other.successes
        self.rated += other.rated
        self.total += other.total
        self.squares += other.squares

    def observe(self, good: bool, rating: float | None = None) -> None:
        """Add one request.

        :param good: whether it got a good answer in time.
        :param rating: rating of the answer, 0.0 to 1.0; None if not rated.
        """
        if good:
            self.successes += 1
        else:
            self.failures += 1
        if rating is not None:
            self.rated += 1
            self.total += rating
            self.squares += rating * rating
