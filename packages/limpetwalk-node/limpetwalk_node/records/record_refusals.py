"""Refusals of non-idempotent requests."""

from limpetwalk import refusals
from limpetwalk.records import base as records

RETRY_AFTER = 1.0  # seconds


def dispatch_not_recorded() -> refusals.Refused:
    """Return the refusal when a claimed request can't be dispatched."""
    return _refused(
        refusals.Reason.STORE_UNAVAILABLE,
        refusals.RunState.NOT_RUN,
        503,
        "The dispatch could not be recorded, so nothing was sent."
        " Send it again with the same Idempotency-Key.",
        RETRY_AFTER,
    )


def record_unreadable() -> refusals.Refused:
    """Return the refusal when the record of a key can't be read.

    An earlier request with the same key may have run. Only this one is known
    not to have run.
    """
    return _refused(
        refusals.Reason.STORE_UNAVAILABLE,
        refusals.RunState.UNKNOWN,
        503,
        "The record of the request can't be read, so this sending was not"
        " run; whether an earlier one ran is not known. Send it again with"
        " the same Idempotency-Key.",
        RETRY_AFTER,
    )


def key_missing() -> refusals.Refused:
    """Return the refusal of a non-idempotent request without a key."""
    return _refused(
        refusals.Reason.IDEMPOTENCY_KEY_MISSING,
        refusals.RunState.NOT_RUN,
        400,
        "This route is not idempotent: send an Idempotency-Key that is new"
        " for each request and the same for each repeat.",
    )


def key_reused() -> refusals.Refused:
    """Return the refusal of a key that belongs to another request."""
    return _refused(
        refusals.Reason.IDEMPOTENCY_KEY_REUSED,
        refusals.RunState.NOT_RUN,
        422,
        "The Idempotency-Key was sent before with another method, path or"
        " body. This request was not run.",
    )


def in_progress() -> refusals.Refused:
    """Return the refusal of a retried request while the first one runs."""
    return _refused(
        refusals.Reason.REQUEST_IN_PROGRESS,
        refusals.RunState.UNKNOWN,
        409,
        "A request with this Idempotency-Key is under way. Ask again later"
        " with the same key; it runs at most once.",
        RETRY_AFTER,
    )


def claim_lost() -> refusals.Refused:
    """Return the refusal when another node took the record over."""
    return _refused(
        refusals.Reason.REQUEST_IN_PROGRESS,
        refusals.RunState.UNKNOWN,
        409,
        "Another node took over this Idempotency-Key; this one sent nothing."
        " Ask again with the same key.",
        RETRY_AFTER,
    )


def abandoned() -> refusals.Refused:
    """Return the refusal after a run that sent nothing."""
    return _refused(
        refusals.Reason.REQUEST_IN_PROGRESS,
        refusals.RunState.NOT_RUN,
        409,
        "The run that held this Idempotency-Key has ended and sent nothing."
        " Send the request again with the same key.",
        RETRY_AFTER,
    )


def outcome_unknown(ident: records.RecordIdent) -> refusals.Refused:
    """Return the refusal of a request that may have run."""
    return _refused(
        refusals.Reason.OUTCOME_UNKNOWN,
        refusals.RunState.UNKNOWN,
        502,
        "The request was sent and may have run, but no answer came back. It"
        f" is not sent again. GET /outcomes/{ident.key} tells more once it"
        " is known.",
    )


def for_caller(
    refusal: refusals.Refusal, ident: records.RecordIdent
) -> refusals.Refused:
    """Return the refusal to send to the caller for a refused run."""
    if refusal.run_state is refusals.RunState.NOT_RUN:
        return refusals.Refused(refusal)
    if refusal.reason is refusals.Reason.REQUEST_IN_PROGRESS:
        return refusals.Refused(refusal)
    return outcome_unknown(ident)


def _refused(
    reason: refusals.Reason,
    run_state: refusals.RunState,
    status: int,
    message: str,
    retry_after: float | None = None,
) -> refusals.Refused:
    return refusals.Refused(
        refusals.Refusal(reason, run_state, status, message, retry_after)
    )
