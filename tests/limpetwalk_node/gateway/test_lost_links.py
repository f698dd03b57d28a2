"""Tests of nodes that have lost their links to the servers."""

import asyncio

from limpetwalk.gateway import server_links
from limpetwalk_bench.hub import server

from . import links

ALL_EVENTS = b"".join(server.event(number) for number in range(1, 6))


class CutOffNode(links.LinksCase):
    """A node has lost its links to all servers; its peer has not."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # Each node has heard the other.
        await asyncio.sleep(0.5)

    async def cut_off(self, fault: links.Fault) -> None:
        """Cut the first node off, and wait until it knows."""
        self.links[0].cut(fault)
        node = self.nodes[0]
        async with asyncio.timeout(5):
            while not node.gateway.links.cut_off:
                await self.send_all(1)

    async def send_all(self, count: int = 5) -> None:
        """Send requests of each kind, and check that they are served."""
        cut_off = self.nodes[0]
        for number in range(count):
            async with cut_off.stream() as resp:
                self.assertEqual(200, resp.status)
                self.assertEqual(ALL_EVENTS, await resp.read())
            for path in ("/once/x", "/again/x"):
                body = f"{path} {number}".encode()
                async with cut_off.request("POST", path, data=body) as resp:
                    self.assertEqual(200, resp.status)
                    self.assertEqual(b"done " + body, await resp.read())

    async def test_requests_are_served_while_connections_are_refused(
        self,
    ) -> None:
        self.links[0].cut(links.Fault.REFUSE)
        await self.send_all()
        self.assertEqual(15, self.executed)

    async def test_requests_are_served_while_connections_hang(self) -> None:
        self.links[0].cut(links.Fault.HANG)
        await self.send_all()
        self.assertEqual(15, self.executed)

    async def test_servers_are_not_blamed_when_no_peer_has_room(self) -> None:
        await self.cut_off(links.Fault.REFUSE)
        node = self.nodes[0]
        carrier = self.nodes[1].gateway.tunnels
        carrier.closing = True
        for _ in range(8):
            async with node.request("POST", "/again/x", data=b"") as resp:
                self.assertEqual(503, resp.status)
        carrier.closing = False
        self.assertEqual([], node.lines.events("server.resting"))
        await asyncio.sleep(server_links.AVOID_TIME)
        await self.send_all()
