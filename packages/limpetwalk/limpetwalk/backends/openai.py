"""Client of model engines with an OpenAI-compatible interface."""

import asyncio
from collections.abc import AsyncGenerator
import json
from typing import Any

import aiohttp

from .. import registry
from . import base
from . import pool
from . import pooled

CHAT_PATH = "/v1/chat/completions"
PRIORITY_HEADER = "X-Priority"
RESUME_HEADER = "X-Resume-From"
DATA_PREFIX = b"data:"
ID_PREFIX = "chatcmpl-"
DONE = b"[DONE]"
MAX_LINE_BYTES = 1024 * 1024
LEAST_WAIT = 0.001


@registry.register(registry.Kind.BACKEND_PROTOCOL, "openai")
class OpenAIClient(pooled.PooledClient):
    """Client of one model engine.

    Answers are always streamed from the engine, also when the caller wants
    one body, so that silence is seen between tokens.
    """

    async def complete(
        self, call: base.EngineCall
    ) -> AsyncGenerator[base.EngineEvent, None]:
        """Run a chat completion and yield its events as they come.

        :raises AttemptFailed: when there is no whole answer.
        """
        exchange = pool.Exchange(call.request_id, call.attempt_id)
        try:
            async for event in self._events(call, exchange):
                yield event
        except (aiohttp.ClientError, OSError) as exc:
            if self._clock.monotonic() >= call.deadline:
                kind = base.FailureKind.DEADLINE
                raise exchange.failed(kind, repr(exc)) from exc
            raise await self._pool.failure(exchange, exc) from exc

    async def call_service(self, call: base.ServiceCall) -> base.ServiceAnswer:
        """Engines serve no plain calls.

        :raises AttemptFailed: always.
        """
        raise base.AttemptFailed(
            base.FailureKind.REJECTED, False, detail="a model engine"
        )

    async def fetch_outcome(
        self, request_id: str
    ) -> base.ServiceAnswer | None:
        """Return None; engines keep no answers."""
        return None

    async def _events(
        self, call: base.EngineCall, exchange: pool.Exchange
    ) -> AsyncGenerator[base.EngineEvent, None]:
        headers = {
            "Content-Type": "application/json",
            PRIORITY_HEADER: str(call.priority),
            pool.TIMEOUT_HEADER: pool.timeout_ms(
                call.deadline - self._clock.monotonic()
            ),
        }
        if call.resume_from:
            headers[RESUME_HEADER] = str(call.resume_from)
        sending = self._pool.send(
            exchange, "POST", CHAT_PATH, headers, _body(call)
        )
        first = self._wait(call, self._tuning.first_token_timeout)
        async with asyncio.timeout(first):
            resp = await sending.__aenter__()
        try:
            await self._check_head(resp, exchange)
            async for event in self._read(resp, call, exchange):
                yield event
        finally:
            await sending.__aexit__(None, None, None)

    async def _check_head(
        self, resp: aiohttp.ClientResponse, exchange: pool.Exchange
    ) -> None:
        exchange.check_echo(
            resp.headers.get(pool.REQUEST_ID_HEADER),
            resp.headers.get(pool.ATTEMPT_ID_HEADER),
        )
        if resp.status == 200:
            return
        not_run = resp.headers.get(pool.RUN_STATE_HEADER) == "not_run"
        kind = failure_kind(resp.status, not_run)
        async with asyncio.timeout(self._tuning.token_gap_timeout):
            text = (await resp.content.read(200)).decode(errors="replace")
        raise exchange.failed(kind, f"status {resp.status}: {text}")

    async def _read(
        self,
        resp: aiohttp.ClientResponse,
        call: base.EngineCall,
        exchange: pool.Exchange,
    ) -> AsyncGenerator[base.EngineEvent, None]:
        finished: base.Finished | None = None
        silence = self._tuning.first_token_timeout
        lines = _Lines(resp, exchange)
        done = False
        while not done:
            async with asyncio.timeout(self._wait(call, silence)):
                arrived = await lines.read()
            # Pieces that arrive together go on together: a generator step
            # for each token costs more than the token's parsing.
            pieces = []
            for line in arrived:
                if not line.startswith(DATA_PREFIX):
                    continue
                data = line[len(DATA_PREFIX) :].strip()
                if data == DONE:
                    done = True
                    break
                chunk = _parse(data, exchange)
                _check_id(chunk, call, exchange)
                if chunk.get("usage"):
                    exchange.check_echo(
                        chunk.get("request_id"), chunk.get("attempt_id")
                    )
                    finished = _finished(chunk, exchange)
                    continue
                text = _text(chunk, exchange)
                if text:
                    pieces.append(text)
            if pieces:
                silence = self._tuning.token_gap_timeout
                yield base.Delta("".join(pieces), len(pieces))
        if finished is None:
            kind = base.FailureKind.TRUNCATED
            raise exchange.failed(kind, "no terminal event")
        # The connection is kept only when the body is read to its end.
        async with asyncio.timeout(self._wait(call, silence)):
            await resp.content.read()
        yield finished

    def _wait(self, call: base.EngineCall, silence: float) -> float:
        left = call.deadline - self._clock.monotonic()
        return max(LEAST_WAIT, min(silence, left))


def failure_kind(status: int, not_run: bool) -> base.FailureKind:
    """Return the failure that a status code stands for.

    Without the engine's word that it did not run, it may have run.
    """
    if not not_run:
        return base.FailureKind.SERVER_ERROR
    if status == 429:
        return base.FailureKind.OVERLOADED
    if status in (400, 413, 422):
        return base.FailureKind.REJECTED
    return base.FailureKind.NOT_RUN


def _body(call: base.EngineCall) -> bytes:
    body = dict(call.body)
    body["model"] = f"{call.target.model}:{call.target.version}"
    body["stream"] = True
    return json.dumps(body).encode()


class _Lines:
    """Lines of a streamed body, as many at once as have arrived."""

    def __init__(
        self, resp: aiohttp.ClientResponse, exchange: pool.Exchange
    ) -> None:
        self._resp = resp
        self._exchange = exchange
        self._rest = b""

    async def read(self) -> list[bytes]:
        """Return the whole lines that have arrived, at least one.

        :raises AttemptFailed: when the body ends or a line is too long.
        """
        while True:
            data = await self._resp.content.readany()
            if not data:
                kind = base.FailureKind.TRUNCATED
                raise self._exchange.failed(kind, "no terminal event")
            *lines, self._rest = (self._rest + data).split(b"\n")
            if len(self._rest) > MAX_LINE_BYTES:
                kind = base.FailureKind.SERVER_ERROR
                raise self._exchange.failed(kind, "event too long")
            if lines:
                return lines


def _check_id(
    chunk: dict[str, Any], call: base.EngineCall, exchange: pool.Exchange
) -> None:
    if chunk.get("id") != f"{ID_PREFIX}{call.request_id}":
        kind = base.FailureKind.CROSSED
        raise exchange.failed(kind, f"event of {chunk.get('id')}")


def _parse(data: bytes, exchange: pool.Exchange) -> dict[str, Any]:
    try:
        chunk = json.loads(data)
    except ValueError as exc:
        kind = base.FailureKind.SERVER_ERROR
        raise exchange.failed(kind, f"malformed event: {exc}") from exc
    if not isinstance(chunk, dict):
        kind = base.FailureKind.SERVER_ERROR
        raise exchange.failed(kind, "an event is not an object")
    return chunk


def _text(chunk: dict[str, Any], exchange: pool.Exchange) -> str:
    try:
        return chunk["choices"][0]["delta"].get("content") or ""
    except (KeyError, IndexError, TypeError, AttributeError) as exc:
        kind = base.FailureKind.SERVER_ERROR
        raise exchange.failed(kind, f"malformed event: {exc!r}") from exc


def _finished(chunk: dict[str, Any], exchange: pool.Exchange) -> base.Finished:
    try:
        usage = base.Usage(
            int(chunk["usage"]["prompt_tokens"]),
            int(chunk["usage"]["completion_tokens"]),
        )
        reason = str(chunk["choices"][0]["finish_reason"])
    except (KeyError, IndexError, TypeError, ValueError) as exc:
        kind = base.FailureKind.SERVER_ERROR
        raise exchange.failed(kind, f"malformed end: {exc!r}") from exc
    return base.Finished(usage, reason)
