"""Injects the faults of a workload while it runs."""

import asyncio
import os
import pathlib
import signal
from typing import Any

import aiohttp
from loguru import logger

from . import workload

PLATFORM = "platform"


class FaultInjector:
    """Injects faults at the times that the workload sets.

    :param faults: faults with their times.
    :param site: site whose processes are affected.
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
        self.injected: list[str] = []

    async def run(self) -> None:
        """Inject every fault at its time and wait until all have ended."""
        await asyncio.gather(*(self._inject(fault) for fault in self._faults))

    async def _inject(self, fault: workload.Fault) -> None:
        await asyncio.sleep(fault.at)
        process = self._process(fault.target)
        fault_name = fault.signal or fault.fault
        logger.info("injecting fault {} into {}", fault_name, fault.target)
        self.injected.append(f"{fault.at:g} s: {fault_name} at {fault.target}")
        if fault.signal:
            send_signal(process, fault.signal)
        else:
            await self._set_fault(process, fault, True)
        if fault.lasts is None:
            return
        await asyncio.sleep(fault.lasts)
        if fault.signal == "STOP":
            send_signal(process, "CONT")
        elif not fault.signal:
            await self._set_fault(process, fault, False)

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
        raise KeyError(f"site file has no process named {name!r}")

    async def _set_fault(
        self, process: workload.SiteProcess, fault: workload.Fault, on: bool
    ) -> None:
        url = f"{process.url}/_control"
        body = _control_body(fault, on)
        async with self._http.post(url, json=body) as resp:
            resp.raise_for_status()


def _control_body(fault: workload.Fault, on: bool) -> dict[str, Any]:
    if fault.target != PLATFORM:
        return {"fault": fault.fault, "on": on, **fault.options}
    # Options of the platform's faults are off when they are zero or false.
    options = {
        name: value if on else type(value)()
        for name, value in fault.options.items()
    }
    return {"service": fault.fault, "faults": options}


def send_signal(process: workload.SiteProcess, name: str) -> None:
    """Send a signal to a process.

    :param process: process with the file that holds its id.
    :param name: name of the signal without ``SIG``.
    """
    pid = int(pathlib.Path(process.pid_file).read_text("ascii"))
    os.kill(pid, getattr(signal, f"SIG{name}"))
