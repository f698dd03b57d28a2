"""Graceful shutdown of the node."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from limpetwalk.ledger import base as ledger

from . import lifecycle
from . import settings

FLUSH_TIMEOUT = 10.0


class LeaveAnnouncer(Protocol):
    """Hub of a node that tells its peers that it leaves."""

    def leave(self) -> None:
        """Tell peers that this node takes no new work."""
        ...


@dataclass(frozen=True, slots=True)
class DrainReport:
    """How a shutdown went.

    :param cut: requests that were still in flight at the end.
    :param unflushed: bill entries that this node still held.
    """

    cut: int
    unflushed: int


async def drain(
    node_lifecycle: lifecycle.Lifecycle,
    cfg: settings.ShutdownSettings,
    hub: LeaveAnnouncer,
    biller: ledger.Biller,
) -> DrainReport:
    """Leave the balancer, finish what is in flight and flush the ledger."""
    node_lifecycle.phase = lifecycle.Phase.LEAVING
    logger.info("leaving, waits {} s for the balancer", cfg.balancer_wait)
    hub.leave()
    await asyncio.sleep(cfg.balancer_wait)
    node_lifecycle.phase = lifecycle.Phase.DRAINING
    logger.info("draining {} requests", node_lifecycle.in_flight)
    await node_lifecycle.wait_idle(cfg.drain_timeout)
    unflushed = await biller.flush(FLUSH_TIMEOUT)
    report = DrainReport(node_lifecycle.in_flight, unflushed)
    logger.info("drained, {} cut, {} unflushed", report.cut, report.unflushed)
    return report
