"""Tests of signals at each step of the program's start and stop."""

import asyncio
import itertools
import json
import os
import pathlib
import signal
import sys
import tempfile
import unittest

from limpetwalk_bench.hub import site
from limpetwalk_bench.site import ports
from limpetwalk_platform import settings

GRACE = 4.0
# Instants of a signal after the program's first statement, of a start that
# takes about a second, in seconds.
START_STEPS = (0.0, 0.1, 0.2, 0.35, 0.5, 0.7)
# Instants of a signal after SIGTERM, in seconds.
STOP_STEPS = (0.0, 0.1, 0.3, 0.6, 1.0)
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
# Number of processes that run at once.
PARALLEL = 4

_hosts = itertools.count(1)


class Process:
    """Process of the program, with its log."""

    def __init__(self, folder: pathlib.Path, store_port: int) -> None:
        number = next(_hosts)
        host = ports.own_host(number)
        self._path = folder / f"node-{number}.toml"
        callers, readiness, peers = ports.free_ports(3, host)
        self._path.write_text(
            site.settings_text(
                f"node-{number}",
                store_port,
                GRACE,
                host,
                callers,
                readiness,
                peers,
            )
        )
        self._listen = f"{host}:{callers}"
        self.output = b""

    async def start(self) -> None:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limpetwalk_node.gateway",
            f"--listen={self._listen}",
            "--adapter=limpetwalk_platform.adapter",
            "--platform=franchise-hub",
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, settings.PATH_VARIABLE: str(self._path)},
        )
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self._process.stdout is not None
        while data := await self._process.stdout.read(4096):
            self.output += data

    async def began(self) -> None:
        """Wait until the program, not only its interpreter, has started."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status")
        async with asyncio.timeout(15):
            while True:
                fields = dict(
                    line.split(":\t", 1)
                    for line in status.read_text().splitlines()
                )
                if int(fields["SigBlk"], 16) & 1 << signal.SIGTERM - 1:
                    return
                await asyncio.sleep(0.005)

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def logged(self, event: str) -> None:
        """Wait for a line of the log, or the end of the process."""
        async with asyncio.timeout(15):
            while event.encode() not in self.output:
                if self._process.returncode is not None:
                    return
                await asyncio.sleep(0.02)

    async def end(self) -> int:
        """Wait until the process ends; return its exit code."""
        async with asyncio.timeout(15):
            code = await self._process.wait()
            await self._reading
        return code


class EachStep(unittest.IsolatedAsyncioTestCase):
    """A signal comes at some moment of the start or of the stop."""

    async def asyncSetUp(self) -> None:
        self.site = site.Site()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start({"p-1": site.PLAIN})
        self.folder = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory())
        )
        self.slots = asyncio.Semaphore(PARALLEL)

    async def signal_start(self, number: signal.Signals, at: float) -> Process:
        """Signal a process during its start, and end it."""
        async with self.slots:
            process = Process(self.folder, self.site.store_port)
            await process.start()
            await process.began()
            await asyncio.sleep(at)
            process.send(number)
            await process.logged('"node.started"')
            if number is signal.SIGHUP:
                await process.logged('"settings.reloaded"')
                process.send(signal.SIGTERM)
            self.assertEqual(0, await process.end(), (number, at))
            return process

    async def signal_stop(self, number: signal.Signals, after: float) -> None:
        """Signal a process that stops."""
        async with self.slots:
            process = Process(self.folder, self.site.store_port)
            await process.start()
            await process.logged('"node.started"')
            process.send(signal.SIGTERM)
            await asyncio.sleep(after)
            process.send(number)
            self.assertEqual(0, await process.end(), (number, after))
            self.assertIn(b'"node.stopped"', process.output)

    async def test_signal_during_the_start_waits(self) -> None:
        cases = list(itertools.product(SIGNALS, START_STEPS))
        processes = await asyncio.gather(
            *(self.signal_start(number, at) for number, at in cases)
        )
        for (number, at), process in zip(cases, processes, strict=True):
            with self.subTest(number=number, at=at):
                self.assertIn(b'"node.stopped"', process.output)
                reloaded = b'"settings.reloaded"' in process.output
                self.assertEqual(number is signal.SIGHUP, reloaded)

    async def test_stop_counts_the_time_for_which_its_signal_waited(
        self,
    ) -> None:
        # A signal at the first statement waits for the imports.
        for number, at, waits in (
            (signal.SIGTERM, 0.0, True),
            (signal.SIGINT, 0.0, True),
            (signal.SIGHUP, 0.0, False),
        ):
            process = await self.signal_start(number, at)
            (line,) = (
                json.loads(line)
                for line in process.output.splitlines()
                if b'"node.stopping"' in line
            )
            with self.subTest(number=number):
                self.assertEqual(waits, line["waited_s"] > 0.1)
                self.assertLess(line["waited_s"], 10.0)

    async def test_signal_during_the_stop_changes_nothing(self) -> None:
        await asyncio.gather(
            *(
                self.signal_stop(number, after)
                for number, after in itertools.product(SIGNALS, STOP_STEPS)
            )
        )
