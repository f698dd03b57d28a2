"""Runs a gateway in the test process, with simulated platform services."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import tempfile
from typing import Any
import unittest
from unittest import mock

import aiohttp
from loguru import logger

from limpetwalk import metrics as metrics_
from limpetwalk_bench.hub import server
from limpetwalk_bench.hub import site
from limpetwalk_node.gateway import events
from limpetwalk_node.gateway import logs
from limpetwalk_node.gateway import node
from limpetwalk_platform import adapter
from limpetwalk_platform import settings

GRACE = 3
# Time after which a wait for a state fails, seconds; no bound of the product.
WAIT_TIMEOUT = 30.0
# Time that a request has where a test waits for a state, milliseconds.
LONG_TIMEOUT_MS = 20_000


class Lines:
    """Writer that stores the lines of the log."""

    def __init__(self) -> None:
        self.dropped = 0
        self.lines: list[dict[str, Any]] = []

    def write(self, line: str) -> None:
        """Store a line."""
        self.lines.append(json.loads(line))

    def flush(self, timeout: float) -> None:
        """Return at once, since lines are stored when they are written."""

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the stored lines of one kind of event."""
        return [line for line in self.lines if line["event"] == name]


def journal(lines: Lines) -> logs.Journal:
    """Return a journal that stores its events without loguru."""

    class StoredJournal(logs.Journal):
        def emit(self, event: events.Event) -> None:
            lines.lines.append(
                {"event": event.name, **dataclasses.asdict(event)}
            )

    return StoredJournal("node-1", lines, metrics_.Metrics())


class RunningGateway:
    """Gateway with simulated platform services and a client."""

    def __init__(self, shared_site: site.Site | None = None) -> None:
        self.site = shared_site or site.Site()
        self._owns_site = shared_site is None
        self.lines = Lines()
        self.metrics = metrics_.Metrics()
        self.timeout_ms = 2000
        self._stack = contextlib.AsyncExitStack()

    async def start(
        self,
        services: dict[str, str] | None = None,
        name: str = "node-1",
        peers_port: int = 0,
    ) -> None:
        """Start everything, and wait until the gateway is ready.

        :param services: service of each backend server, by its id.
        :param name: name of the node.
        :param peers_port: port for other nodes; 0 for any free port.
        """
        if self._owns_site:
            await self.site.start(
                services or {"e-1": site.ENGINE, "p-1": site.PLAIN}
            )
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / "node.toml"
        path.write_text(
            site.settings_text(
                name, self.site.store_port, GRACE, peers=peers_port
            )
        )
        self._stack.enter_context(
            mock.patch.dict(os.environ, {settings.PATH_VARIABLE: str(path)})
        )
        self._stack.enter_context(
            mock.patch.object(settings, "METRICS_PORT", 0)
        )
        if self._owns_site:
            node_journal = logs.Journal(name, self.lines, self.metrics)
            logger.remove()
            self._stack.enter_context(logs.send_lines_to(self.lines.write))
        else:
            # loguru's sinks would get the lines of all gateways.
            node_journal = journal(self.lines)
        self.gateway = node.Gateway(
            platform=adapter.Adapter(),
            journal=node_journal,
            metrics=self.metrics,
        )
        await self.gateway.start()
        self.client = aiohttp.ClientSession()
        await self.until(lambda: self.gateway.cluster_state.ready)

    async def stop(self) -> None:
        """Stop everything."""
        await self.client.close()
        await self.gateway.stop()
        if self._owns_site:
            await self.site.stop()
        await self._stack.aclose()

    async def until(self, condition: Any) -> None:
        """Wait until a condition is true."""
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not condition():
                await asyncio.sleep(0.01)

    async def extend_timeouts(self) -> None:
        """Give requests so much time that their deadlines decide nothing."""
        config = site.config_row(version=2)
        for route in config["routes"]:
            route["timeout_ms"] = LONG_TIMEOUT_MS
        await self.site.store.put("op", "config", config)
        state = self.gateway.cluster_state
        await self.until(lambda: state.catalog.version == 2)
        self.timeout_ms = LONG_TIMEOUT_MS

    def url(self, path: str) -> str:
        """Return the URL of a path of the callers' interface."""
        host, port = self.gateway.addresses["callers"]
        return f"http://{host}:{port}{path}"

    def request(self, method: str, path: str, **kwargs: Any) -> Any:
        """Send a request as a caller; a header of None is left out."""
        headers = {
            **site.request_headers("a-1", self.timeout_ms),
            **kwargs.pop("headers", {}),
        }
        sent_headers = {k: v for k, v in headers.items() if v is not None}
        return self.client.request(
            method, self.url(path), headers=sent_headers, **kwargs
        )

    def stream(self, path: str = "/stream/x", **headers: str) -> Any:
        """Send a request for a stream as a caller."""
        stream_headers = {
            **site.STREAM_HEADERS,
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        return self.request(
            "POST", path, headers=stream_headers, data=b"prompt"
        )


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    """Gateway with one engine and one plain service."""

    services = {"e-1": site.ENGINE, "p-1": site.PLAIN}

    async def asyncSetUp(self) -> None:
        self.run_ = RunningGateway()
        await self.run_.start(self.services)
        self.addAsyncCleanup(self.run_.stop)

    def server(self, server_id: str) -> server.Server:
        return self.run_.site.servers[server_id]
