"""Endpoint ``POST /v1/chat/completions``, complete and streamed."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from dataclasses import dataclass

from aiohttp import web
from loguru import logger
import xxhash

from limpetwalk import clock as clocks
from limpetwalk import metrics as measures
from limpetwalk import refusals
from limpetwalk.backends import base as backends
from limpetwalk.routing import access
from limpetwalk.routing import answers
from limpetwalk.routing import cascade_runner
from limpetwalk.routing import session_tokens

from .. import caller_writes
from .. import sessions
from ..billing import answer_biller
from . import calls
from . import completion_format
from . import errors
from . import request_models

VERSION_HEADER = "X-Model-Version"
STREAM_HEADERS = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-cache",
}


@dataclass(frozen=True, slots=True)
class _Request:
    """Parsed request with what its response and bill entry need."""

    answer_request: answers.AnswerRequest
    billing_key: str
    formatter: completion_format.CompletionFormatter
    include_usage: bool


class ChatCompletions:
    """Endpoint that answers chat completions.

    :param runner: runs cascades.
    :param biller: writes the bill entry of each answer.
    :param clock: clock for deadlines.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        runner: cascade_runner.CascadeRunner,
        biller: answer_biller.AnswerBiller,
        clock: clocks.Clock,
        metrics: measures.Metrics,
    ) -> None:
        self._runner = runner
        self._biller = biller
        self._clock = clock
        self._refusals = errors.RefusalCounter(metrics)
        self._answers = metrics.counter(
            "limpetwalk_answers",
            "Whole answers by the kind of request.",
            ("kind",),
        )
        self._first_token_latency = metrics.latency(
            "limpetwalk_first_token",
            "Time from a streamed request's body to its first token.",
        )

    async def __call__(self, call: calls.Call) -> web.StreamResponse:
        """Answer one chat completion.

        :raises Refused: when no answer could be obtained.
        """
        body = await call.body()
        data = request_models.parse_json(body)
        chat = request_models.parse(request_models.ChatRequest, data)
        cfg = call.applied.snapshot
        access.get_cascade(cfg, call.workspace, chat.model)
        timeout = call.timeout(cfg.tuning.request_timeout)
        answer_request = answers.AnswerRequest(
            request_id=call.request_id,
            workspace=call.workspace.name,
            cascade=chat.model,
            request_class=chat.request_class(
                call.req.headers.get(calls.CLASS_HEADER)
            ),
            body=data,
            question=chat.question,
            session=call.session(),
            deadline=self._clock.monotonic() + timeout,
        )
        created = int(self._clock.wall())
        options = chat.stream_options
        req = _Request(
            answer_request,
            billing_key(call, body),
            completion_format.CompletionFormatter(
                call.request_id, chat.model, created
            ),
            include_usage=options is not None and options.include_usage,
        )
        if chat.stream:
            return await self._stream(call, req)
        return await self._answer_complete(call, req)

    async def _answer_complete(
        self, call: calls.Call, req: _Request
    ) -> web.Response:
        texts: list[str] = []
        headers: dict[str, str] = {}
        async with contextlib.aclosing(
            self._runner.answer(req.answer_request)
        ) as events:
            async for event in events:
                if isinstance(event, backends.Delta):
                    texts.append(event.text)
                    continue
                if isinstance(event, answers.Started):
                    headers = self._headers(call, req, event)
                    continue
                await self._bill(req, event)
                self._answers.labels("whole").inc()
                return web.Response(
                    body=req.formatter.full_body("".join(texts), event),
                    content_type="application/json",
                    headers=headers,
                )
        raise AssertionError(
            "the events of a cascade ended without an Answered event"
        )

    async def _stream(
        self, call: calls.Call, req: _Request
    ) -> web.StreamResponse:
        started_at = self._clock.monotonic()
        async with contextlib.aclosing(
            self._runner.answer(req.answer_request)
        ) as events:
            # A refusal before the first event still sets the HTTP status.
            started = await anext(events)
            assert isinstance(started, answers.Started)
            self._first_token_latency.record(
                self._clock.monotonic() - started_at
            )
            resp = web.StreamResponse(
                headers=STREAM_HEADERS | self._headers(call, req, started)
            )
            await resp.prepare(call.req)
            writer = _StreamWriter(call.req, resp)
            await writer.write(req.formatter.first_event())
            try:
                await self._forward_events(writer, req, events)
            except refusals.Refused as exc:
                self._refusals.count(exc.refusal)
                await writer.write(req.formatter.error_event(exc.refusal))
            except (OSError, asyncio.CancelledError):
                raise
            except Exception:
                logger.exception(
                    "stream of request {} failed with an unexpected error",
                    req.answer_request.request_id,
                )
                refusal = errors.internal_error()
                self._refusals.count(refusal)
                await writer.write(req.formatter.error_event(refusal))
        return resp

    async def _forward_events(
        self,
        writer: "_StreamWriter",
        req: _Request,
        events: AsyncIterator[answers.AnswerEvent],
    ) -> None:
        async for event in events:
            if isinstance(event, backends.Delta):
                await writer.write(req.formatter.delta_event(event.text))
            elif isinstance(event, answers.Answered):
                await self._bill(req, event)
                self._answers.labels("streamed").inc()
                await writer.write(
                    req.formatter.final_events(event, req.include_usage)
                )

    def _headers(
        self, call: calls.Call, req: _Request, started: answers.Started
    ) -> dict[str, str]:
        """Return the headers of a response.

        A request without a session gets the token of a new one, so that a
        conversation needs no separate request to open its session.
        """
        target = started.target
        headers = {
            errors.REQUEST_ID_HEADER: req.answer_request.request_id,
            VERSION_HEADER: f"{target.model}:{target.version}",
        }
        cfg = call.applied.snapshot
        if req.answer_request.session is None and cfg.session_keys:
            session = sessions.open_session(
                call,
                req.answer_request.request_id,
                req.answer_request.cascade,
                target,
            )
            token = session_tokens.issue_token(cfg.session_keys, session)
            headers[calls.SESSION_HEADER] = token
        return headers

    async def _bill(self, req: _Request, answered: answers.Answered) -> None:
        await self._biller.write(
            req.answer_request.workspace,
            req.billing_key,
            req.answer_request.request_id,
            req.answer_request.cascade,
            tuple(f"{step.model}:{step.version}" for step in answered.steps),
            answered.usage.input_tokens,
            answered.usage.output_tokens,
            answered.price,
        )


class _StreamWriter:
    """Writes the events of a streamed response.

    :param req: request to respond to.
    :param resp: prepared response.
    """

    def __init__(self, req: web.BaseRequest, resp: web.StreamResponse) -> None:
        self._req = req
        self._resp = resp

    async def write(self, data: bytes) -> None:
        """Write data to the caller.

        :raises ConnectionResetError: when the caller disconnected or stopped
            reading.
        """
        await caller_writes.await_write(self._req, self._resp.write(data))


def billing_key(call: calls.Call, body: bytes) -> str:
    """Return the key under which a request is billed once.

    It includes a hash of the body, so that requests with other bodies under
    the same idempotency key are billed too.
    """
    key = call.idempotency_key()
    if key is None:
        return call.request_id
    return f"{key}:{xxhash.xxh3_128_hexdigest(body)}"
