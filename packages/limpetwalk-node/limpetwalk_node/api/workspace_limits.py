"""Limits on the rate and concurrency of each workspace at this node."""

import collections
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass

from limpetwalk import clock as clocks
from limpetwalk import refusals
from limpetwalk.conf import snapshot

# Seconds after which a workspace at its concurrency limit may retry.
CONCURRENCY_RETRY_AFTER = 1.0


@dataclass(slots=True)
class _Bucket:
    """Token bucket of a workspace and its requests in flight."""

    tokens: float
    filled_at: float
    running: int = 0


class WorkspaceLimiter:
    """Admits requests by a token bucket and an in-flight count per workspace.

    :param clock: clock by which the buckets are refilled.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}

    @contextlib.contextmanager
    def admit(self, workspace: snapshot.Workspace) -> Iterator[None]:
        """Count a request as in flight while the context is open.

        :raises Refused: when the workspace is over one of its limits.
        """
        bucket = self._refill(workspace)
        if bucket.running >= workspace.concurrency:
            raise _refused(
                refusals.Reason.CONCURRENCY_LIMITED,
                f"Workspace {workspace.name} has {bucket.running} requests"
                " in flight at this node, its limit.",
                CONCURRENCY_RETRY_AFTER,
            )
        if bucket.tokens < 1:
            raise _refused(
                refusals.Reason.RATE_LIMITED,
                f"Workspace {workspace.name} is over its"
                f" {workspace.rate:g} requests a second at this node.",
                (1 - bucket.tokens) / workspace.rate,
            )
        bucket.tokens -= 1
        bucket.running += 1
        try:
            yield
        finally:
            bucket.running -= 1

    def running(self) -> dict[str, int]:
        """Return the number of requests in flight by workspace name."""
        counts = collections.Counter(
            {name: bucket.running for name, bucket in self._buckets.items()}
        )
        return dict(+counts)

    def _refill(self, workspace: snapshot.Workspace) -> _Bucket:
        now = self._clock.monotonic()
        burst = max(1.0, workspace.rate)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = self._buckets[workspace.name] = _Bucket(burst, now)
        refill = (now - bucket.filled_at) * workspace.rate
        bucket.tokens = min(burst, bucket.tokens + refill)
        bucket.filled_at = now
        return bucket


def _refused(
    reason: refusals.Reason, message: str, retry_after: float
) -> refusals.Refused:
    return refusals.Refused(
        refusals.Refusal(
            reason,
            refusals.RunState.NOT_RUN,
            429,
            message,
            retry_after=round(retry_after, 3),
        )
    )
