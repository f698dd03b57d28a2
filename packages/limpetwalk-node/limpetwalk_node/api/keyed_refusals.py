"""Run state of refusals that precede the lookup of a record.

A request with an idempotency key may be a retry. Until its record is read,
this node doesn't know whether an earlier request with the key ran, so
``not_run`` would only be true of this request. A caller who relies on it and
uses a new key could have the request run twice.
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
# Reasons of refusals at admission, before any record is read. Permanent
# refusals, such as an unknown route, aren't listed: earlier requests with the
# key were refused too, so none of them ran.
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
    """Return a refusal whose run state also holds for a retry.

    :param req: refused request.
    :param refusal: refusal, whose run state only covers this request.
    """
    if refusal.reason not in REASONS_BEFORE_LOOKUP:
        return refusal
    return with_unknown_run_state(req, refusal)


def with_unknown_run_state(
    req: web.BaseRequest, refusal: refusals.Refusal
) -> refusals.Refusal:
    """Return a refusal with an unknown run state if its request has a key.

    The refusal of a request that can't have a record is returned unchanged.
    """
    if not req.rel_url.raw_path.startswith(SERVICES_PREFIX):
        return refusal
    if calls.IDEMPOTENCY_HEADER not in req.headers:
        return refusal
    return dataclasses.replace(
        refusal,
        run_state=refusals.RunState.UNKNOWN,
        message=refusal.message + NOT_LOOKED_UP_NOTE,
    )
