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
END_OF_STREAM = b"[DONE]"
MAX_LINE_BYTES = 1024 * 1024
MIN_WAIT_SECONDS = 0.001


@registry.register(registry.Kind.BACKEND_PROTOCOL, "openai")
class OpenAIClient(pooled.PooledClient):
    """Client of one model engine.

    Answers are always streamed from the engine, also when the caller asked
    for a single body, so that a gap between tokens can be detected.
    """

    async def complete(
        self, call: base.EngineCall
    ) -> AsyncGenerator[base.EngineEvent, None]:
        """Run a chat completion and yield its events as they arrive.

        :raises AttemptFailed: when there is no complete answer.
        """
        exchange = pool.Exchange(call.request_id, call.attempt_id)
        try:
            async for event in self._stream_events(call, exchange):
                yield event
        except (aiohttp.ClientError, OSError) as exc:
            if self._clock.monotonic() >= call.deadline:
                kind = base.FailureKind.DEADLINE
                raise exchange.failed(kind, repr(exc)) from exc
            raise await self._pool.classify_failure(exchange, exc) from exc

    async def call_service(self, call: base.ServiceCall) -> base.ServiceAnswer:
        """Reject the call, as engines serve no plain calls.

        :raises AttemptFailed: always.
        """
        raise base.AttemptFailed(
            base.FailureKind.REJECTED,
            False,
            detail="a model engine",
        )

    async def fetch_outcome(
        self, request_id: str
    ) -> base.ServiceAnswer | None:
        """Return None, as engines store no answers."""
        return None

    async def _stream_events(
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
        response_context = self._pool.send(
            exchange, "POST", CHAT_PATH, headers, _encode_body(call)
        )
        timeout = self._timeout(call, self._tuning.first_token_timeout)
        async with asyncio.timeout(timeout):
            resp = await response_context.__aenter__()
        try:
            await self._check_response_head(resp, exchange)
            async for event in self._read_events(resp, call, exchange):
                yield event
        finally:
            await response_context.__aexit__(None, None, None)

    async def _check_response_head(
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
            body_start = (await resp.content.read(200)).decode(
                errors="replace"
            )
        raise exchange.failed(kind, f"status {resp.status}: {body_start}")

    async def _read_events(
        self,
        resp: aiohttp.ClientResponse,
        call: base.EngineCall,
        exchange: pool.Exchange,
    ) -> AsyncGenerator[base.EngineEvent, None]:
        finished: base.Finished | None = None
        max_gap = self._tuning.first_token_timeout
        reader = _LineReader(resp, exchange)
        done = False
        while not done:
            async with asyncio.timeout(self._timeout(call, max_gap)):
                lines = await reader.read()
            # Pieces that arrive together are yielded as one event, as a step
            # of the generator for each token costs more than parsing it.
            pieces = []
            for line in lines:
                if not line.startswith(DATA_PREFIX):
                    continue
                data = line[len(DATA_PREFIX) :].strip()
                if data == END_OF_STREAM:
                    done = True
                    break
                chunk = _parse_chunk(data, exchange)
                _check_id(chunk, call, exchange)
                if chunk.get("usage"):
                    exchange.check_echo(
                        chunk.get("request_id"), chunk.get("attempt_id")
                    )
                    finished = _parse_finished(chunk, exchange)
                    continue
                text = _parse_text(chunk, exchange)
                if text:
                    pieces.append(text)
            if pieces:
                max_gap = self._tuning.token_gap_timeout
                yield base.Delta("".join(pieces), len(pieces))
        if finished is None:
            kind = base.FailureKind.TRUNCATED
            raise exchange.failed(kind, "no terminal event")
        # The connection is reused only when the body is read to its end.
        async with asyncio.timeout(self._timeout(call, max_gap)):
            await resp.content.read()
        yield finished

    def _timeout(self, call: base.EngineCall, max_gap: float) -> float:
        remaining = call.deadline - self._clock.monotonic()
        return max(MIN_WAIT_SECONDS, min(max_gap, remaining))


def failure_kind(status: int, not_run: bool) -> base.FailureKind:
    """Return the kind of failure that a status code means.

    The request counts as possibly run unless the engine states that it did
    not run it.

    :param status: HTTP status code other than 200.
    :param not_run: whether the engine states that the request did not run.
    """
    if not not_run:
        return base.FailureKind.SERVER_ERROR
    if status == 429:
        return base.FailureKind.OVERLOADED
    if status in (400, 413, 422):
        return base.FailureKind.REJECTED
    return base.FailureKind.NOT_RUN


def _encode_body(call: base.EngineCall) -> bytes:
    body = dict(call.body)
    body["model"] = f"{call.target.model}:{call.target.version}"
    body["stream"] = True
    return json.dumps(body).encode()


class _LineReader:
    """Reads a streamed body by lines, all that have arrived at once."""

    def __init__(
        self, resp: aiohttp.ClientResponse, exchange: pool.Exchange
    ) -> None:
        self._resp = resp
        self._exchange = exchange
        self._partial_line = b""

    async def read(self) -> list[bytes]:
        """Return the complete lines that have arrived, at least one.

        :raises AttemptFailed: when the body ends or a line is longer than
            ``MAX_LINE_BYTES``.
        """
        while True:
            data = await self._resp.content.readany()
            if not data:
                kind = base.FailureKind.TRUNCATED
                raise self._exchange.failed(kind, "no terminal event")
            *lines, self._partial_line = (self._partial_line + data).split(
                b"\n"
            )
            if len(self._partial_line) > MAX_LINE_BYTES:
                kind = base.FailureKind.SERVER_ERROR
                raise self._exchange.failed(
                    kind,
                    "event too long",
                )
            if lines:
                return lines


def _check_id(
    chunk: dict[str, Any], call: base.EngineCall, exchange: pool.Exchange
) -> None:
    if chunk.get("id") != f"{ID_PREFIX}{call.request_id}":
        kind = base.FailureKind.MISMATCHED
        raise exchange.failed(
            kind,
            f"event of {chunk.get('id')}",
        )


def _parse_chunk(data: bytes, exchange: pool.Exchange) -> dict[str, Any]:
    try:
        chunk = json.loads(data)
    except ValueError as exc:
        kind = base.FailureKind.SERVER_ERROR
        raise exchange.failed(kind, f"malformed event: {exc}") from exc
    if not isinstance(chunk, dict):
        kind = base.FailureKind.SERVER_ERROR
        raise exchange.failed(kind, "an event is not an object")
    return chunk


def _parse_text(chunk: dict[str, Any], exchange: pool.Exchange) -> str:
    try:
        return chunk["choices"][0]["delta"].get("content") or ""
    except (KeyError, IndexError, TypeError, AttributeError) as exc:
        kind = base.FailureKind.SERVER_ERROR
        raise exchange.failed(kind, f"malformed event: {exc!r}") from exc


def _parse_finished(
    chunk: dict[str, Any], exchange: pool.Exchange
) -> base.Finished:
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
