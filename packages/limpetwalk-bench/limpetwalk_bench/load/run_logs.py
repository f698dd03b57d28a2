"""Reading of the service logs and the ledger that a run is checked by."""

import pathlib

import aiohttp
import yaml

from limpetwalk.ledger import base as ledger
from limpetwalk.ledger import reader
from limpetwalk.providers import factory
from limpetwalk.providers import settings

from . import checks
from . import workload


async def service_runs(
    site: workload.Site, http: aiohttp.ClientSession
) -> list[checks.ServiceRun]:
    """Return the executions in the effects logs of all plain services."""
    runs: list[checks.ServiceRun] = []
    for process in site.services.values():
        async with http.get(f"{process.url}/_runs") as resp:
            resp.raise_for_status()
            log = await resp.json()
        runs.extend(
            checks.ServiceRun(run["key"], run["attempt_id"])
            for run in log["runs"]
        )
    return runs


async def bill_entries(
    cfg: workload.Workload, platform: factory.Platform
) -> list[ledger.BillEntry]:
    """Return every entry that the ledger holds for the workload's callers.

    Duplicates are kept, since a second entry for a request is a violation.
    """
    ledger_reader = reader.LedgerReader(platform.table, cfg.ledger_partitions)
    return [
        entry
        async for entry in ledger_reader.raw_entries()
        if entry.workspace in cfg.callers
    ]


async def open_platform(site: workload.Site) -> factory.Platform:
    """Open the platform services named in the settings of limpetctl."""
    settings_yaml = pathlib.Path(site.ctl_settings).read_text("utf-8")
    return await factory.open_platform(
        settings.PlatformSettings.model_validate(
            yaml.safe_load(settings_yaml)["platform"]
        )
    )
