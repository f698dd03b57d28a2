"""Orders to an engine: models, adapters, versions and its role."""

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

    :param fencing: fencing number of the lease of who gives the order.
    :param kind: what to do.
    :param target: ``model:version``, adapter or role that it is about.
    :param weights: name in the weight store; empty takes the target.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    fencing: int = pydantic.Field(ge=0)
    kind: Literal["load_version", "unload_version", "load_adapter", "set_role"]
    target: str
    weights: str = ""


class StaleFencing(Exception):
    """An order carries an older fencing number than one before it."""


@dataclass(slots=True)
class Order:
    """Order that was taken.

    :param state: ``running``, ``done`` or ``failed``.
    """

    fencing: int
    kind: str
    target: str
    state: str


class Orders:
    """Orders and what they have brought about.

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
        """Begin an order; one that runs already is returned as it stands.

        :raises StaleFencing: when old fencing numbers are refused.
        """
        if self._cfg.fencing and body.fencing < self.highest_fencing:
            raise StaleFencing
        self.highest_fencing = max(self.highest_fencing, body.fencing)
        for held in self._log:
            same = (held.kind, held.target) == (body.kind, body.target)
            if same and held.state == "running":
                return held
        order = Order(body.fencing, body.kind, body.target, "running")
        self._log.append(order)
        task = asyncio.get_running_loop().create_task(
            self._run(order, body.weights or body.target)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return order

    def crash(self) -> None:
        """Give up the orders that run; what was loaded is loaded again."""
        for task in self._tasks:
            task.cancel()
        for order in self._log:
            if order.state == "running":
                order.state = "failed"

    def as_json(self) -> dict[str, Any]:
        """Return what is loaded and the log of orders."""
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
                        raise aiohttp.ClientError(f"status {resp.status}")
                    pause = float(resp.headers.get("Retry-After", "1"))
                await asyncio.sleep(pause * self._cfg.time_scale)
