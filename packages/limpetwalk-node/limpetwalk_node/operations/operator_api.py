"""HTTP interface for operators, on a separate port."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

from aiohttp import web

from limpetwalk import metrics as measures

from .. import lifecycle
from .. import protocols

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SNAPSHOT_LIMIT_BYTES = 16 * 1024 * 1024

ApplyConfig = Callable[[int, bytes], Awaitable[bool]]
Status = Callable[[], dict[str, Any]]


class OperatorApi:
    """Serves liveness, readiness, metrics and status; accepts configurations.

    :param config: configuration in force.
    :param node_lifecycle: phase of the node.
    :param metrics: metrics of the process.
    :param status: returns the body of ``/status``.
    :param apply_config: applies the snapshot of an accepted generation;
        returns whether it is in force now.
    """

    def __init__(
        self,
        config: protocols.ConfigSource,
        node_lifecycle: lifecycle.Lifecycle,
        metrics: measures.Metrics,
        status: Status,
        apply_config: ApplyConfig,
    ) -> None:
        self._config = config
        self._lifecycle = node_lifecycle
        self._metrics = metrics
        self._status = status
        self._apply_config = apply_config

    def application(self) -> web.Application:
        """Return the web application that serves the interface."""
        app = web.Application(client_max_size=SNAPSHOT_LIMIT_BYTES)
        app.router.add_get("/live", self._live)
        app.router.add_get("/ready", self._ready)
        app.router.add_get("/metrics", self._show_metrics)
        app.router.add_get("/status", self._show_status)
        app.router.add_put("/config/{generation:[0-9]+}", self._put_config)
        return app

    async def _live(self, req: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def _ready(self, req: web.Request) -> web.Response:
        ready = self._lifecycle.is_ready(self._config)
        return web.json_response(
            {"ready": ready, "phase": self._lifecycle.phase.value},
            status=200 if ready else 503,
        )

    async def _show_metrics(self, req: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.expose(),
            headers={"Content-Type": METRICS_TYPE},
        )

    async def _show_status(self, req: web.Request) -> web.Response:
        return web.json_response(self._status())

    async def _put_config(self, req: web.Request) -> web.Response:
        generation = int(req.match_info["generation"])
        data = await req.read()
        try:
            json.loads(data)
        except ValueError:
            raise web.HTTPBadRequest(text="the snapshot is not JSON") from None
        applied = await self._apply_config(generation, data)
        return web.json_response(
            {"applied": applied}, status=200 if applied else 409
        )
