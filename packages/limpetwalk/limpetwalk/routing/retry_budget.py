"""Budget that keeps retries a share of first tries."""

INITIAL_TOKENS = 3.0
CAPACITY = 100.0


class RetryBudget:
    """Token bucket filled by first tries and emptied by retries.

    Over any run of ``n`` first tries at most
    ``share * n + initial_tokens`` retries are allowed beyond what the
    bucket held, so an outage is multiplied by at most ``1 + share``.

    :param initial_tokens: tokens at the start, for a node with little traffic.
    :param capacity: most tokens held, which bounds a burst of retries.
    """

    def __init__(
        self,
        initial_tokens: float = INITIAL_TOKENS,
        capacity: float = CAPACITY,
    ) -> None:
        self._tokens = initial_tokens
        self._capacity = max(initial_tokens, capacity)

    @property
    def tokens(self) -> float:
        """Retries that are allowed now."""
        return self._tokens

    def record_first_attempt(self, share: float) -> None:
        """Note a first try.

        :param share: retries allowed for each first try.
        """
        self._tokens = min(self._capacity, self._tokens + share)

    def take(self) -> bool:
        """Take one retry.

        :returns: whether the budget allows it.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
