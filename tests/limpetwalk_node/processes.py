"""A node and the stand-ins that it needs, each in a separate process."""

import asyncio
import hashlib
import json
import pathlib
import subprocess
import sys
import tempfile
from typing import Any
import urllib.request

import yaml

from limpetwalk import clock as clocks
from limpetwalk.conf import document
from limpetwalk.conf import head
from limpetwalk.ledger import reader
from limpetwalk.providers import factory
from limpetwalk.providers import settings as platform_settings

KEY = "key-of-bercvar"
OTHER_KEY = "key-of-navarrete"
HOST = "127.0.0.1"
TIMEOUT = 30
PAYMENTS = {"method": "POST", "path": "/payments", "idempotent": False}


class Process:
    """Process that prints its ports as a line of JSON once it is ready."""

    def __init__(self, module: str, folder: pathlib.Path, **settings) -> None:
        arguments = []
        if settings:
            path = folder / f"{settings['name']}.yaml"
            path.write_text(yaml.safe_dump(settings), "utf-8")
            arguments = [f"--settings={path}"]
        self._log = tempfile.TemporaryFile("w+")
        self.popen = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log,
            text=True,
        )

    def await_ready(self) -> dict[str, int]:
        assert self.popen.stdout is not None
        line = self.popen.stdout.readline()
        if not line:
            raise AssertionError(
                f"process ended before it was ready; its log: {self.log()}"
            )
        return json.loads(line)["ports"]

    def log(self) -> str:
        self._log.seek(0)
        return self._log.read()

    def wait(self) -> int:
        return self.popen.wait(TIMEOUT)

    def stop(self) -> None:
        if self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait(TIMEOUT)
        assert self.popen.stdout is not None
        self.popen.stdout.close()
        self._log.close()


class Site:
    """Stand-ins of the platform, a model engine and a plain service."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        quality = {
            "small:v1": {"*": 0.9, "hard": 0.1},
            "small:v2": {"*": 0.9},
            "large:v1": {"*": 0.95},
        }
        self.processes = [
            Process("limpetwalk_bench.providers", self.folder),
            Process(
                "limpetwalk_bench.engine",
                self.folder,
                name="engine-1",
                serves=sorted(quality),
                quality=quality,
                quality_spread=0.01,
                start_cold=False,
                time_scale=0.5,
            ),
            self._service("registry-1"),
            self._service("orders-1", answer_ms=1500, keep_outcomes=True),
        ]
        try:
            self._start()
        except BaseException:
            self.close()
            raise

    def _start(self) -> None:
        ports = [process.await_ready() for process in self.processes]
        self.platform_ports, self.engine_ports = ports[:2]
        self.service_ports, self.slow_ports = ports[2:]
        self.generation = 0
        self.apply()

    def _service(self, name: str, **fields: Any) -> Process:
        return Process(
            "limpetwalk_bench.service",
            self.folder,
            name=name,
            routes=[PAYMENTS],
            start_cold=False,
            **fields,
        )

    def close(self) -> None:
        for process in self.processes:
            process.stop()
        self._folder.cleanup()

    @property
    def platform(self) -> dict[str, Any]:
        urls = {
            name: f"http://{HOST}:{port}"
            for name, port in self.platform_ports.items()
        }
        return {
            "table": {"endpoint": urls["table"]},
            "objects": {"endpoint": urls["objects"]},
            "instances": {"url": f"{urls['instances']}/instances"},
            "ratings": {"url": f"{urls['ratings']}/rate"},
        }

    def start_node(self, name="node-1", **shutdown) -> "NodeProcess":
        listener = {"host": HOST, "port": 0}
        process = NodeProcess(
            "limpetwalk_node.main",
            self.folder,
            name=name,
            zone="z-1",
            region="r-1",
            callers=listener,
            operators=listener,
            peers=listener,
            platform=self.platform,
            shutdown={"balancer_wait": 0.2, "drain_timeout": 20.0} | shutdown,
        )
        process.ports = process.await_ready()
        return process

    def control(self, body: dict[str, Any]) -> None:
        """Change the faults or the stored data of the platform stand-in."""
        url = f"http://{HOST}:{self.platform_ports['control']}/_control"
        post(url, body)

    def apply(self, **changes: Any) -> None:
        """Make the first configuration, with changes, the accepted one."""
        data = document.Document.from_tree(
            self.document() | changes
        ).to_bytes()
        asyncio.run(self._accept(data))
        self.generation += 1

    async def _accept(self, data: bytes) -> None:
        platform = await self._open()
        try:
            heads = head.HeadStore(
                platform.table, platform.objects, clocks.SystemClock()
            )
            accepted = await heads.accept(data, self.generation, "test")
            accepted.unwrap()
        finally:
            await platform.close()

    async def _open(self) -> factory.Platform:
        return await factory.open_platform(
            platform_settings.PlatformSettings.model_validate(self.platform)
        )

    def bill_entries(self, workspace="bercvar"):
        """Return the ledger entries of a workspace."""
        return asyncio.run(self._read_bill_entries(workspace))

    async def _read_bill_entries(self, workspace):
        platform = await self._open()
        try:
            ledger = reader.LedgerReader(platform.table, 16)
            return [entry async for entry in ledger.entries(workspace)]
        finally:
            await platform.close()

    def document(self) -> dict[str, Any]:
        prices = {"input_price": 100, "output_price": 200}
        return {
            "zones": {"z-1": {"region": "r-1"}},
            "models": {
                "small": {
                    "versions": {"v1": {}, "v2": {}},
                    "default_version": "v1",
                    **prices,
                },
                "large": {
                    "versions": {"v1": {}},
                    "default_version": "v1",
                    **prices,
                },
            },
            "servers": {
                "engine-1": self._server(
                    self.engine_ports,
                    kind="engine",
                    protocol="openai",
                    serves={"small": ["v1", "v2"], "large": ["v1"]},
                ),
                "registry-1": self._server(
                    self.service_ports,
                    kind="service",
                    protocol="plain",
                    service="registry",
                ),
                "orders-1": self._server(
                    self.slow_ports,
                    kind="service",
                    protocol="plain",
                    service="orders",
                ),
            },
            "services": {
                name: {"timeout": 8, "routes": [PAYMENTS]}
                for name in ("registry", "orders")
            },
            "cascades": {
                "assistant": {
                    "policy": "fixed",
                    "models": ["small", "large"],
                    "target": 0.7,
                },
                "strong": {
                    "policy": "always_strong",
                    "models": ["large"],
                    "target": 0.7,
                },
            },
            "workspaces": {
                "bercvar": workspace(KEY, ["small", "large"]),
                "navarrete": workspace(OTHER_KEY, ["small"]),
            },
            "session_keys": {"k1": {"secret": "s" * 32, "primary": True}},
        }

    def _server(self, ports: dict[str, int], **fields: Any) -> dict[str, Any]:
        port = next(port for name, port in ports.items() if name != "control")
        return {
            "address": f"{HOST}:{port}",
            "zone": "z-1",
            "concurrency": 16,
            "warmup": {"concurrency": 16, "duration": 1},
            **fields,
        }


class NodeProcess(Process):
    """Process of an entry node; ``ports`` are those of its listeners."""

    ports: dict[str, int]

    @property
    def url(self) -> str:
        return f"http://{HOST}:{self.ports['callers']}"

    @property
    def operators(self) -> str:
        return f"http://{HOST}:{self.ports['operators']}"


def workspace(key: str, models: list[str]) -> dict[str, Any]:
    return {
        "key_digests": [hashlib.sha256(key.encode()).hexdigest()],
        "cascades": ["assistant", "strong"],
        "models": models,
        "services": ["registry", "orders"],
        "rate": 1000,
        "concurrency": 100,
        "priority": 1,
    }


def post(url: str, body: dict[str, Any]) -> None:
    req = urllib.request.Request(
        url,
        data=json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(req, timeout=TIMEOUT) as resp:
        resp.read()
