"""Several gateways on one site, of which some lose links to servers."""

import asyncio
from collections.abc import Collection
import contextvars
import enum
import socket
from typing import Any
import unittest
from unittest import mock

from limpetwalk_bench.hub import server
from limpetwalk_bench.hub import site
from limpetwalk_node.gateway import node

from . import harness

_current: contextvars.ContextVar["Links | None"] = contextvars.ContextVar(
    "links", default=None
)
_create_connection = asyncio.BaseEventLoop.create_connection


class Fault(enum.Enum):
    """What new connections to a server that is cut off do."""

    REFUSE = "refuse"
    HANG = "hang"


class Links:
    """Links of one node to the servers.

    :ivar attempts: ports of servers to which connections were opened.
    """

    def __init__(self, site_: site.Site) -> None:
        self._site = site_
        self._cut: frozenset[int] = frozenset()
        self._fault = Fault.REFUSE
        self.attempts: list[int] = []

    def cut(
        self, fault: Fault, server_ids: Collection[str] | None = None
    ) -> None:
        """Cut the node off from servers, from all by default."""
        self._fault = fault
        if server_ids is None:
            server_ids = self._site.ports
        self._cut = frozenset(self._site.ports[id_] for id_ in server_ids)

    def restore(self) -> None:
        """End the cut."""
        self._cut = frozenset()

    async def connect(self, port: int) -> None:
        """Delay or fail a new connection as the links do."""
        if port in self._site.ports.values():
            self.attempts.append(port)
        if port not in self._cut:
            return
        if self._fault is Fault.HANG:
            await asyncio.sleep(60)
        raise ConnectionRefusedError(111, "refused by the test")


async def _connect(
    self: Any, factory: Any, host: Any = None, port: Any = None, **kwargs: Any
) -> Any:
    links = _current.get()
    if links is not None:
        await links.connect(port)
    return await _create_connection(self, factory, host, port, **kwargs)


def free_port() -> int:
    """Return a port that is free for both TCP and UDP."""
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        tcp.bind(("127.0.0.1", 0))
        port = int(tcp.getsockname()[1])
        udp.bind(("127.0.0.1", port))
        return port


class LinksCase(unittest.IsolatedAsyncioTestCase):
    """Two gateways on the same site, each with links of its own."""

    services = {
        "e-1": site.ENGINE,
        "e-2": site.ENGINE,
        "p-1": site.PLAIN,
        "p-2": site.PLAIN,
    }
    names = ("node-1", "node-2")

    async def asyncSetUp(self) -> None:
        self.enterContext(
            mock.patch.object(
                asyncio.BaseEventLoop, "create_connection", _connect
            )
        )
        # All nodes of one process find the settings of the last one.
        self.enterContext(
            mock.patch.object(node, "SETTINGS_CHECK_INTERVAL", 3600.0)
        )
        self.site = site.Site()
        await self.site.start(self.services)
        self.addAsyncCleanup(self.site.stop)
        self.nodes: list[harness.RunningGateway] = []
        self.links: list[Links] = []
        for name in self.names:
            await self.add_node(name)
        for run in self.nodes:
            choice = run.gateway.peer_choice
            await run.until(choice.next_peer)

    async def add_node(self, name: str) -> harness.RunningGateway:
        """Start one more gateway."""
        run = harness.RunningGateway(self.site)
        links = Links(self.site)
        # Tasks of the gateway inherit the context in which it was started.
        token = _current.set(links)
        try:
            await run.start(name=name, peers_port=free_port())
        finally:
            _current.reset(token)
        self.addAsyncCleanup(run.stop)
        self.nodes.append(run)
        self.links.append(links)
        return run

    def server(self, server_id: str) -> server.Server:
        return self.site.servers[server_id]

    @property
    def executed(self) -> int:
        """Number of requests that servers executed."""
        return sum(len(each.executed) for each in self.site.servers.values())
