"""Budget that limits retries to a share of the first attempts."""

INITIAL_TOKENS = 3.0
CAPACITY = 100.0


class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Any sequence of ``n`` first attempts allows at most
    ``share * n + initial_tokens`` retries beyond those that the bucket held,
    so an outage multiplies the load by at most ``1 + share``.

    :param initial_tokens: tokens at the start, for a node with little traffic.
    :param capacity: maximum number of tokens, which bounds a burst of retries.
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
        """Tokens in the bucket; a retry takes one."""
        return self._tokens

    def record_first_attempt(self, share: float) -> None:
        """Credit the bucket for a first attempt.

        :param share: retries allowed for each first attempt.
        """
        self._tokens = min(self._capacity, self._tokens + share)

    def take(self) -> bool:
        """Take a token for a retry.

        :returns: whether the budget allows the retry.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
