"""Budget that keeps retries a share of first tries."""

FLOOR = 3.0
LARGEST = 100.0


class RetryBudget:
    """Token bucket filled by first tries and emptied by retries.

    Over any run of ``n`` first tries at most ``share * n + floor`` retries
    are allowed beyond what the bucket held, so an outage is multiplied by
    at most ``1 + share``.

    :param floor: tokens at the start, for a node with little traffic.
    :param largest: most tokens held, which bounds a burst of retries.
    """

    def __init__(self, floor: float = FLOOR, largest: float = LARGEST) -> None:
        self._tokens = floor
        self._largest = max(floor, largest)

    @property
    def tokens(self) -> float:
        """Retries that are allowed now."""
        return self._tokens

    def first_try(self, share: float) -> None:
        """Note a first try.

        :param share: retries allowed for each first try.
        """
        self._tokens = min(self._largest, self._tokens + share)

    def take(self) -> bool:
        """Take one retry.

        :returns: whether the budget allows it.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
