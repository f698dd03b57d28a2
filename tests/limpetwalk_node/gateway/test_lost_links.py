"""Tests of nodes that have lost their links to the servers."""

import asyncio
import json
from typing import Any

from aiohttp import web

from limpetwalk.gateway import server_links
from limpetwalk_bench.hub import server
from limpetwalk_bench.hub import site
from limpetwalk_node.gateway import dispatch

from . import links

ALL_EVENTS = b"".join(server.event(number) for number in range(1, 6))


class CutOffNode(links.LinksCase):
    """A node has lost its links to all servers; its peer has not."""

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


class BrokenAnswers(links.LinksCase):
    """Answers break off while connections of the node are refused."""

    async def break_off(self, cut_off: bool = False) -> None:
        """Send a request whose answer breaks off, and wait for the check.

        :param cut_off: whether the node finds out at once.
        """
        node_links = self.nodes[0].gateway.links

        async def end(req: web.Request) -> None:
            self.links[0].cut(links.Fault.REFUSE)
            for server_id in self.services if cut_off else ():
                node_links.record_failed(server_id)
                node_links.record_lost(server_id)
            assert req.transport is not None
            req.transport.abort()

        for each in self.site.servers.values():
            each.behaviour = end
        async with self.nodes[0].request("POST", "/once/x", data=b"") as resp:
            self.assertEqual(502, resp.status)
        await asyncio.sleep(0.5)

    @property
    def suspected(self) -> list[dict[str, Any]]:
        return self.nodes[0].lines.events("request.suspected")

    async def test_server_that_a_peer_reaches_has_not_crashed(self) -> None:
        await self.break_off()
        self.assertEqual([], self.suspected)

    async def test_server_that_no_peer_reaches_has_crashed(self) -> None:
        self.links[1].cut(links.Fault.REFUSE)
        self.nodes[1].gateway.links.record_connected("e-1")
        await self.break_off()
        self.assertEqual(1, len(self.suspected))

    async def test_cut_off_node_without_peers_reports_no_crash(self) -> None:
        self.nodes[1].gateway.tunnels.closing = True
        await self.break_off(cut_off=True)
        self.assertEqual([], self.suspected)

    async def failures(self) -> int:
        """Return the failures that count against the servers' version."""
        await asyncio.sleep(2 * dispatch.LINK_NEWS_DELAY)
        tallies = self.nodes[0].gateway.dispatcher.version_tallies
        report = json.loads(tallies.report_json(site.PLAIN, "v2", ""))
        return int(report["base"]["failures"])

    async def test_lost_link_is_no_evidence_against_a_version(self) -> None:
        await self.break_off(cut_off=True)
        self.assertEqual(0, await self.failures())

    async def test_link_that_is_found_lost_later_is_no_evidence_either(
        self,
    ) -> None:
        await self.break_off()
        self.assertEqual(0, await self.failures())

    async def test_answer_that_a_server_broke_off_is_evidence(self) -> None:
        async def end(req: web.Request) -> None:
            assert req.transport is not None
            req.transport.abort()

        for each in self.site.servers.values():
            each.behaviour = end
        async with self.nodes[0].request("POST", "/once/x", data=b"") as resp:
            self.assertEqual(502, resp.status)
        self.assertEqual(1, await self.failures())
