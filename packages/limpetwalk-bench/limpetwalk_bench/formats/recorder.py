"""A small site that lets nodes write each kind of row and datagram."""

import asyncio
import base64
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
import pathlib
import random
from typing import Any

import aiohttp
from aiohttp import web

from ..hub import server
from ..hub import site
from ..site import ports
from ..soak import callers
from ..soak import nodes
from ..soak import proxy

NODE_COUNT = 2
CALLER_COUNT = 6
# Longest time for each step, in seconds.
STEP_TIMEOUT = 30.0
# Time in which all nodes read a change, in seconds.
READ_TIME = 2.0
# Time for a new version to be rolled out, in seconds.
ROLLOUT_PERIOD = 6.0
# Rows that the nodes write, by their tables in the store.
SHARED = "limpetwalk"
TABLES = (SHARED, "limpetwalk-work", "status")
# Row by which the recorder is sent datagrams.
OWN_ROW = "node/recorder"
MAX_DATAGRAMS = 8
# What a server says of itself, so that nodes tell each other.
STATEMENTS = {"Server-Limit": "50", "Server-Brittle": "5"}


@dataclass(frozen=True, slots=True)
class Recording:
    """What nodes of one build wrote.

    :param rows: contents of the last state of each row, by table and key.
    :param datagrams: some that one node sent to another one, as base64.
    """

    rows: dict[str, dict[str, str]]
    datagrams: list[str]


class _Receiver(asyncio.DatagramProtocol):
    """Keeps the longest datagrams that nodes send, of different lengths."""

    def __init__(self) -> None:
        self.longest: dict[int, bytes] = {}

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Keep a datagram."""
        self.longest[len(data)] = data
        if len(self.longest) > MAX_DATAGRAMS:
            del self.longest[min(self.longest)]


class _Scene:
    """Nodes, stand-ins and callers of one recording.

    :param build: folders of the program, see ``builds``.
    """

    def __init__(self, build: tuple[str, ...], folder: pathlib.Path) -> None:
        self._build = build
        self._folder = folder
        self.site = site.Site()
        self.receiver = _Receiver()
        self.nodes: list[nodes.Node] = []
        self._written: dict[tuple[str, str], str] = {}

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start everything, and wait until the nodes are ready."""
        stack.push_async_callback(self.site.stop)
        await self.site.start(
            {
                "e-1": site.ENGINE,
                "e-2": site.ENGINE,
                "p-1": site.PLAIN,
                "p-2": site.PLAIN,
            }
        )
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self.receiver, local_addr=("127.0.0.1", 0)
        )
        stack.callback(transport.close)
        own = {
            "host": "127.0.0.1",
            "port": transport.get_extra_info("sockname")[1],
            "zone": "zone-a",
        }
        await self.site.store.put(SHARED, OWN_ROW, own)
        store = proxy.Proxy(self.site.store_port)
        await store.start()
        stack.push_async_callback(store.stop)
        for number in range(1, NODE_COUNT + 1):
            host = ports.own_host(number)
            node = nodes.Node(f"node-{number}", host, self._folder)
            node.build = self._build
            node.start(store)
            stack.push_async_callback(node.stop)
            self.nodes.append(node)
        async with (
            aiohttp.ClientSession() as http,
            asyncio.timeout(STEP_TIMEOUT),
        ):
            for node in self.nodes:
                while not await node.is_ready(http):
                    await asyncio.sleep(0.1)

    async def until(self, condition: Callable[[], Any]) -> None:
        """Keep the rows as they are written until a condition holds."""
        async with asyncio.timeout(STEP_TIMEOUT):
            while not condition():
                self._keep_rows()
                await asyncio.sleep(0.05)
        self._keep_rows()

    def has_row(self, prefix: str) -> bool:
        """Return whether a row that all nodes read was written."""
        return any(
            table == SHARED and key.startswith(prefix)
            for table, key in self._written
        )

    def recording(self) -> Recording:
        """Return what was written until now."""
        return Recording(
            {
                table: {
                    key: text
                    for (of, key), text in sorted(self._written.items())
                    if of == table and key != OWN_ROW
                }
                for table in TABLES
            },
            [
                base64.b64encode(data).decode()
                for _, data in sorted(self.receiver.longest.items())
            ],
        )

    def _keep_rows(self) -> None:
        for (table, key), row in self.site.store.rows.items():
            if table in TABLES and row.value:
                text = base64.b64decode(row.value).decode()
                if text:
                    self._written[table, key] = text


async def record(build: tuple[str, ...], folder: pathlib.Path) -> Recording:
    """Let nodes of a build write, and return what they wrote.

    :param build: folders of the program, empty for the installed one.
    :param folder: folder for settings and logs.
    :raises TimeoutError: when a row isn't written.
    """
    async with contextlib.AsyncExitStack() as stack:
        scene = _Scene(build, folder)
        await scene.start(stack)
        rng = random.Random(1)
        tasks = [
            asyncio.create_task(
                callers.Caller(f"c{number}", scene.nodes, rng, []).run()
            )
            for number in range(CALLER_COUNT)
        ]
        stack.callback(lambda: [task.cancel() for task in tasks])
        scene.site.servers["p-1"].extra_headers = STATEMENTS
        await _roll_out(scene)
        await _crash_engines(scene)
        await _restore_store(scene)
        return scene.recording()


async def _roll_out(scene: _Scene) -> None:
    """Roll a new version of the plain service out."""
    for number in (3, 4):
        await scene.site.add_server(f"p-{number}", site.PLAIN, version="v2")
    order = {"backend": site.PLAIN, "to": "v2", "period_s": ROLLOUT_PERIOD}
    await scene.site.store.put("op", f"rollout/{site.PLAIN}", order)
    status = f"rollout/{site.PLAIN}"
    await scene.until(
        lambda: (
            (scene.site.store.value("status", status) or {}).get("state")
            == "complete"
        )
    )


async def _crash_engines(scene: _Scene) -> None:
    """Crash both engines while they run requests of the same kind."""

    async def hang(req: web.Request) -> web.StreamResponse:
        await asyncio.Event().wait()
        raise AssertionError

    for name in ("e-1", "e-2"):
        engine = scene.site.servers[name]
        engine.behaviour = hang
        count = len(engine.received)
        await scene.until(_has_received_more(engine, count))
        await scene.site.crash_server(name)
    await scene.until(lambda: scene.has_row("crashed/e-2"))
    await scene.site.add_server("e-3", site.ENGINE)
    await scene.until(_has_received_more(scene.site.servers["e-3"], 5))
    with contextlib.suppress(TimeoutError):
        # Not all builds write answers that follow two crashes.
        async with asyncio.timeout(3.0):
            await scene.until(lambda: scene.has_row("answered/"))


async def _restore_store(scene: _Scene) -> None:
    """Restore the store from a copy that lacks a configuration."""
    store = scene.site.store
    copy = await store.put("op", "config", site.config_row(4))
    await asyncio.sleep(READ_TIME)
    await store.put("op", "config", site.config_row(7))
    await asyncio.sleep(READ_TIME)
    await store.restore(copy)
    await scene.until(lambda: scene.has_row("config/in_force"))


def _has_received_more(
    backend_server: server.Server, count: int
) -> Callable[[], bool]:
    return lambda: len(backend_server.received) > count
