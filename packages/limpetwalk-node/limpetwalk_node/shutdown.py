"""Graceful shutdown of the node."""

import asyncio
from dataclasses import dataclass

from loguru import logger

from limpetwalk.ledger import base as ledger

from . import lifecycle
from . import settings

FLUSH_TIMEOUT = 10.0


@dataclass(frozen=True, slots=True)
class Report:
    """How a shutdown went.

    :param cut: requests that were still in flight at the end.
    :param unflushed: bill entries that this node still held.
    """

    cut: int
    unflushed: int


async def drain(
    life: lifecycle.Lifecycle,
    cfg: settings.ShutdownSettings,
    biller: ledger.Biller,
) -> Report:
    """Leave the balancer, finish what is in flight and flush the ledger."""
    life.phase = lifecycle.Phase.LEAVING
    logger.info("leaving", balancer_wait=cfg.balancer_wait)
    await asyncio.sleep(cfg.balancer_wait)
    life.phase = lifecycle.Phase.DRAINING
    logger.info("draining", in_flight=life.in_flight)
    await life.wait_idle(cfg.drain_timeout)
    unflushed = await biller.flush(FLUSH_TIMEOUT)
    report = Report(life.in_flight, unflushed)
    logger.info("drained", cut=report.cut, unflushed=report.unflushed)
    return report
