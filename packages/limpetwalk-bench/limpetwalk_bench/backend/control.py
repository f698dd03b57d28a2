"""Control interface of the stand-ins: faults and the run log."""

from typing import Any
from typing import Protocol

from aiohttp import web
import pydantic

from . import faults
from . import listener

ANSWER_FAULTS = ("refuse", "late", "crossed", "truncate")


class Controlled(Protocol):
    """Parts of a stand-in that the control interface uses."""

    listener: listener.Listener

    @property
    def active_faults(self) -> faults.ActiveFaults:
        """Faults that are on."""
        ...

    async def apply(self, order: faults.FaultOrder) -> bool:
        """Apply a fault; return False when it is unknown."""
        ...

    def runs_json(self) -> dict[str, Any]:
        """Return the run log."""
        ...


class Control:
    """Handlers of ``/_control`` and ``/_runs``.

    :param owner: stand-in that is controlled.
    """

    def __init__(self, owner: Controlled) -> None:
        self._owner = owner

    def app(self) -> web.Application:
        """Return an application with only the control interface."""
        app = web.Application()
        self.add_routes(app)
        return app

    def add_routes(self, app: web.Application) -> None:
        """Add the control interface to an application."""
        app.router.add_post("/_control", self._order)
        app.router.add_get("/_control", self._show)
        app.router.add_get("/_runs", self._runs)

    async def _order(self, req: web.Request) -> web.Response:
        try:
            order = faults.FaultOrder.model_validate(await req.json())
        except (ValueError, pydantic.ValidationError) as exc:
            return web.json_response({"error": str(exc)}, status=400)
        result: dict[str, Any] = {"fault": order.fault}
        if order.fault == "silent":
            result["connections"] = self._owner.listener.silence()
        elif order.fault in ANSWER_FAULTS:
            self._owner.active_faults.set(order)
        elif not await self._owner.apply(order):
            return web.json_response({"error": "unknown fault"}, status=400)
        return web.json_response(result)

    async def _show(self, req: web.Request) -> web.Response:
        return web.json_response(
            {
                "up": self._owner.listener.is_listening,
                "frozen": self._owner.listener.frozen,
                "boot_id": self._owner.listener.boot_id,
                "faults": self._owner.active_faults.as_json(),
            }
        )

    async def _runs(self, req: web.Request) -> web.Response:
        return web.json_response(self._owner.runs_json())
