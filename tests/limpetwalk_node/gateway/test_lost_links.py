"""Tests of nodes that have lost their links to the servers."""

import asyncio
import json
from typing import Any
from unittest import mock

from aiohttp import web

from limpetwalk.gateway import server_links
from limpetwalk_bench.hub import server
from limpetwalk_bench.hub import site
from limpetwalk_node.gateway import dispatch
from limpetwalk_node.gateway import node

from . import links

ALL_EVENTS = b"".join(server.event(number) for number in range(1, 6))


class CutOffNode(links.LinksCase):
    """A node has lost its links to all servers; its peer has not."""

    async def cut_off(self, fault: links.Fault) -> None:
        """Cut the first node off, and wait until it knows."""
        self.links[0].cut(fault)
        run = self.nodes[0]
        async with asyncio.timeout(5):
            while not run.gateway.links.cut_off:
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
        run = self.nodes[0]
        carrier = self.nodes[1].gateway.tunnels
        carrier.closing = True
        for _ in range(8):
            async with run.request("POST", "/again/x", data=b"") as resp:
                self.assertEqual(503, resp.status)
        carrier.closing = False
        self.assertEqual([], run.lines.events("server.resting"))
        await asyncio.sleep(server_links.AVOID_TIME)
        await self.send_all()

    async def test_links_are_used_again_soon_after_the_cut(self) -> None:
        await self.cut_off(links.Fault.HANG)
        self.links[0].restore()
        await asyncio.sleep(0.5)
        await self.send_all(1)
        await asyncio.sleep(server_links.RECOVERY_SPREAD)
        self.links[0].attempts.clear()
        await self.send_all(2)
        self.assertEqual(6, len(self.links[0].attempts))
        await self.nodes[0].until(
            lambda: self.nodes[1].gateway.tunnels.open_count == 0
        )

    async def test_few_direct_connections_are_tried_during_the_cut(
        self,
    ) -> None:
        await self.cut_off(links.Fault.REFUSE)
        self.links[0].attempts.clear()
        await self.send_all()
        self.assertLess(len(self.links[0].attempts), 5)

    async def test_link_to_one_server_is_lost(self) -> None:
        self.links[0].cut(links.Fault.HANG, ["e-1", "p-1"])
        await self.send_all()
        self.assertFalse(self.nodes[0].gateway.links.cut_off)
        self.assertEqual(15, self.executed)

    async def test_caller_that_leaves_ends_the_run_behind_a_peer(self) -> None:
        ended = asyncio.Event()

        async def wait(req: web.Request) -> None:
            try:
                await asyncio.sleep(30)
            finally:
                ended.set()

        await self.cut_off(links.Fault.REFUSE)
        self.server("e-1").behaviour = self.server("e-2").behaviour = wait
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3), self.nodes[0].stream() as resp:
                await resp.read()
        async with asyncio.timeout(0.5):
            await ended.wait()

    async def test_stopping_peer_finishes_what_it_carries(self) -> None:
        arrived = asyncio.Event()

        async def pause(req: web.Request) -> None:
            arrived.set()
            await asyncio.sleep(0.5)

        await self.cut_off(links.Fault.REFUSE)
        self.server("p-1").behaviour = self.server("p-2").behaviour = pause
        request = asyncio.create_task(self.send_once())
        carrier = self.nodes[1].gateway
        await arrived.wait()
        with mock.patch.object(node, "BALANCER_DELAY", 0.0):
            await carrier.drain()
        self.assertEqual(0, carrier.tunnels.open_count)
        self.assertEqual(200, await request)

    async def send_once(self) -> int:
        """Send a request that may not be repeated; return its status."""
        async with self.nodes[0].request("POST", "/once/x", data=b"") as resp:
            await resp.read()
            return resp.status

    async def test_request_whose_peer_is_killed_runs_once(self) -> None:
        async def pause(req: web.Request) -> None:
            self.nodes[1].gateway.tunnels.close()
            await asyncio.sleep(0.2)

        await self.cut_off(links.Fault.REFUSE)
        before = self.executed
        self.server("p-1").behaviour = self.server("p-2").behaviour = pause
        self.assertEqual(502, await self.send_once())
        self.assertEqual(1, self.executed - before)


class CutOffPeer(links.LinksCase):
    """Two of three nodes have lost their links."""

    names = ("node-1", "node-2", "node-3")

    async def test_peers_that_are_cut_off_too_are_passed_over(self) -> None:
        for node_links in self.links[:2]:
            node_links.cut(links.Fault.HANG)
        for _ in range(20):
            for run in self.nodes[:2]:
                async with run.request("POST", "/again/x", data=b"") as resp:
                    self.assertEqual(200, resp.status)


class AllServersDown(links.LinksCase):
    """No node reaches any server."""

    async def test_servers_that_nobody_reaches_are_backed_off(self) -> None:
        for node_links in self.links:
            node_links.cut(links.Fault.REFUSE)
        run = self.nodes[0]
        for _ in range(3):
            async with run.stream() as resp:
                self.assertEqual(503, resp.status)
            async with run.request("POST", "/again/x", data=b"") as resp:
                self.assertEqual(503, resp.status)
        backed_off = {
            line["server"] for line in run.lines.events("server.resting")
        }
        self.assertEqual(set(self.services), backed_off)
        self.assertFalse(run.gateway.links.cut_off)


class BrokenAnswers(links.LinksCase):
    """Answers break off while connections of the node are refused."""

    async def break_off(
        self, cut_off: bool = False, all_failed: bool = False
    ) -> None:
        """Send a request whose answer breaks off, and wait for the check.

        :param cut_off: whether the node finds out at once.
        :param all_failed: whether connections to all servers fail then.
        """
        node_links = self.nodes[0].gateway.links

        async def end(req: web.Request) -> None:
            self.links[0].cut(links.Fault.REFUSE)
            for server_id in self.services if cut_off or all_failed else ():
                node_links.record_failed(server_id)
                if cut_off:
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

    async def test_crash_while_all_servers_are_down_is_reported(self) -> None:
        self.links[1].cut(links.Fault.REFUSE)
        for server_id in self.services:
            self.nodes[1].gateway.links.record_failed(server_id)
        await self.break_off(all_failed=True)
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
