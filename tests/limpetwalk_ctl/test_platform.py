"""Tests of limpetctl with the real clients and stand-ins of services."""

import asyncio
import io
import pathlib
import tempfile
from typing import Any
import unittest

import yaml

from limpetwalk.conf import head
from limpetwalk_bench.providers import faults
from limpetwalk_bench.providers import standin
from limpetwalk_ctl import exits
from limpetwalk_ctl import main

from . import ctl_runner

Name = faults.ServiceName
Switches = faults.Switches
Code = exits.ExitCode

# Service, its faults, exit code of apply, number of generations afterwards.
FAULTS = [
    (Name.TABLE, Switches(down=True), Code.STORE_UNAVAILABLE, 0),
    (Name.TABLE, Switches(refuse=1.0), Code.STORE_UNAVAILABLE, 0),
    (Name.TABLE, Switches(malformed=1.0), Code.STORE_UNAVAILABLE, 0),
    (Name.TABLE, Switches(slow=1.0), Code.STORE_UNAVAILABLE, 0),
    (Name.TABLE, Switches(apply_then_drop=1.0), Code.OK, 1),
    (Name.OBJECTS, Switches(down=True), Code.STORE_UNAVAILABLE, 0),
    (Name.OBJECTS, Switches(refuse=1.0), Code.STORE_UNAVAILABLE, 0),
    (Name.OBJECTS, Switches(malformed=1.0), Code.STORE_UNAVAILABLE, 0),
    (Name.OBJECTS, Switches(slow=1.0), Code.STORE_UNAVAILABLE, 0),
    (Name.OBJECTS, Switches(apply_then_drop=1.0), Code.OK, 1),
    (Name.INSTANCES, Switches(down=True), Code.NOT_SEEN_EVERYWHERE, 1),
    (Name.INSTANCES, Switches(malformed=1.0), Code.NOT_SEEN_EVERYWHERE, 1),
]


class PlatformFaultsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = pathlib.Path(folder.name, "ctl.yaml")

    async def start(self) -> standin.PlatformStandIns:
        """Start the stand-ins and write settings with their addresses."""
        services = standin.PlatformStandIns()
        await services.start()
        self.addAsyncCleanup(services.stop)
        platform = services.settings().model_dump(mode="json")
        platform["table"]["timeout"] = 0.3
        platform["objects"]["timeout"] = 0.3
        cfg: dict[str, Any] = {"platform": platform, "wait_timeout": 0.1}
        self.settings.write_text(yaml.safe_dump(cfg))
        return services

    async def run_ctl(self, *args: str) -> tuple[int, str, str]:
        """Run limpetctl.

        :returns: exit code, standard output and standard error.
        """
        out, err = io.StringIO(), io.StringIO()
        code = await asyncio.to_thread(
            main.main, ["--settings", str(self.settings), *args], out, err
        )
        return int(code), out.getvalue(), err.getvalue()

    async def test_each_fault(self) -> None:
        for name, switches, expected, generation in FAULTS:
            with self.subTest(service=name, faults=switches):
                services = await self.start()
                await services.set_faults(name, switches)
                code, out, err = await self.run_ctl(
                    "apply", ctl_runner.EXAMPLE, "--wait"
                )
                self.assertEqual(code, expected, out + err)
                generations = services.table.rows.query(head.HISTORY_PARTITION)
                self.assertEqual(len(generations), generation)
                await services.stop()
