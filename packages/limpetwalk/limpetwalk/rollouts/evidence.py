"""Evidence of a version's outcomes, kept as sums."""

from dataclasses import dataclass

from ..peers import messages


@dataclass(slots=True)
class Tally:
    """Sums over the observed requests of one version.

    :param failures: requests without a good answer: errors, truncated
        answers and answers later than the latency target.
    :param successes: requests with one.
    :param rated: answers with a rating.
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
        """Mean rating; 0.0 without one."""
        return self.total / self.rated if self.rated else 0.0

    @property
    def variance(self) -> float:
        """Variance of the ratings; 0.0 without one."""
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
        :param rating: its rating, 0.0 to 1.0, when it was rated.
        """
        if good:
            self.successes += 1
        else:
            self.failures += 1
        if rating is not None:
            self.rated += 1
            self.total += rating
            self.squares += rating * rating


class EvidencePool:
    """Evidence of all nodes on one subject, by version.

    A node sends the sums of its numbered windows. A window that comes again
    replaces what was held, so a repeated or late message counts once.
    """

    def __init__(self) -> None:
        self._windows: dict[tuple[str, str], dict[int, Tally]] = {}

    def take(self, sender: str, message: messages.Evidence) -> None:
        """Keep a node's window."""
        windows = self._windows.setdefault((sender, message.version), {})
        windows[message.window] = Tally(
            failures=message.failures,
            successes=message.successes,
            rated=message.rated,
            total=message.total,
            squares=message.squares,
        )

    def total(self, version: str) -> Tally:
        """Return the sums of a version over all nodes and windows."""
        total = Tally()
        for (_, held_version), windows in self._windows.items():
            if held_version == version:
                for tally in windows.values():
                    total.add(tally)
        return total
