"""Graceful shutdown of the node."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from limpetwalk.ledger import base as ledger

from . import lifecycle
from . import settings

# Maximum wait in seconds for the ledger to write the last bill entries.
FLUSH_TIMEOUT = 10.0


class LeaveAnnouncer(Protocol):
    """Notifies the peers of a node that it is leaving."""

    def leave(self) -> None:
        """Notify the peers that this node accepts no new work."""
        ...


@dataclass(frozen=True, slots=True)
class DrainReport:
    """Outcome of a graceful shutdown.

    :param unfinished: number of requests still in flight at the end.
    :param unflushed: number of bill entries not yet written to the ledger.
    """

    unfinished: int
    unflushed: int


async def drain(
    node_lifecycle: lifecycle.Lifecycle,
    cfg: settings.ShutdownSettings,
    hub: LeaveAnnouncer,
    biller: ledger.Biller,
) -> DrainReport:
    """Stop new work, finish the work in flight and flush the ledger.

    :param node_lifecycle: lifecycle of the node.
    :param cfg: bounds of the shutdown.
    :param hub: notifies the peers that the node is leaving.
    :param biller: writes bill entries.
    :returns: the work that was left unfinished.
    """
    node_lifecycle.phase = lifecycle.Phase.LEAVING
    logger.info(
        "leaving: serving for another {} s until the load balancer stops"
        " sending requests",
        cfg.balancer_wait,
    )
    hub.leave()
    await asyncio.sleep(cfg.balancer_wait)
    node_lifecycle.phase = lifecycle.Phase.DRAINING
    logger.info(
        "draining: waiting for {} requests in flight",
        node_lifecycle.in_flight,
    )
    await node_lifecycle.wait_idle(cfg.drain_timeout)
    unflushed = await biller.flush(FLUSH_TIMEOUT)
    report = DrainReport(node_lifecycle.in_flight, unflushed)
    logger.info(
        "drained: {} requests unfinished, {} bill entries unflushed",
        report.unfinished,
        report.unflushed,
    )
    return report
