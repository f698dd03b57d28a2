"""HTTP interface of the stand-in of a plain service."""

import asyncio
import contextlib
import json
import random
from typing import Any

from aiohttp import web

from limpetwalk import clock as clocks
from limpetwalk_bench.backend import cold_start
from limpetwalk_bench.backend import control
from limpetwalk_bench.backend import faults
from limpetwalk_bench.backend import listener
from limpetwalk_bench.backend import runs

from . import settings

BODY_LIMIT_BYTES = 64 * 1024 * 1024


class ServiceApp:
    """Plain service with its HTTP and control interfaces.

    :param cfg: settings.
    """

    def __init__(self, cfg: settings.ServiceSettings) -> None:
        self.cfg = cfg
        self.active_faults = faults.ActiveFaults()
        self.runs = runs.RunLog()
        self.cold_start = cold_start.ColdStart(
            cfg.start_cold,
            cfg.cold_allowance,
            cfg.warm_after * cfg.time_scale,
            clocks.SystemClock(),
        )
        self.in_flight = 0
        self.crashes = 0
        self._rng = random.Random(cfg.seed)
        self._outcomes: dict[str, bytes] = {}
        self._restart_task: asyncio.Task[None] | None = None
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        self._control = control.Control(self)
        self._control.add_routes(app)
        app.router.add_get("/load", self._load)
        app.router.add_get("/outcome/{request_id}", self._outcome)
        app.router.add_route("*", "/{path:.*}", self._call)
        self.listener = listener.Listener(app, cfg.host, cfg.port)
        self._control_listener = listener.Listener(
            self._control.app(), cfg.host, cfg.control_port
        )

    async def start(self) -> dict[str, int]:
        """Start both listeners and return the ports by name."""
        await self.listener.start()
        await self._control_listener.start()
        return {
            "http": self.listener.port,
            "control": self._control_listener.port,
        }

    async def close(self) -> None:
        """Close both listeners and cancel a pending restart."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        await self.listener.close()
        await self._control_listener.close()

    async def apply(self, order: faults.FaultOrder) -> bool:
        """Apply a fault of the service.

        :returns: whether the fault is known.
        """
        if order.fault == "crash":
            self.crash()
        elif order.fault == "restart":
            await self._restart()
        elif order.fault == "freeze":
            self.listener.freeze(order.on)
        elif order.fault == "cold":
            self.cold_start.turn_cold()
            if order.new_boot:
                self.listener.renew_boot()
        elif order.fault in ("fail", "crash_after_effect"):
            self.active_faults.set(order)
        else:
            return False
        return True

    def crash(self) -> None:
        """End all runs, drop the connections and refuse new ones."""
        self.crashes += 1
        self.runs.crash()
        self.listener.crash()
        if self.cfg.restart_delay is not None:
            loop = asyncio.get_running_loop()
            self._restart_task = loop.create_task(self._restart_after_delay())

    def runs_json(self) -> dict[str, Any]:
        """Return the run log, the cold start counters and the crash count."""
        report = self.runs.as_json()
        report["boot_id"] = self.listener.boot_id
        report["cold"] = self.cold_start.cold
        report["cold_peak"] = self.cold_start.peak_in_flight
        report["cold_overloads"] = self.cold_start.overloads
        report["crashes"] = self.crashes
        return report

    async def _restart_after_delay(self) -> None:
        delay = self.cfg.restart_delay or 0.0
        await asyncio.sleep(delay * self.cfg.time_scale)
        await self._restart()

    async def _restart(self) -> None:
        self.runs.crash()
        self.cold_start.turn_cold()
        await self.listener.restart()

    async def _load(self, req: web.Request) -> web.Response:
        await self.listener.wait_until_unblocked(req)
        boot_id = self.listener.boot_id
        report = {
            "boot_id": boot_id,
            "running": self.in_flight,
            "waiting": 0,
            "token_ms": 0.0,
            "age": 0.0,
        }
        headers = {faults.BOOT_HEADER: boot_id}
        return web.json_response(report, headers=headers)

    async def _outcome(self, req: web.Request) -> web.Response:
        await self.listener.wait_until_unblocked(req)
        request_id = req.match_info["request_id"]
        data = self._outcomes.get(request_id)
        echo = {faults.ECHO_HEADERS[0]: request_id}
        if data is None:
            return web.json_response(
                {"error": "no outcome"}, status=404, headers=echo
            )
        return web.Response(
            body=data, content_type="application/json", headers=echo
        )

    async def _call(self, req: web.Request) -> web.StreamResponse:
        await self.listener.wait_until_unblocked(req)
        route = self.cfg.route(req.method, req.path)
        ids = tuple(req.headers.get(name, "") for name in faults.ECHO_HEADERS)
        if route is None:
            return self._answer(ids, 404, b'{"error": "no route"}')
        if self.active_faults.consume("refuse"):
            resp = self._answer(ids, 503, b'{"error": "refused"}')
            resp.headers.update(faults.NOT_RUN_HEADERS)
            return resp
        self.in_flight += 1
        try:
            if not self.cold_start.admit(self.in_flight):
                self.crash()
            return await self._run(req, route, ids)
        finally:
            self.in_flight -= 1

    async def _run(
        self,
        req: web.Request,
        route: settings.RouteSettings,
        ids: tuple[str, ...],
    ) -> web.StreamResponse:
        data = await req.read()
        slowdown = self.cfg.cold_factor if self.cold_start.cold else 1.0
        scale = self.cfg.time_scale * slowdown / 1000
        await asyncio.sleep(self.cfg.work_ms * scale)
        run = self.runs.start(
            ids[0],
            ids[1],
            f"{route.method} {route.path}",
            business_key(data, self.cfg.key_field),
            self.listener.boot_id,
        )
        if self._should_crash(data):
            self.crash()
        body = json.dumps(
            {"request_id": ids[0], "server": self.cfg.name, "key": run.key}
        ).encode()
        status = 500 if self._should_fail() else 200
        if self.cfg.keep_outcomes and status == 200:
            self._outcomes[ids[0]] = body
        await asyncio.sleep(self.cfg.answer_ms * scale)
        late = self.active_faults.consume("late")
        if late is not None:
            await asyncio.sleep(late.seconds * self.cfg.time_scale)
        run.finish("finished" if status == 200 else "failed")
        await self.listener.wait_until_unblocked(req)
        if self.active_faults.consume("crossed"):
            ids = faults.crossed_ids(ids[0], ids[1])
        if self.active_faults.consume("truncate"):
            return await self._send_truncated(req, ids, body)
        return self._answer(ids, status, body)

    def _should_crash(self, data: bytes) -> bool:
        if self.cfg.poison_marker.encode() in data:
            return True
        return self.active_faults.consume("crash_after_effect") is not None

    def _should_fail(self) -> bool:
        fail = self.active_faults.consume("fail")
        if fail is None:
            return False
        return self._rng.randrange(max(1, fail.one_in)) == 0

    def _answer(
        self, ids: tuple[str, ...], status: int, body: bytes
    ) -> web.Response:
        return web.Response(
            status=status,
            body=body,
            content_type="application/json",
            headers=self._headers(ids),
        )

    async def _send_truncated(
        self, req: web.Request, ids: tuple[str, ...], body: bytes
    ) -> web.StreamResponse:
        resp = web.StreamResponse(headers=self._headers(ids))
        resp.content_type = "application/json"
        resp.content_length = len(body)
        await resp.prepare(req)
        await resp.write(body[: len(body) // 2])
        if req.transport is not None:
            with contextlib.suppress(RuntimeError):
                req.transport.close()
        return resp

    def _headers(self, ids: tuple[str, ...]) -> dict[str, str]:
        headers = dict(zip(faults.ECHO_HEADERS, ids, strict=True))
        headers[faults.BOOT_HEADER] = self.listener.boot_id
        return headers


def business_key(data: bytes, field: str) -> str:
    """Return the business key of a JSON body, or an empty string."""
    try:
        body = json.loads(data)
    except ValueError:
        return ""
    if not isinstance(body, dict):
        return ""
    return str(body.get(field, ""))
