"""Attempts of one request: retries, budget and what is proved of its run."""

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
    backends.FailureKind.CROSSED: refusals.RetryReason.CROSSED_ANSWER,
    backends.FailureKind.SERVER_ERROR: refusals.RetryReason.SERVER_ERROR,
    backends.FailureKind.DEADLINE: refusals.RetryReason.PERMIT_EXPIRED,
}


class Attempts:
    """Attempts of one request.

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
        """Note an attempt at a server and return its identifier."""
        self.number += 1
        self.tried_servers |= {server}
        return f"{self._request_id}.{self.number}"

    def record_failure(self, exc: backends.AttemptFailed) -> None:
        """Note what a failed attempt proves of the request's run."""
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
    """Decides on retries of all requests of a node, in one budget."""

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
        """Take a retry from the budget.

        :raises Refused: when the failed attempt was the last one.
        """
        attempts.record_failure(exc)
        reason = self._last(attempts, exc)
        if reason is not None:
            raise dispatch_refusals.build_refused(
                reason, attempts.run_state, str(exc)
            ) from exc
        retry = _RETRY_REASONS[exc.kind]
        if attempts.tokens:
            retry = refusals.RetryReason.STREAM_RESUMED
        self.count(retry)

    def count(self, reason: refusals.RetryReason) -> None:
        """Count a retry that was taken from the budget."""
        self._counter.labels(reason.value).inc()

    def _last(
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
