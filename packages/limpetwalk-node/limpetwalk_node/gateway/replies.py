"""Answers towards callers."""

from collections.abc import Mapping
import json

from aiohttp import web
import multidict

from limpetwalk.gateway import refusal

from . import outbound

# Headers that concern one connection only, or that frame a body.
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def forwarded_headers(
    headers: Mapping[str, str],
) -> multidict.CIMultiDict[str]:
    """Return the headers of an answer that are passed on."""
    named = headers.get("Connection", "").lower().split(",")
    dropped = CONNECTION_HEADERS | {name.strip() for name in named}
    return multidict.CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    )


def whole_answer(answer: outbound.WholeAnswer) -> web.Response:
    """Return a server's answer as it is."""
    return web.Response(
        status=answer.head.status,
        headers=forwarded_headers(answer.head.headers),
        body=answer.body,
    )


def refusal_response(
    refusal_: refusal.Refusal, attempt_header: str, attempt: str
) -> web.Response:
    """Return a refusal of the gateway's own.

    :param attempt_header: name of the header that names the request.
    """
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    if attempt:
        headers[attempt_header] = attempt
    if refusal_.retry_after is not None:
        headers["Retry-After"] = f"{refusal_.retry_after:.2f}"
    text = json.dumps({"error": refusal_.reason.label})
    resp = web.Response(
        status=refusal_.reason.status,
        headers=headers,
        text=text,
        content_type="application/json",
    )
    return resp
