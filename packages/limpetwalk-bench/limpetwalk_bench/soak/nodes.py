"""Entry nodes as processes, each on its own loopback address."""

import asyncio
from collections.abc import Mapping
import json
import os
import pathlib
import resource
import signal
import sys

import aiohttp

from ..hub import site
from ..site import ports
from . import node_process
from . import proxy

PROGRAM = (
    "-m",
    "limpetwalk_bench.soak.node_process",
    "--adapter=limpetwalk_platform.adapter",
    "--platform=franchise-hub",
)
# Time from SIGTERM to SIGKILL, in seconds.
GRACE = 4.0
# Delay before a process that has ended is started again, in seconds.
RESTART_DELAY = 0.3
BYTES_PER_KIB = 1024


class Node:
    """Entry node process that is restarted whenever it ends.

    :param host: loopback address that no other node uses, since the port of
        the metrics page is the same on all nodes.
    :param folder: folder for its settings file and its log.
    :ivar build: folders from which its next process imports the program, empty
        for the installed one.
    """

    def __init__(self, name: str, host: str, folder: pathlib.Path) -> None:
        self.name = name
        self.host = host
        self.caller_port, self.readiness_port, self._peer_port = (
            ports.free_ports(3, host)
        )
        self._settings_path = folder / f"{name}.toml"
        self._log_path = folder / f"{name}.log"
        self._server_paths: dict[str, str] = {}
        self._process: asyncio.subprocess.Process | None = None
        self._task: asyncio.Task[None] | None = None
        self.start_count = 0
        self.build: tuple[str, ...] = ()

    def start(
        self,
        store: proxy.Proxy,
        server_paths: Mapping[str, str] | None = None,
        limits: Mapping[str, float] | None = None,
    ) -> None:
        """Write the settings, start the process and keep restarting it.

        :param store: proxy on the path from the node to the store.
        :param server_paths: address on the path from the node to a server, by
            the address that the server announces; others are used as they
            are.
        :param limits: limits of the process, by the names of the settings.
        """
        self._server_paths = dict(server_paths or {})
        self._settings_path.write_text(
            site.settings_text(
                self.name,
                store.port,
                GRACE,
                self.host,
                self.caller_port,
                self.readiness_port,
                self._peer_port,
                limits,
            )
        )
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Kill the process and stop restarting it."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    @property
    def resident_bytes(self) -> int:
        """Memory that the process occupies, in bytes; 0 when it has ended."""
        if self._process is None or self._process.returncode is not None:
            return 0
        statm = pathlib.Path(f"/proc/{self._process.pid}/statm")
        return int(statm.read_text().split()[1]) * resource.getpagesize()

    @property
    def peak_bytes(self) -> int:
        """Largest memory that the process has occupied, in bytes.

        :raises OSError: when the process has ended.
        """
        text = (self._proc / "status").read_text()
        (line,) = [
            line for line in text.splitlines() if line.startswith("VmHWM:")
        ]
        return int(line.split()[1]) * BYTES_PER_KIB

    @property
    def open_descriptors(self) -> int:
        """Number of open descriptors of the process.

        :raises OSError: when the process has ended.
        """
        return len(list((self._proc / "fd").iterdir()))

    @property
    def _proc(self) -> pathlib.Path:
        assert self._process is not None
        return pathlib.Path(f"/proc/{self._process.pid}")

    async def is_ready(self, http: aiohttp.ClientSession) -> bool:
        """Return whether the node's readiness check succeeds."""
        url = f"http://{self.host}:{self.readiness_port}/v1/readyz"
        try:
            async with http.get(url) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def terminate(self) -> None:
        """Stop the process as the platform does: SIGTERM, then SIGKILL."""
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
        env = {
            **os.environ,
            "LIMPETWALK_CONFIG": str(self._settings_path),
            node_process.PATHS_VARIABLE: json.dumps(self._server_paths),
        }
        while True:
            # Those of the soak itself, if any, are for a scratch copy.
            env["PYTHONPATH"] = os.pathsep.join(self.build) or os.environ.get(
                "PYTHONPATH", ""
            )
            with self._log_path.open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    *PROGRAM,
                    f"--listen={self.host}:{self.caller_port}",
                    stdout=log,
                    stderr=log,
                    env=env,
                )
            self.start_count += 1
            await self._process.wait()
            await asyncio.sleep(RESTART_DELAY)
