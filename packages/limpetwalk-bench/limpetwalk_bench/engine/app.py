"""HTTP interface of the engine stand-in."""

import asyncio
import contextlib
from dataclasses import dataclass
import json
import time
from typing import Any

from aiohttp import web
import pydantic

from limpetwalk import clock as clocks
from limpetwalk_bench.backend import control
from limpetwalk_bench.backend import faults
from limpetwalk_bench.backend import listener

from . import batch
from . import core
from . import orders
from . import settings

BODY_LIMIT_BYTES = 64 * 1024 * 1024
DEFAULT_PRIORITY = 1


class BadRequest(Exception):
    """A request is not what an engine can run."""


@dataclass(frozen=True, slots=True)
class Chat:
    """Chat completion request as it came in.

    :param request_id: identifier to echo.
    :param attempt_id: identifier to echo.
    :param body: parsed body.
    :param priority: 0 is served first.
    :param resume_from: tokens to skip.
    :param timeout: seconds until the caller gives up; None for never.
    """

    request_id: str
    attempt_id: str
    body: dict[str, Any]
    priority: int
    resume_from: int
    timeout: float | None

    @property
    def model(self) -> str:
        """Version asked for, as ``model:version``."""
        return str(self.body.get("model", ""))

    @property
    def stream(self) -> bool:
        """Whether the answer is to be streamed."""
        return self.body.get("stream") is True


async def read_chat(req: web.Request) -> Chat:
    """Parse a chat completion request.

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


class EngineApp:
    """Engine with its interface and its control interface.

    :param cfg: settings.
    """

    def __init__(self, cfg: settings.EngineSettings) -> None:
        self.cfg = cfg
        self.engine = core.Engine(cfg, clocks.SystemClock())
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_get("/load", self._load)
        app.router.add_get("/cache-events", self._cache_events)
        app.router.add_get("/kv-cache", self._export)
        app.router.add_post("/kv-cache", self._import)
        app.router.add_post("/orders", self._order)
        app.router.add_get("/orders", self._orders)
        self.control = control.Control(self)
        self.control.add_routes(app)
        self.listener = listener.Listener(app, cfg.host, cfg.port)
        self.engine.listener = self.listener
        self._control_listener = listener.Listener(
            self.control.app(), cfg.host, cfg.control_port
        )

    async def start(self) -> dict[str, int]:
        """Listen and return the ports by name."""
        self.engine.batch.start()
        self.engine.reports.start()
        await self.listener.start()
        await self._control_listener.start()
        return {
            "http": self.listener.port,
            "control": self._control_listener.port,
        }

    async def close(self) -> None:
        """Stop."""
        await self.engine.close()
        await self.listener.close()
        await self._control_listener.close()

    async def apply(self, order: faults.FaultOrder) -> bool:
        """Bring about a fault of engines.

        :returns: whether the fault is known.
        """
        if order.fault == "crash":
            self.engine.crash()
        elif order.fault == "restart":
            await self.engine.restart()
        elif order.fault == "freeze":
            self.listener.freeze(order.on)
            self.engine.batch.pause(order.on)
        elif order.fault == "cold":
            self._turn_cold(order.new_boot)
        elif order.fault == "bad_version":
            self.engine.switches.set(order)
        else:
            return False
        return True

    @property
    def switches(self) -> faults.Switches:
        """Faults that are on."""
        return self.engine.switches

    def runs_json(self) -> dict[str, Any]:
        """Return the run log and what cold start has seen."""
        found = self.engine.runs.as_json()
        found["boot_id"] = self.engine.boot_id
        found["cold"] = self.engine.warmth.cold
        found["cold_peak"] = self.engine.warmth.peak
        found["cold_overloads"] = self.engine.warmth.overloads
        found["crashes"] = self.engine.crashes
        return found

    def _turn_cold(self, new_boot: bool) -> None:
        self.engine.chill()
        if new_boot:
            self.listener.renew_boot()

    async def _chat(self, req: web.Request) -> web.StreamResponse:
        await self.listener.gate(req)
        try:
            chat = await read_chat(req)
        except BadRequest as exc:
            resp = self._error(400, "malformed", str(exc), not_run=True)
            for name in faults.ECHO_HEADERS:
                resp.headers[name] = req.headers.get(name, "")
            return resp
        answer = Answer(self, req, chat)
        if self.switches.take("refuse"):
            return answer.error(503, "refused", not_run=True)
        if chat.model not in self.engine.orders.serves:
            return answer.error(404, "model_not_found", not_run=True)
        if self.engine.fails(chat.model):
            self.engine.runs.start(
                chat.request_id, chat.attempt_id, chat.model
            ).finish("failed")
            return answer.error(500, "internal")
        try:
            job = self.engine.submit(
                chat.request_id,
                chat.attempt_id,
                chat.body,
                chat.priority,
                chat.resume_from,
            )
        except batch.QueueFull:
            return answer.error(429, "queue_full", not_run=True)
        except core.ColdOverload:
            return answer.error(500, "cold_overload")
        try:
            async with asyncio.timeout(chat.timeout):
                return await answer.send(job)
        except TimeoutError:
            # The caller no longer waits, so the work is given up.
            answer.drop()
            return answer.error(504, "timeout")
        except ConnectionError:
            # The caller has left; there is nobody to answer.
            return answer.error(499, "client_left")
        finally:
            if not job.cancelled:
                self.engine.batch.cancel(job)

    def _error(
        self, status: int, code: str, text: str, not_run: bool = False
    ) -> web.Response:
        headers = faults.NOT_RUN_HEADERS if not_run else {}
        body = {"error": {"code": code, "message": text}}
        return web.json_response(body, status=status, headers=headers)

    async def _load(self, req: web.Request) -> web.Response:
        await self.listener.gate(req)
        report = self.engine.reports.as_json()
        headers = {faults.BOOT_HEADER: self.engine.boot_id}
        return web.json_response(report, headers=headers)

    async def _cache_events(self, req: web.Request) -> web.Response:
        await self.listener.gate(req)
        try:
            after = int(req.query.get("after", "0"))
        except ValueError:
            return self._error(400, "malformed", "after is not a number")
        events = self.engine.cache.events(after)
        boot_id = self.engine.boot_id
        return web.json_response({"boot_id": boot_id, "events": events})

    async def _export(self, req: web.Request) -> web.Response:
        await self.listener.gate(req)
        return web.json_response({"blocks": self.engine.cache.export()})

    async def _import(self, req: web.Request) -> web.Response:
        await self.listener.gate(req)
        try:
            body = await req.json()
            blocks = [str(block) for block in body["blocks"]]
        except (ValueError, KeyError, TypeError):
            return self._error(400, "malformed", "expected blocks")
        self.engine.cache.store(blocks)
        return web.json_response({"imported": len(blocks)})

    async def _order(self, req: web.Request) -> web.Response:
        await self.listener.gate(req)
        try:
            body = orders.OrderBody.model_validate(await req.json())
        except (ValueError, pydantic.ValidationError) as exc:
            return self._error(400, "malformed", str(exc))
        try:
            order = self.engine.orders.take(body)
        except orders.StaleFencing:
            text = f"highest fencing number is {self.engine.orders.highest}"
            return self._error(409, "stale_fencing", text)
        return web.json_response({"state": order.state}, status=202)

    async def _orders(self, req: web.Request) -> web.Response:
        await self.listener.gate(req)
        return web.json_response(self.engine.orders.as_json())


class Answer:
    """Answer to one chat completion, with the faults that touch it."""

    def __init__(self, owner: EngineApp, req: web.Request, chat: Chat) -> None:
        self._owner = owner
        self._req = req
        self._chat = chat
        self._ids = (chat.request_id, chat.attempt_id)
        self._header_ids = self._ids
        self._event_ids = self._ids

    def error(
        self, status: int, code: str, not_run: bool = False
    ) -> web.Response:
        """Return an error with the ids echoed."""
        body = {"error": {"code": code, "message": code.replace("_", " ")}}
        headers = self._headers()
        if not_run:
            headers.update(faults.NOT_RUN_HEADERS)
        return web.json_response(body, status=status, headers=headers)

    def drop(self) -> None:
        """Close the connection."""
        if self._req.transport is not None:
            self._req.transport.close()

    async def send(self, job: batch.Job) -> web.StreamResponse:
        """Send the answer, streamed or whole."""
        late = self._owner.switches.take("late")
        if late is not None:
            scale = self._owner.cfg.time_scale
            await asyncio.sleep(late.seconds * scale)
        crossed = self._owner.switches.take("crossed")
        if crossed is not None:
            self._cross(crossed.where)
        truncate = self._owner.switches.take("truncate") is not None
        if self._owner.engine.poisoned(self._chat.body):
            await job.out.get()
            self._owner.engine.crash()
        if self._chat.stream:
            return await self._stream(job, truncate)
        return await self._whole(job, truncate)

    async def _stream(
        self, job: batch.Job, truncate: bool
    ) -> web.StreamResponse:
        resp = web.StreamResponse(headers=self._headers())
        resp.content_type = "text/event-stream"
        await self._owner.listener.gate(self._req)
        await resp.prepare(self._req)
        sent = 0
        while (token := await self._next(job)) is not None:
            await self._owner.listener.gate(self._req)
            await resp.write(_event(self._chunk({"content": token}, None)))
            sent += 1
            if truncate and sent >= max(1, len(job.tokens) // 2):
                await resp.write_eof()
                return resp
        if not truncate:
            await self._owner.listener.gate(self._req)
            last = self._chunk({}, "stop")
            last["usage"] = self._usage(job)
            last["request_id"], last["attempt_id"] = self._event_ids
            await resp.write(_event(last) + b"data: [DONE]\n\n")
        await resp.write_eof()
        return resp

    async def _whole(
        self, job: batch.Job, truncate: bool
    ) -> web.StreamResponse:
        words = []
        while (token := await self._next(job)) is not None:
            words.append(token)
        message = {"role": "assistant", "content": "".join(words)}
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
        await self._owner.listener.gate(self._req)
        if truncate:
            return await self._cut(data)
        return web.Response(
            body=data,
            content_type="application/json",
            headers=self._headers(),
        )

    async def _cut(self, data: bytes) -> web.StreamResponse:
        resp = web.StreamResponse(headers=self._headers())
        resp.content_type = "application/json"
        resp.content_length = len(data)
        await resp.prepare(self._req)
        await resp.write(data[: len(data) // 2])
        if self._req.transport is not None:
            with contextlib.suppress(RuntimeError):
                self._req.transport.close()
        return resp

    async def _next(self, job: batch.Job) -> str | None:
        return await job.out.get()

    def _cross(self, where: str) -> None:
        other = faults.crossed(*self._ids)
        if where in ("header", "both"):
            self._header_ids = other
        if where in ("event", "both"):
            self._event_ids = other

    def _headers(self) -> dict[str, str]:
        headers = dict(zip(faults.ECHO_HEADERS, self._header_ids, strict=True))
        headers[faults.BOOT_HEADER] = self._owner.engine.boot_id
        return headers

    def _usage(self, job: batch.Job) -> dict[str, int]:
        return {
            "prompt_tokens": len(job.words),
            "completion_tokens": len(job.tokens),
            "total_tokens": len(job.words) + len(job.tokens),
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


def _event(data: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(data).encode() + b"\n\n"
