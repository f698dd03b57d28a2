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
LEAST_WAIT = 0.001
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
# Statuses by which something before the service itself says that it could
# not answer; any other status is the service's own answer.
GATEWAY_STATUSES = frozenset((502, 503, 504))


@registry.register(registry.Kind.BACKEND_PROTOCOL, "plain")
class PlainClient(pooled.PooledClient):
    """Client of one replica of a plain service."""

    async def complete(
        self, call: base.EngineCall
    ) -> AsyncGenerator[base.EngineEvent, None]:
        """Plain services run no chat completions.

        :raises AttemptFailed: always.
        """
        raise base.AttemptFailed(
            base.FailureKind.REJECTED, False, detail="a plain service"
        )
        yield  # makes this an asynchronous generator

    async def call_service(self, call: base.ServiceCall) -> base.ServiceAnswer:
        """Run a call of a plain service.

        :raises AttemptFailed: when there is no whole answer.
        """
        exchange = pool.Exchange(call.request_id, call.attempt_id)
        wait = max(LEAST_WAIT, call.deadline - self._clock.monotonic())
        try:
            async with asyncio.timeout(wait):
                return await self._exchange(call, exchange)
        except (aiohttp.ClientError, OSError) as exc:
            raise await self._pool.failure(exchange, exc) from exc

    async def fetch_outcome(
        self, request_id: str
    ) -> base.ServiceAnswer | None:
        """Return the answer that the server keeps for a request, if any.

        :raises AttemptFailed: when the server can't tell.
        """
        exchange = pool.Exchange(request_id, "")
        path = f"{OUTCOME_PATH}/{request_id}"
        try:
            async with asyncio.timeout(self._tuning.first_token_timeout):
                async with self._pool.send(
                    exchange, "GET", path, {}, None
                ) as resp:
                    body = await resp.read()
        except (aiohttp.ClientError, OSError) as exc:
            raise await self._pool.failure(exchange, exc) from exc
        if resp.status == 404:
            return None
        if resp.status != 200:
            kind = base.FailureKind.SERVER_ERROR
            raise exchange.failed(kind, f"status {resp.status}")
        return base.ServiceAnswer(200, body, _passed(resp.headers))

    async def _exchange(
        self, call: base.ServiceCall, exchange: pool.Exchange
    ) -> base.ServiceAnswer:
        async with self._pool.send(
            exchange, call.method, call.path, _passed(call.headers), call.body
        ) as resp:
            exchange.check_echo(
                resp.headers.get(pool.REQUEST_ID_HEADER),
                resp.headers.get(pool.ATTEMPT_ID_HEADER),
            )
            self._check_status(resp, exchange)
            _check_framed(resp, exchange)
            body = await resp.read()
            return base.ServiceAnswer(resp.status, body, _passed(resp.headers))

    def _check_status(
        self, resp: aiohttp.ClientResponse, exchange: pool.Exchange
    ) -> None:
        detail = f"status {resp.status}"
        if resp.headers.get(pool.RUN_STATE_HEADER) == "not_run":
            busy = resp.status == 429
            kind = base.FailureKind.NOT_RUN
            if busy:
                kind = base.FailureKind.OVERLOADED
            raise exchange.failed(kind, detail)
        if resp.status in GATEWAY_STATUSES:
            raise exchange.failed(base.FailureKind.SERVER_ERROR, detail)


def _check_framed(
    resp: aiohttp.ClientResponse, exchange: pool.Exchange
) -> None:
    # A body that ends with its connection can't be told from a cut one.
    chunked = resp.headers.get("Transfer-Encoding", "").lower() == "chunked"
    if resp.content_length is None and not chunked and resp.status != 204:
        raise exchange.failed(
            base.FailureKind.TRUNCATED, "the body's length is not told"
        )


def _passed(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS
    }
