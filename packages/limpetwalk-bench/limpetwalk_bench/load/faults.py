"""Brings about the faults of a workload while it runs."""

import asyncio
import os
import pathlib
import signal
from typing import Any

import aiohttp
from loguru import logger

from . import workload

PLATFORM = "platform"


class FaultTable:
    """Runs the fault table of a workload.

    :param faults: faults in time.
    :param site: processes by name.
    :param http: client session for the control endpoints.
    """

    def __init__(
        self,
        faults: tuple[workload.Fault, ...],
        site: workload.Site,
        http: aiohttp.ClientSession,
    ) -> None:
        self._faults = faults
        self._site = site
        self._http = http
        self.applied: list[str] = []

    async def run(self) -> None:
        """Bring about every fault at its time, then return."""
        await asyncio.gather(*(self._apply(fault) for fault in self._faults))

    async def _apply(self, fault: workload.Fault) -> None:
        await asyncio.sleep(fault.at)
        process = self._process(fault.target)
        what = fault.signal or fault.fault
        logger.info("fault {} at {}", what, fault.target)
        self.applied.append(f"{fault.at:g} s: {what} at {fault.target}")
        if fault.signal:
            send_signal(process, fault.signal)
        else:
            await self._switch(process, fault, True)
        if fault.lasts is None:
            return
        await asyncio.sleep(fault.lasts)
        if fault.signal == "STOP":
            send_signal(process, "CONT")
        elif not fault.signal:
            await self._switch(process, fault, False)

    def _process(self, name: str) -> workload.SiteProcess:
        if name == PLATFORM:
            return self._site.platform
        for group in (
            self._site.nodes,
            self._site.engines,
            self._site.services,
        ):
            if name in group:
                return group[name]
        raise KeyError(f"the site has no process {name!r}")

    async def _switch(
        self, process: workload.SiteProcess, fault: workload.Fault, on: bool
    ) -> None:
        url = f"{process.url}/_control"
        body = _order(fault, on)
        async with self._http.post(url, json=body) as resp:
            resp.raise_for_status()


def _order(fault: workload.Fault, on: bool) -> dict[str, Any]:
    if fault.target != PLATFORM:
        return {"fault": fault.fault, "on": on, **fault.options}
    # A switch of the platform is off when it is zero or false.
    options = {
        name: value if on else type(value)()
        for name, value in fault.options.items()
    }
    return {"service": fault.fault, "faults": options}


def send_signal(process: workload.SiteProcess, name: str) -> None:
    """Send a signal to the process whose id its file holds."""
    pid = int(pathlib.Path(process.pid_file).read_text("ascii"))
    os.kill(pid, getattr(signal, f"SIG{name}"))
