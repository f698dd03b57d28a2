"""One run of a workload against a site."""

import asyncio
from dataclasses import dataclass
import random
import time

import aiohttp
from loguru import logger

from limpetwalk.ledger import base as ledger
from limpetwalk.providers import factory

from . import balancer as balancers
from . import caller as callers
from . import checks
from . import faults as fault_tables
from . import outcome
from . import plan
from . import run_logs
from . import workload

CONNECTIONS = 512
BILL_POLL = 0.5


@dataclass(frozen=True, slots=True)
class RunResult:
    """What a run gave.

    :param outcomes: outcome of each request, in the order of arrival.
    :param verdicts: checks of the promises.
    :param entries: bill entries of the run's callers.
    :param faults: faults that were brought about.
    :param elapsed: length of the run, in seconds.
    """

    outcomes: list[outcome.Outcome]
    verdicts: list[checks.Verdict]
    entries: list[ledger.BillEntry]
    faults: list[str]
    elapsed: float


async def run_workload(
    cfg: workload.Workload, site: workload.Site
) -> RunResult:
    """Send a workload, wait for the ledger, check the promises."""
    connector = aiohttp.TCPConnector(limit=CONNECTIONS)
    async with aiohttp.ClientSession(connector=connector) as http:
        balancer = balancers.Balancer(site, http, random.Random(cfg.seed))
        await balancer.start()
        table = fault_tables.FaultTable(cfg.faults, site, http)
        started = time.monotonic()
        try:
            faults = asyncio.create_task(table.run())
            outcomes = await _send_all(cfg, site, balancer, http)
            await faults
        finally:
            await balancer.stop()
        elapsed = time.monotonic() - started
        platform = await run_logs.open_platform(site)
        try:
            entries = await _await_bills(cfg, platform, outcomes)
        finally:
            await platform.close()
        runs = await run_logs.service_runs(site, http)
    return RunResult(
        outcomes=outcomes,
        verdicts=_verdicts(cfg, outcomes, entries, runs),
        entries=entries,
        faults=table.applied,
        elapsed=elapsed,
    )


async def _send_all(
    cfg: workload.Workload,
    site: workload.Site,
    balancer: balancers.Balancer,
    http: aiohttp.ClientSession,
) -> list[outcome.Outcome]:
    caller = callers.Caller(cfg, site, balancer, http)
    started = time.monotonic()
    tasks = []
    for request in plan.plan_requests(cfg):
        wait = started + request.at - time.monotonic()
        if wait > 0:
            await asyncio.sleep(wait)
        tasks.append(asyncio.create_task(caller.send(request)))
    logger.info("all {} requests are sent", len(tasks))
    return list(await asyncio.gather(*tasks))


async def _await_bills(
    cfg: workload.Workload,
    platform: factory.Platform,
    outcomes: list[outcome.Outcome],
) -> list[ledger.BillEntry]:
    # Returns as soon as each answer has an entry, or when the time is up.
    wanted = {o.plan.key for o in outcomes if o.answered}
    give_up = time.monotonic() + cfg.settle
    while True:
        entries = await run_logs.bill_entries(cfg, platform)
        missing = wanted - {checks.idempotency_key(e) for e in entries}
        if not missing or time.monotonic() >= give_up:
            return entries
        await asyncio.sleep(BILL_POLL)


def _verdicts(
    cfg: workload.Workload,
    outcomes: list[outcome.Outcome],
    entries: list[ledger.BillEntry],
    runs: list[checks.ServiceRun],
) -> list[checks.Verdict]:
    tags = {o.plan.key: callers.tag_of(o.plan) for o in outcomes}
    once = {
        tags[o.plan.key]
        for o in outcomes
        if _is_once(cfg.classes[o.plan.request_class])
    }
    once_runs = [run for run in runs if run.tag in once]
    return [
        checks.check_answers(outcomes),
        checks.check_single_runs(once_runs),
        checks.check_not_run(
            [o for o in outcomes if tags[o.plan.key] in once],
            once_runs,
            tags,
        ),
        checks.check_bills(outcomes, entries),
        checks.check_sessions(outcomes),
        checks.check_outcomes(outcomes),
    ]


def _is_once(cfg: workload.ChatClass | workload.ServiceClass) -> bool:
    return isinstance(cfg, workload.ServiceClass) and cfg.once
