"""Orders that load versions and adapters or set the engine's role."""

import asyncio
from dataclasses import asdict
from dataclasses import dataclass
from typing import Any
from typing import Literal

import aiohttp
import pydantic

from . import settings


class OrderBody(pydantic.BaseModel):
    """Body of ``POST /orders``.

    :param fencing: fencing number of the sender's lease.
    :param kind: operation to run.
    :param target: ``model:version``, adapter or role that it applies to.
    :param weights: name in the weight store; empty for the target.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    fencing: int = pydantic.Field(ge=0)
    kind: Literal["load_version", "unload_version", "load_adapter", "set_role"]
    target: str
    weights: str = ""


class StaleFencing(Exception):
    """An order has a lower fencing number than an earlier one."""


@dataclass(slots=True)
class Order:
    """Order that was accepted.

    :param fencing: fencing number that it was sent with.
    :param kind: operation to run.
    :param target: version, adapter or role that it applies to.
    :param state: ``running``, ``done`` or ``failed``.
    """

    fencing: int
    kind: str
    target: str
    state: str


class Orders:
    """Log of orders and the state that they have changed.

    :param cfg: settings of the engine.
    """

    def __init__(self, cfg: settings.EngineSettings) -> None:
        self.serves: set[str] = set(cfg.serves)
        self.adapters: set[str] = set()
        self.role = "mixed"
        self.highest_fencing = 0
        self._cfg = cfg
        self._log: list[Order] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(self, body: OrderBody) -> Order:
        """Start an order, or return the same one if it already runs.

        :raises StaleFencing: when the fencing number is too low and the
            settings refuse such orders.
        """
        if self._cfg.fencing and body.fencing < self.highest_fencing:
            raise StaleFencing
        self.highest_fencing = max(self.highest_fencing, body.fencing)
        for entry in self._log:
            is_same = (entry.kind, entry.target) == (body.kind, body.target)
            if is_same and entry.state == "running":
                return entry
        order = Order(body.fencing, body.kind, body.target, "running")
        self._log.append(order)
        task = asyncio.get_running_loop().create_task(
            self._run(order, body.weights or body.target)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return order

    def crash(self) -> None:
        """Fail the running orders.

        Versions and adapters that were loaded are loaded again.
        """
        for task in self._tasks:
            task.cancel()
        for order in self._log:
            if order.state == "running":
                order.state = "failed"

    def as_json(self) -> dict[str, Any]:
        """Return the loaded versions and adapters, role and order log."""
        return {
            "serves": sorted(self.serves),
            "adapters": sorted(self.adapters),
            "role": self.role,
            "highest_fencing": self.highest_fencing,
            "orders": [asdict(order) for order in self._log],
        }

    async def _run(self, order: Order, weights: str) -> None:
        try:
            if order.kind in ("load_version", "load_adapter"):
                await self._load(weights)
        except (aiohttp.ClientError, TimeoutError):
            order.state = "failed"
            return
        self._apply(order)
        order.state = "done"

    def _apply(self, order: Order) -> None:
        if order.kind == "load_version":
            self.serves.add(order.target)
        elif order.kind == "unload_version":
            self.serves.discard(order.target)
        elif order.kind == "load_adapter":
            self.adapters.add(order.target)
        else:
            self.role = order.target

    async def _load(self, weights: str) -> None:
        if self._cfg.weights_url:
            await self._fetch(f"{self._cfg.weights_url}/{weights}")
        await asyncio.sleep(self._cfg.load_seconds * self._cfg.time_scale)

    async def _fetch(self, url: str) -> None:
        timeout = aiohttp.ClientTimeout(total=60 * self._cfg.time_scale)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                async with session.get(url) as resp:
                    if resp.status == 200:
                        await resp.read()
                        return
                    if resp.status not in (429, 503):
                        resp.raise_for_status()
                        raise aiohttp.ClientError(
                            f"weight store answered {resp.status} for {url}; "
                            "expected 200"
                        )
                    delay = float(resp.headers.get("Retry-After", "1"))
                await asyncio.sleep(delay * self._cfg.time_scale)
