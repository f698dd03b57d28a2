"""Responses to callers for refused requests."""

import json
import math
from typing import Any

from aiohttp import web

from limpetwalk import metrics as measures
from limpetwalk import refusals

REQUEST_ID_HEADER = "X-Request-Id"


class RefusalCounter:
    """Counts refusals by reason and run state.

    :param metrics: metrics of the process.
    """

    def __init__(self, metrics: measures.Metrics) -> None:
        self._counter = metrics.counter(
            "limpetwalk_refusals",
            "Refusals by reason and by what is known of the run.",
            ("reason", "run"),
        )
        for reason in refusals.Reason:
            self._counter.labels(reason.value, "not_run")

    def count(self, refusal: refusals.Refusal) -> None:
        """Increment the counter of a refusal's reason and run state."""
        self._counter.labels(
            refusal.reason.value, refusal.run_state.value
        ).inc()


def error_body(refusal: refusals.Refusal, request_id: str) -> dict[str, Any]:
    """Return the JSON body of a refusal.

    ``type``, ``code`` and ``param`` are the fields that OpenAI clients read.
    """
    return {
        "error": {
            "reason": refusal.reason.value,
            "run": refusal.run_state.value,
            "message": refusal.message,
            "retry_after": refusal.retry_after,
            "request_id": request_id,
            "type": _openai_type(refusal.status),
            "code": refusal.reason.value,
            "param": None,
        }
    }


def error_response(refusal: refusals.Refusal, request_id: str) -> web.Response:
    """Return the HTTP response of a refusal."""
    headers = {REQUEST_ID_HEADER: request_id}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after)))
    return web.Response(
        status=refusal.status,
        body=json.dumps(error_body(refusal, request_id)).encode(),
        content_type="application/json",
        headers=headers,
    )


def internal_error() -> refusals.Refusal:
    """Return the refusal for an unexpected error of the router itself."""
    return refusals.Refusal(
        refusals.Reason.INTERNAL_ERROR,
        refusals.RunState.UNKNOWN,
        500,
        "The router failed on this request; it is counted and logged.",
    )


def _openai_type(status: int) -> str:
    if status == 401:
        return "authentication_error"
    if status == 403:
        return "permission_error"
    if status == 429:
        return "rate_limit_error"
    return "server_error" if status >= 500 else "invalid_request_error"
