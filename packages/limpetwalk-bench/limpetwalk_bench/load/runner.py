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
from . import faults as fault_injection
from . import outcome
from . import plan
from . import run_logs
from . import workload

MAX_CONNECTIONS = 512
# Time between two reads of the ledger, in seconds.
BILL_POLL_INTERVAL = 0.5


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of a run.

    :param outcomes: outcome of each request, in the order of arrival.
    :param verdicts: results of the checks.
    :param entries: bill entries of the run's callers.
    :param faults: descriptions of the injected faults.
    :param elapsed: seconds until all requests and faults have ended.
    """

    outcomes: list[outcome.Outcome]
    verdicts: list[checks.Verdict]
    entries: list[ledger.BillEntry]
    faults: list[str]
    elapsed: float


async def run_workload(
    cfg: workload.Workload, site: workload.Site
) -> RunResult:
    """Send a workload, wait for its bills and check the guarantees."""
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
    async with aiohttp.ClientSession(connector=connector) as http:
        balancer = balancers.Balancer(site, http, random.Random(cfg.seed))
        await balancer.start()
        injector = fault_injection.FaultInjector(cfg.faults, site, http)
        started = time.monotonic()
        try:
            injection = asyncio.create_task(injector.run())
            outcomes = await _send_all(cfg, site, balancer, http)
            await injection
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
        verdicts=_check_all(cfg, outcomes, entries, runs),
        entries=entries,
        faults=injector.injected,
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
    logger.info("all {} requests have been started", len(tasks))
    return list(await asyncio.gather(*tasks))


async def _await_bills(
    cfg: workload.Workload,
    platform: factory.Platform,
    outcomes: list[outcome.Outcome],
) -> list[ledger.BillEntry]:
    # Returns once each answered request has an entry, at the latest after the
    # settle time.
    answered_keys = {o.plan.key for o in outcomes if o.answered}
    give_up_at = time.monotonic() + cfg.settle
    while True:
        entries = await run_logs.bill_entries(cfg, platform)
        missing = answered_keys - {checks.idempotency_key(e) for e in entries}
        if not missing or time.monotonic() >= give_up_at:
            return entries
        await asyncio.sleep(BILL_POLL_INTERVAL)


def _check_all(
    cfg: workload.Workload,
    outcomes: list[outcome.Outcome],
    entries: list[ledger.BillEntry],
    runs: list[checks.ServiceRun],
) -> list[checks.Verdict]:
    tags = {o.plan.key: callers.make_tag(o.plan) for o in outcomes}
    non_idempotent_tags = {
        tags[o.plan.key]
        for o in outcomes
        if _is_non_idempotent(cfg.classes[o.plan.request_class])
    }
    non_idempotent_runs = [
        run for run in runs if run.tag in non_idempotent_tags
    ]
    return [
        checks.check_answers(outcomes),
        checks.check_single_runs(non_idempotent_runs),
        checks.check_not_run(
            [o for o in outcomes if tags[o.plan.key] in non_idempotent_tags],
            non_idempotent_runs,
            tags,
        ),
        checks.check_bills(outcomes, entries),
        checks.check_sessions(outcomes),
        checks.check_outcomes(outcomes),
    ]


def _is_non_idempotent(
    cfg: workload.ChatClass | workload.ServiceClass,
) -> bool:
    return isinstance(cfg, workload.ServiceClass) and cfg.once
