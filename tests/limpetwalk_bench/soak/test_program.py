"""The soak as a program."""

import asyncio
import pathlib
import signal
import sys
import unittest

TIMEOUT = 30.0
# Number of node processes of a soak.
NODES = 3


def children(pid: int) -> set[int]:
    """Return the processes that a process has started."""
    found = set()
    for stat in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            found.add(int(stat.parent.name))
    return found


class Interrupted(unittest.IsolatedAsyncioTestCase):
    """A soak that is ended from outside."""

    async def test_no_node_outlives_it(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number=number):
                nodes = await self._interrupt(number)
                running = {
                    pid
                    for pid in nodes
                    if pathlib.Path(f"/proc/{pid}").exists()
                }
                self.assertEqual(set(), running)

    async def _interrupt(self, number: signal.Signals) -> set[int]:
        """Interrupt a soak; return the processes that it had started."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limpetwalk_bench.soak",
            "--seeds=1",
            "--seconds=60",
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            async with asyncio.timeout(TIMEOUT):
                while len(nodes := children(process.pid)) < NODES:
                    await asyncio.sleep(0.05)
                process.send_signal(number)
                self.assertNotEqual(0, await process.wait())
            return nodes
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
