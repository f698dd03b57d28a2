"""Refusals that the dispatchers raise."""

from .. import refusals

RETRY_AFTER_SECONDS = 1.0
_STATUSES = {
    refusals.Reason.QUEUE_FULL: 503,
    refusals.Reason.DEADLINE_TOO_SHORT: 503,
    refusals.Reason.DEADLINE_EXCEEDED: 504,
    refusals.Reason.NO_BACKEND_SERVER: 503,
    refusals.Reason.BACKEND_SERVER_FAILED: 502,
    refusals.Reason.RETRY_BUDGET_SPENT: 503,
    refusals.Reason.QUARANTINED: 422,
    refusals.Reason.VERSION_WITHDRAWN: 409,
    refusals.Reason.MALFORMED_BODY: 400,
    refusals.Reason.OUTCOME_UNKNOWN: 502,
}
# Reasons that a retry of the caller does not change.
_FINAL = frozenset(
    (
        refusals.Reason.QUARANTINED,
        refusals.Reason.VERSION_WITHDRAWN,
        refusals.Reason.MALFORMED_BODY,
        refusals.Reason.OUTCOME_UNKNOWN,
    )
)


def build_refused(
    reason: refusals.Reason,
    run: refusals.RunState,
    message: str,
) -> refusals.Refused:
    """Return the exception for a refusal by the dispatchers.

    :param run: whether the request may have run.
    :param message: explanation for the caller.
    """
    retry_after = None if reason in _FINAL else RETRY_AFTER_SECONDS
    return refusals.Refused(
        refusals.Refusal(reason, run, _STATUSES[reason], message, retry_after)
    )
