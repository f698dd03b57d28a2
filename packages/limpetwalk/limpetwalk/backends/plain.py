"""Client of plain services over HTTP."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Mapping

import aiohttp

from .. import registry
from . import base
from . import pool
from . import pooled

OUTCOME_PATH = "/outcome"
MIN_WAIT_SECONDS = 0.001
# Headers that apply to one connection, or between a node and a service only.
# They are not forwarded.
HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-attempt-id",
        "x-boot-id",
        "x-request-id",
        "x-run-state",
    )
)
# Statuses by which an intermediary reports that the service could not answer;
# any other status is the answer of the service itself.
GATEWAY_STATUSES = frozenset((502, 503, 504))


@registry.register(registry.Kind.BACKEND_PROTOCOL, "plain")
class PlainClient(pooled.PooledClient):
    """Client of one replica of a plain service."""

    async def complete(
        self, call: base.EngineCall
    ) -> AsyncGenerator[base.EngineEvent, None]:
        """Reject the call, as plain services run no chat completions.

        :raises AttemptFailed: always.
        """
        raise base.AttemptFailed(
            base.FailureKind.REJECTED,
            False,
            detail="a plain service",
        )
        yield  # Makes this an asynchronous generator.

    async def call_service(self, call: base.ServiceCall) -> base.ServiceAnswer:
        """Call a plain service and return its answer.

        :raises AttemptFailed: when there is no complete answer.
        """
        exchange = pool.Exchange(call.request_id, call.attempt_id)
        timeout = max(
            MIN_WAIT_SECONDS, call.deadline - self._clock.monotonic()
        )
        try:
            async with asyncio.timeout(timeout):
                return await self._send_call(call, exchange)
        except (aiohttp.ClientError, OSError) as exc:
            raise await self._pool.classify_failure(exchange, exc) from exc

    async def fetch_outcome(
        self, request_id: str
    ) -> base.ServiceAnswer | None:
        """Return the answer that the server stores for a request, if any.

        :raises AttemptFailed: when the server can't be asked or answers
            with an error.
        """
        exchange = pool.Exchange(request_id, "")
        path = f"{OUTCOME_PATH}/{request_id}"
        try:
            async with asyncio.timeout(self._tuning.first_token_timeout):
                async with self._pool.send(
                    exchange, "GET", path, {}, None
                ) as resp:
                    # A kept connection may hold the answer of another call.
                    exchange.check_echo(
                        resp.headers.get(pool.REQUEST_ID_HEADER), ""
                    )
                    body = await resp.read()
        except (aiohttp.ClientError, OSError) as exc:
            raise await self._pool.classify_failure(exchange, exc) from exc
        if resp.status == 404:
            return None
        if resp.status != 200:
            kind = base.FailureKind.SERVER_ERROR
            raise exchange.failed(
                kind, f"got status {resp.status} for a stored answer"
            )
        return base.ServiceAnswer(200, body, _forwarded_headers(resp.headers))

    async def _send_call(
        self, call: base.ServiceCall, exchange: pool.Exchange
    ) -> base.ServiceAnswer:
        async with self._pool.send(
            exchange,
            call.method,
            call.path,
            _forwarded_headers(call.headers),
            call.body,
        ) as resp:
            exchange.check_echo(
                resp.headers.get(pool.REQUEST_ID_HEADER),
                resp.headers.get(pool.ATTEMPT_ID_HEADER),
            )
            self._check_status(resp, exchange)
            _check_body_length(resp, exchange)
            body = await resp.read()
            return base.ServiceAnswer(
                resp.status, body, _forwarded_headers(resp.headers)
            )

    def _check_status(
        self, resp: aiohttp.ClientResponse, exchange: pool.Exchange
    ) -> None:
        detail = f"status {resp.status}"
        if resp.headers.get(pool.RUN_STATE_HEADER) == "not_run":
            is_overloaded = resp.status == 429
            kind = base.FailureKind.NOT_RUN
            if is_overloaded:
                kind = base.FailureKind.OVERLOADED
            raise exchange.failed(kind, detail)
        if resp.status in GATEWAY_STATUSES:
            raise exchange.failed(base.FailureKind.SERVER_ERROR, detail)


def _check_body_length(
    resp: aiohttp.ClientResponse, exchange: pool.Exchange
) -> None:
    # A body that ends when the connection closes can't be distinguished from
    # a truncated one.
    is_chunked = resp.headers.get("Transfer-Encoding", "").lower() == "chunked"
    if resp.content_length is None and not is_chunked and resp.status != 204:
        raise exchange.failed(
            base.FailureKind.TRUNCATED, "the body's length is not told"
        )


def _forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS
    }
