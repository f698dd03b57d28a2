"""Tests of nodes that have lost their links to the servers."""

import asyncio

from limpetwalk_bench.hub import server

from . import links

ALL_EVENTS = b"".join(server.event(number) for number in range(1, 6))


class CutOffNode(links.LinksCase):
    """A node has lost its links to all servers; its peer has not."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # Each node has heard the other.
        await asyncio.sleep(0.5)

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
        self.assertEqual(3 * count, self.executed)

    async def test_requests_are_served_while_connections_are_refused(
        self,
    ) -> None:
        self.links[0].cut(links.Fault.REFUSE)
        await self.send_all()

    async def test_requests_are_served_while_connections_hang(self) -> None:
        self.links[0].cut(links.Fault.HANG)
        await self.send_all()
