"""Entry nodes as processes, on loopback addresses of their own."""

import asyncio
import os
import pathlib
import signal
import sys

from ..hub import site
from ..site import ports
from . import proxy

PROGRAM = (
    "-m",
    "limpetwalk_node.gateway",
    "--adapter=limpetwalk_platform.adapter",
    "--platform=franchise-hub",
)
# Time between the order to stop and the kill, seconds.
GRACE = 4.0
# Pause before a process that has ended starts again, seconds.
RESTART_PAUSE = 0.3


class Node:
    """Entry node that is started again whenever it ends.

    :param host: loopback address of its own; the port of the metrics page is
        the same on all nodes.
    :param folder: where its settings and its log go.
    """

    def __init__(self, name: str, host: str, folder: pathlib.Path) -> None:
        self.name = name
        self.host = host
        self.callers, self.readiness, self._peers = ports.free_ports(3, host)
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._task: asyncio.Task[None] | None = None
        self.starts = 0

    def start(self, store: proxy.Proxy) -> None:
        """Start the process, and again each time that it ends."""
        self._settings.write_text(
            site.settings_text(
                self.name,
                store.port,
                GRACE,
                self.host,
                self.callers,
                self.readiness,
                self._peers,
            )
        )
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Kill the process."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def terminate(self) -> None:
        """Stop the process as the platform does."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE):
                await process.wait()
        except TimeoutError:
            if process.returncode is None:
                process.kill()

    async def _run(self) -> None:
        env = {**os.environ, "LIMPETWALK_CONFIG": str(self._settings)}
        while True:
            with self._log.open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    *PROGRAM,
                    f"--listen={self.host}:{self.callers}",
                    stdout=log,
                    stderr=log,
                    env=env,
                )
            self.starts += 1
            await self._process.wait()
            await asyncio.sleep(RESTART_PAUSE)
