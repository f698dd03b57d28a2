"""Runner of limpetctl in the test's process, with in-process services."""

import asyncio
import io
import json
import pathlib
import tempfile
from typing import Any
import unittest

from aiohttp import web
import yaml

from limpetwalk.providers import base as platform
from limpetwalk.providers import factory
from limpetwalk.providers import memory
from limpetwalk_ctl import main

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLE = str(ROOT / "examples" / "bercvar")
SETTINGS: dict[str, Any] = {
    "platform": {
        "table": {"endpoint": "http://127.0.0.1:1"},
        "objects": {"endpoint": "http://127.0.0.1:1"},
        "instances": {"url": "http://127.0.0.1:1"},
    },
    "operator": "ilona",
    "wait_timeout": 0.2,
    "node_timeout": 5,
}


class FakeNode:
    """Operators' interface of an entry node.

    :param name: name of the node.
    :param zone: availability zone of the node.
    :param accepts: whether it accepts documents that are handed over.
    """

    def __init__(self, name: str, zone: str, accepts: bool = True) -> None:
        self.name = name
        self.zone = zone
        self.accepts = accepts
        self.generation: int | None = None
        self.data = b""
        self.silent = False
        self.port = 0
        self._runner: web.AppRunner | None = None

    async def start(self) -> platform.Instance:
        """Listen on a free port and return the node's instance."""
        app = web.Application()
        app.router.add_get("/status", self._status)
        app.router.add_put("/config/{generation}", self._put)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self.port)
        await site.start()
        port = self._runner.addresses[0][1]
        return platform.Instance(
            self.name,
            platform.InstanceKind.ENTRY,
            "127.0.0.1:1",
            self.zone,
            platform.InstanceState.LIVE,
            f"127.0.0.1:{port}",
        )

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _status(self, req: web.Request) -> web.Response:
        if self.silent:
            await asyncio.Event().wait()
        return web.json_response(
            {
                "name": self.name,
                "zone": self.zone,
                "generation": self.generation,
                "ready": self.generation is not None,
            }
        )

    async def _put(self, req: web.Request) -> web.Response:
        if self.silent:
            await asyncio.Event().wait()
        if not self.accepts:
            return web.Response(status=409)
        self.generation = int(req.match_info["generation"])
        self.data = await req.read()
        return web.json_response({"applied": True})


class CtlRunner:
    """Runs limpetctl against one in-process platform.

    :param folder: folder for the settings file.
    """

    def __init__(self, folder: str) -> None:
        self.table = memory.MemoryTable()
        self.objects = memory.MemoryObjects()
        self.instances = memory.MemoryInstances()
        self.nodes: list[FakeNode] = []
        self.settings = pathlib.Path(folder, "ctl.yaml")
        self.settings.write_text(yaml.safe_dump(SETTINGS))

    async def open(self, _cfg: object) -> factory.Platform:
        """Start the nodes and return the platform that all runs share."""
        node_instances = [await node.start() for node in self.nodes]
        self.instances.instances.extend(node_instances)
        opened_platform = factory.Platform(
            self.table, self.objects, self.instances, None
        )
        for node in self.nodes:
            opened_platform._stack.push_async_callback(node.stop)
        return opened_platform

    def run(self, *args: str) -> tuple[int, str, str]:
        """Run limpetctl.

        :returns: exit code, standard output and standard error.
        """
        self.instances.instances.clear()
        out, err = io.StringIO(), io.StringIO()
        code = main.main(
            ["--settings", str(self.settings), *args], out, err, self.open
        )
        return int(code), out.getvalue(), err.getvalue()

    def json(self, *args: str) -> tuple[int, Any]:
        """Run limpetctl with ``--json``.

        :returns: exit code and parsed JSON output.
        """
        code, out, _ = self.run("--json", *args)
        return code, json.loads(out)


class CtlTestCase(unittest.TestCase):
    """Test case with its own runner of limpetctl."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.ctl = CtlRunner(folder.name)
