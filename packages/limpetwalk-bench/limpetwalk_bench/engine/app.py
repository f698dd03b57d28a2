"""HTTP interface of the engine stand-in."""

import asyncio
from typing import Any

from aiohttp import web
import pydantic

from limpetwalk import clock as clocks
from limpetwalk_bench.backend import control
from limpetwalk_bench.backend import faults
from limpetwalk_bench.backend import listener

from . import batch
from . import chat as chats
from . import core
from . import orders
from . import settings

BODY_LIMIT_BYTES = 64 * 1024 * 1024


class EngineApp:
    """Engine stand-in with its HTTP and control interfaces.

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
        """Start the engine and both listeners; return the ports by name."""
        self.engine.batch.start()
        self.engine.load_reports.start()
        await self.listener.start()
        await self._control_listener.start()
        return {
            "http": self.listener.port,
            "control": self._control_listener.port,
        }

    async def close(self) -> None:
        """Close the engine and both listeners."""
        await self.engine.close()
        await self.listener.close()
        await self._control_listener.close()

    async def apply(self, order: faults.FaultOrder) -> bool:
        """Apply a fault of the engine.

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
            self.engine.active_faults.set(order)
        else:
            return False
        return True

    @property
    def active_faults(self) -> faults.ActiveFaults:
        """Faults that are on."""
        return self.engine.active_faults

    def runs_json(self) -> dict[str, Any]:
        """Return the run log, the cold start counters and the crash count."""
        report = self.engine.runs.as_json()
        report["boot_id"] = self.engine.boot_id
        report["cold"] = self.engine.cold_start.cold
        report["cold_peak"] = self.engine.cold_start.peak_in_flight
        report["cold_overloads"] = self.engine.cold_start.overloads
        report["crashes"] = self.engine.crashes
        return report

    def _turn_cold(self, new_boot: bool) -> None:
        self.engine.turn_cold()
        if new_boot:
            self.listener.renew_boot()

    async def _chat(self, req: web.Request) -> web.StreamResponse:
        await self.listener.wait_until_unblocked(req)
        try:
            chat = await chats.read_chat(req)
        except chats.BadRequest as exc:
            resp = self._error(400, "malformed", str(exc), not_run=True)
            for name in faults.ECHO_HEADERS:
                resp.headers[name] = req.headers.get(name, "")
            return resp
        answer = chats.Answer(self, req, chat)
        if self.active_faults.consume("refuse"):
            return answer.error(503, "refused", not_run=True)
        if chat.model not in self.engine.orders.serves:
            return answer.error(404, "model_not_found", not_run=True)
        if self.engine.should_fail(chat.model):
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
            # The caller no longer waits, so the engine cancels the job.
            answer.close_connection()
            return answer.error(504, "timeout")
        except ConnectionError:
            # The caller closed the connection; nobody reads this answer.
            return answer.error(499, "client_left")
        finally:
            if not job.cancelled:
                self.engine.batch.cancel(job)

    def _error(
        self, status: int, code: str, message: str, not_run: bool = False
    ) -> web.Response:
        headers = faults.NOT_RUN_HEADERS if not_run else {}
        body = {"error": {"code": code, "message": message}}
        return web.json_response(body, status=status, headers=headers)

    async def _load(self, req: web.Request) -> web.Response:
        await self.listener.wait_until_unblocked(req)
        report = self.engine.load_reports.as_json()
        headers = {faults.BOOT_HEADER: self.engine.boot_id}
        return web.json_response(report, headers=headers)

    async def _cache_events(self, req: web.Request) -> web.Response:
        await self.listener.wait_until_unblocked(req)
        try:
            after = int(req.query.get("after", "0"))
        except ValueError:
            return self._error(400, "malformed", "after is not a number")
        events = self.engine.cache.events(after)
        boot_id = self.engine.boot_id
        return web.json_response({"boot_id": boot_id, "events": events})

    async def _export(self, req: web.Request) -> web.Response:
        await self.listener.wait_until_unblocked(req)
        return web.json_response({"blocks": self.engine.cache.export()})

    async def _import(self, req: web.Request) -> web.Response:
        await self.listener.wait_until_unblocked(req)
        try:
            body = await req.json()
            blocks = [str(block) for block in body["blocks"]]
        except (ValueError, KeyError, TypeError):
            return self._error(400, "malformed", "expected blocks")
        self.engine.cache.store(blocks)
        return web.json_response({"imported": len(blocks)})

    async def _order(self, req: web.Request) -> web.Response:
        await self.listener.wait_until_unblocked(req)
        try:
            body = orders.OrderBody.model_validate(await req.json())
        except (ValueError, pydantic.ValidationError) as exc:
            return self._error(400, "malformed", str(exc))
        try:
            order = self.engine.orders.accept(body)
        except orders.StaleFencing:
            message = (
                "highest fencing number is "
                f"{self.engine.orders.highest_fencing}"
            )
            return self._error(409, "stale_fencing", message)
        return web.json_response({"state": order.state}, status=202)

    async def _orders(self, req: web.Request) -> web.Response:
        await self.listener.wait_until_unblocked(req)
        return web.json_response(self.engine.orders.as_json())
