"""Attempts of a request: its retries, their budget and its run state."""

import dataclasses

from .. import clock as clocks
from .. import metrics as metrics_module
from .. import refusals
from ..backends import base as backends
from . import dispatch_refusals
from . import retry_budget

MAX_ATTEMPTS = 4

_RETRY_REASONS = {
    backends.FailureKind.CONNECT_FAILED: refusals.RetryReason.CONNECT_FAILED,
    backends.FailureKind.NOT_RUN: refusals.RetryReason.NOT_RUN,
    backends.FailureKind.OVERLOADED: refusals.RetryReason.OVERLOADED,
    backends.FailureKind.SILENT: refusals.RetryReason.SILENT_CONNECTION,
    backends.FailureKind.CONNECTION_LOST: (
        refusals.RetryReason.CONNECTION_LOST
    ),
    backends.FailureKind.TRUNCATED: refusals.RetryReason.TRUNCATED_ANSWER,
    backends.FailureKind.MISMATCHED: refusals.RetryReason.MISMATCHED_ANSWER,
    backends.FailureKind.SERVER_ERROR: refusals.RetryReason.SERVER_ERROR,
    backends.FailureKind.DEADLINE: refusals.RetryReason.PERMIT_EXPIRED,
}


class Attempts:
    """Attempts of one request.

    ``tokens`` counts the generated tokens that were passed on; ``run_state``
    tells whether the request has run or may have run.

    :param request_id: identifier of the request.
    :param deadline: monotonic instant by which it must have ended.
    """

    def __init__(self, request_id: str, deadline: float) -> None:
        self.deadline = deadline
        self.number = 0
        self.tokens = 0
        self.tried_servers: frozenset[str] = frozenset()
        self.run_state = refusals.RunState.NOT_RUN
        self._request_id = request_id

    def start(self, server: str) -> str:
        """Start an attempt at a server and return the attempt's identifier."""
        self.number += 1
        self.tried_servers |= {server}
        return f"{self._request_id}.{self.number}"

    def record_failure(self, exc: backends.AttemptFailed) -> None:
        """Update the run state after a failed attempt."""
        if self.tokens:
            self.run_state = refusals.RunState.RUN
        elif not exc.not_run:
            self.run_state = refusals.RunState.UNKNOWN

    def with_run_state(self, exc: refusals.Refused) -> refusals.Refused:
        """Return a refusal with the run state of the earlier attempts."""
        if self.run_state is refusals.RunState.NOT_RUN:
            return exc
        return refusals.Refused(
            dataclasses.replace(exc.refusal, run_state=self.run_state)
        )


class Retries:
    """Decides on retries; all requests of a node share one budget."""

    def __init__(
        self,
        budget: retry_budget.RetryBudget,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.budget = budget
        self._clock = clock
        self._counter = metrics.counter(
            "limpetwalk_retries", "Requests sent again.", ("reason",)
        )

    def allow(self, attempts: Attempts, exc: backends.AttemptFailed) -> None:
        """Allow a retry after a failed attempt and take it from the budget.

        :raises Refused: when the request must not be retried.
        """
        attempts.record_failure(exc)
        reason = self._refusal_reason(attempts, exc)
        if reason is not None:
            raise dispatch_refusals.build_refused(
                reason, attempts.run_state, str(exc)
            ) from exc
        retry_reason = _RETRY_REASONS[exc.kind]
        if attempts.tokens:
            retry_reason = refusals.RetryReason.STREAM_RESUMED
        self.count(retry_reason)

    def count(self, reason: refusals.RetryReason) -> None:
        """Count a retry that was taken from the budget."""
        self._counter.labels(reason.value).inc()

    def _refusal_reason(
        self, attempts: Attempts, exc: backends.AttemptFailed
    ) -> refusals.Reason | None:
        if exc.kind is backends.FailureKind.REJECTED:
            return refusals.Reason.MALFORMED_BODY
        if self._clock.monotonic() >= attempts.deadline:
            return refusals.Reason.DEADLINE_EXCEEDED
        if attempts.number >= MAX_ATTEMPTS:
            return refusals.Reason.BACKEND_SERVER_FAILED
        if not self.budget.take():
            return refusals.Reason.RETRY_BUDGET_SPENT
        return None
