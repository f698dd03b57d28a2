"""Chat completions of the engine stand-in: request and answer."""

import asyncio
import contextlib
from dataclasses import dataclass
import json
import time
from typing import Any
from typing import Protocol

from aiohttp import web

from limpetwalk_bench.backend import faults
from limpetwalk_bench.backend import listener

from . import batch
from . import core
from . import settings

DEFAULT_PRIORITY = 1


class Owner(Protocol):
    """Parts of the engine application that an answer uses."""

    cfg: settings.EngineSettings
    engine: core.Engine
    listener: listener.Listener

    @property
    def active_faults(self) -> faults.ActiveFaults:
        """Faults that are on."""
        ...


class BadRequest(Exception):
    """A request is malformed."""


@dataclass(frozen=True, slots=True)
class Chat:
    """Parsed chat completion request.

    :param request_id: identifier to echo.
    :param attempt_id: identifier to echo.
    :param body: parsed body.
    :param priority: 0 is served first.
    :param resume_from: tokens to skip.
    :param timeout: seconds that the caller waits; None for no limit.
    """

    request_id: str
    attempt_id: str
    body: dict[str, Any]
    priority: int
    resume_from: int
    timeout: float | None

    @property
    def model(self) -> str:
        """Requested version, as ``model:version``."""
        return str(self.body.get("model", ""))

    @property
    def stream(self) -> bool:
        """Whether the caller requested a streamed answer."""
        return self.body.get("stream") is True


async def read_chat(req: web.Request) -> Chat:
    """Parse a chat completion request and its headers.

    :raises BadRequest: when it is malformed.
    """
    try:
        body = await req.json()
        priority = int(req.headers.get("X-Priority", DEFAULT_PRIORITY))
        resume_from = int(req.headers.get("X-Resume-From", "0"))
        timeout_ms = float(req.headers.get("X-Timeout-Ms", "inf"))
    except ValueError as exc:
        raise BadRequest(str(exc)) from exc
    if not isinstance(body, dict) or not body.get("messages"):
        raise BadRequest("expected an object with messages")
    return Chat(
        req.headers.get("X-Request-Id", ""),
        req.headers.get("X-Attempt-Id", ""),
        body,
        priority,
        resume_from,
        None if timeout_ms == float("inf") else timeout_ms / 1000,
    )


class Answer:
    """Answer to one chat completion, with the active faults applied.

    :param owner: engine application.
    :param req: HTTP request.
    :param chat: parsed request.
    """

    def __init__(self, owner: Owner, req: web.Request, chat: Chat) -> None:
        self._owner = owner
        self._req = req
        self._chat = chat
        self._ids = (chat.request_id, chat.attempt_id)
        self._header_ids = self._ids
        self._event_ids = self._ids

    def error(
        self, status: int, code: str, not_run: bool = False
    ) -> web.Response:
        """Return an error that echoes the ids.

        :param not_run: whether to state that the request was not run.
        """
        body = {"error": {"code": code, "message": code.replace("_", " ")}}
        headers = self._headers()
        if not_run:
            headers.update(faults.NOT_RUN_HEADERS)
        return web.json_response(body, status=status, headers=headers)

    def close_connection(self) -> None:
        """Close the connection of the caller."""
        if self._req.transport is not None:
            self._req.transport.close()

    async def send(self, job: batch.Job) -> web.StreamResponse:
        """Send the answer, streamed or in one piece, with its faults."""
        late = self._owner.active_faults.consume("late")
        if late is not None:
            scale = self._owner.cfg.time_scale
            await asyncio.sleep(late.seconds * scale)
        crossed = self._owner.active_faults.consume("crossed")
        if crossed is not None:
            self._replace_ids(crossed.where)
        truncate = self._owner.active_faults.consume("truncate") is not None
        if self._owner.engine.is_poison_request(self._chat.body):
            await job.token_queue.get()
            self._owner.engine.crash()
        if self._chat.stream:
            return await self._send_stream(job, truncate)
        return await self._send_complete(job, truncate)

    async def _send_stream(
        self, job: batch.Job, truncate: bool
    ) -> web.StreamResponse:
        resp = web.StreamResponse(headers=self._headers())
        resp.content_type = "text/event-stream"
        await self._owner.listener.wait_until_unblocked(self._req)
        await resp.prepare(self._req)
        sent = 0
        while (token := await self._next_token(job)) is not None:
            await self._owner.listener.wait_until_unblocked(self._req)
            await resp.write(_sse_event(self._chunk({"content": token}, None)))
            sent += 1
            if truncate and sent >= max(1, len(job.tokens) // 2):
                await resp.write_eof()
                return resp
        if not truncate:
            await self._owner.listener.wait_until_unblocked(self._req)
            final_chunk = self._chunk({}, "stop")
            final_chunk["usage"] = self._usage(job)
            final_chunk["request_id"], final_chunk["attempt_id"] = (
                self._event_ids
            )
            await resp.write(_sse_event(final_chunk) + b"data: [DONE]\n\n")
        await resp.write_eof()
        return resp

    async def _send_complete(
        self, job: batch.Job, truncate: bool
    ) -> web.StreamResponse:
        tokens = []
        while (token := await self._next_token(job)) is not None:
            tokens.append(token)
        message = {"role": "assistant", "content": "".join(tokens)}
        body = {
            "id": f"chatcmpl-{self._chat.request_id}",
            "object": "chat.completion",
            "created": int(time.time()),
            "model": self._chat.model,
            "choices": [
                {"index": 0, "message": message, "finish_reason": "stop"}
            ],
            "usage": self._usage(job),
        }
        body["request_id"], body["attempt_id"] = self._event_ids
        data = json.dumps(body).encode()
        await self._owner.listener.wait_until_unblocked(self._req)
        if truncate:
            return await self._send_truncated(data)
        return web.Response(
            body=data,
            content_type="application/json",
            headers=self._headers(),
        )

    async def _send_truncated(self, data: bytes) -> web.StreamResponse:
        resp = web.StreamResponse(headers=self._headers())
        resp.content_type = "application/json"
        resp.content_length = len(data)
        await resp.prepare(self._req)
        await resp.write(data[: len(data) // 2])
        if self._req.transport is not None:
            with contextlib.suppress(RuntimeError):
                self._req.transport.close()
        return resp

    async def _next_token(self, job: batch.Job) -> str | None:
        return await job.token_queue.get()

    def _replace_ids(self, where: str) -> None:
        crossed_ids = faults.crossed_ids(*self._ids)
        if where in ("header", "both"):
            self._header_ids = crossed_ids
        if where in ("event", "both"):
            self._event_ids = crossed_ids

    def _headers(self) -> dict[str, str]:
        headers = dict(zip(faults.ECHO_HEADERS, self._header_ids, strict=True))
        headers[faults.BOOT_HEADER] = self._owner.engine.boot_id
        return headers

    def _usage(self, job: batch.Job) -> dict[str, int]:
        return {
            "prompt_tokens": len(job.prompt_tokens),
            "completion_tokens": len(job.tokens),
            "total_tokens": len(job.prompt_tokens) + len(job.tokens),
        }

    def _chunk(
        self, delta: dict[str, str], finish: str | None
    ) -> dict[str, Any]:
        choice = {"index": 0, "delta": delta, "finish_reason": finish}
        return {
            "id": f"chatcmpl-{self._event_ids[0]}",
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": self._chat.model,
            "choices": [choice],
        }


def _sse_event(data: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(data).encode() + b"\n\n"
