"""Run state of refusals that are given before a record was looked up.

A request with an idempotency key may be a repeat. While its record has not
been read, nobody here knows whether an earlier sending ran, so ``not_run``
would be true of this sending alone; a caller who trusts it and takes a new
key could have the request run twice.
"""

import dataclasses

from aiohttp import web

from limpetwalk import refusals

from . import calls

SERVICES_PREFIX = "/services/"
NOT_LOOKED_UP_NOTE = (
    " This sending did not run; whether an earlier one with the same"
    " Idempotency-Key ran was not looked up. Send it again with that key."
)
# Refusals of the admission, which comes before any record is read. What is
# refused for good, such as an unknown route, never ran earlier either.
REASONS_BEFORE_LOOKUP = frozenset(
    {
        refusals.Reason.SHUTTING_DOWN,
        refusals.Reason.NOT_READY,
        refusals.Reason.CONFIGURATION_STALE,
        refusals.Reason.RATE_LIMITED,
        refusals.Reason.CONCURRENCY_LIMITED,
    }
)


def correct_run_state(
    req: web.BaseRequest, refusal: refusals.Refusal
) -> refusals.Refusal:
    """Return a refusal as it is true of a request that may be a repeat."""
    if refusal.reason not in REASONS_BEFORE_LOOKUP:
        return refusal
    return with_unknown_run_state(req, refusal)


def with_unknown_run_state(
    req: web.BaseRequest, refusal: refusals.Refusal
) -> refusals.Refusal:
    """Return a refusal given before the record of a key was read."""
    if not req.rel_url.raw_path.startswith(SERVICES_PREFIX):
        return refusal
    if calls.IDEMPOTENCY_HEADER not in req.headers:
        return refusal
    return dataclasses.replace(
        refusal,
        run_state=refusals.RunState.UNKNOWN,
        message=refusal.message + NOT_LOOKED_UP_NOTE,
    )
