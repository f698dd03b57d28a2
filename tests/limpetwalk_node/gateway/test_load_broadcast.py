"""Tests of load reports between nodes."""

import asyncio
import math
import pathlib
import random
import socket
import unittest
from unittest import mock

import capnp

from limpetwalk import clock as clocks
from limpetwalk.gateway import brittle_servers
from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import server_limits
from limpetwalk.gateway import server_load
from limpetwalk.gateway import server_speed
from limpetwalk.gateway import store_watch
from limpetwalk_node.gateway import load_broadcast

from . import harness

FORMER_SCHEMA = (
    pathlib.Path(__file__).parent / "recorded" / "before_speeds.capnp"
)


def free_port() -> int:
    """Return a free port for datagrams."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Node:
    """Node that reports what it knows of servers."""

    def __init__(self, name: str, peers: dict[str, peer_groups.Peer]) -> None:
        self.lines = harness.Lines()
        clock = clocks.SystemClock()
        names = frozenset(peers)
        self.loads = server_load.ServerLoads(clock)
        self.limits = server_limits.ServerLimits(
            name,
            lambda: names,
            self.loads,
            clock,
            lambda server: 1.0,
            random.Random(1),
            lambda server, rate: None,
        )
        self.brittle = brittle_servers.BrittleServers(
            lambda: names,
            self.loads,
            clock,
            lambda server: 1.0,
            random.Random(1),
            lambda server, rejections: None,
        )
        self.speeds = server_speed.LearntSpeeds(clock)
        self.broadcast = load_broadcast.LoadBroadcast(
            name,
            lambda: peers,
            self.loads,
            self.limits,
            self.brittle,
            list,
            store_watch.PeerNews(clock),
            mock.Mock(cut_off=False),
            mock.Mock(),
            harness.journal(self.lines),
            self.speeds,
        )
        self.address = peers[name].address


class Reports(unittest.IsolatedAsyncioTestCase):
    """Two nodes, of which one hears from servers."""

    async def asyncSetUp(self) -> None:
        peers = {
            name: peer_groups.Peer(("127.0.0.1", free_port()))
            for name in ("n0", "n1")
        }
        self.first, self.second = (Node(name, peers) for name in peers)
        for node in (self.first, self.second):
            task = asyncio.create_task(node.broadcast.run(node.address))
            self.addCleanup(task.cancel)

    async def test_statements_and_rejections_reach_other_nodes(self) -> None:
        self.first.brittle.record_answer("s0", "3")
        self.first.brittle.record_rejection("s0")
        self.first.limits.record_answer("s1", "2.5")
        async with asyncio.timeout(harness.WAIT_TIMEOUT):
            while self.second.brittle.value("s0") is None:
                await asyncio.sleep(0.01)
        self.assertEqual(3.0, self.second.brittle.value("s0"))
        self.assertEqual(1, self.second.loads.total_rejected("s0"))
        self.assertEqual(2.5, self.second.limits.value("s1"))
        self.assertIsNone(self.second.limits.value("s0"))

    async def test_speeds_reach_other_nodes(self) -> None:
        for server, seconds in (("s0", 0.05), ("s1", 0.5)) * 20:
            self.first.speeds.record(server, ("event", "s", "m"), seconds)
        async with asyncio.timeout(harness.WAIT_TIMEOUT):
            while self.second.speeds.time_factor("s1") == 1.0:
                await asyncio.sleep(0.01)
        self.assertGreater(self.second.speeds.time_factor("s1"), 1.5)
        self.assertLess(self.second.speeds.time_factor("s0"), 0.7)


class FormerBuild(unittest.IsolatedAsyncioTestCase):
    """Datagrams between this build and one that knows no speeds."""

    async def asyncSetUp(self) -> None:
        peers = {"n0": peer_groups.Peer(("127.0.0.1", free_port()))}
        self.node = Node("n0", peers)
        task = asyncio.create_task(self.node.broadcast.run(self.node.address))
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.01)
        self.former = capnp.load(str(FORMER_SCHEMA))

    async def test_former_build_reads_the_loads_of_this_one(self) -> None:
        for server, seconds in (("s0", 0.05), ("s1", 0.5)) * 20:
            self.node.speeds.record(server, ("event", "s", "m"), seconds)
        broadcast = self.node.broadcast
        with mock.patch.object(broadcast, "_send") as send:
            broadcast._send_report(
                "", {"s0": server_load.Load(1.5, 2)}, ["n0"]
            )
        data = send.call_args.args[0]
        with broadcast._schema.Told.from_bytes(data) as report:
            self.assertEqual(2, len(report.speeds))
        with self.former.Told.from_bytes(data) as report:
            (load,) = report.loads
            self.assertEqual(
                ("s0", 1500, 2), (load.server, load.waitingMs, load.active)
            )

    async def test_loads_of_the_former_build_are_read(self) -> None:
        known = {"s1": server_speed.SpeedSum(10.0, 10.0)}
        self.node.speeds.apply_report(server_load.Source("n1"), "n1", 1, known)
        report = self.former.Told.new_message(sender="n1", sequence=2)
        (load,) = report.init("loads", 1)
        load.server, load.active = "s0", 3
        self.node.broadcast.datagram_received(
            report.to_bytes(), ("127.0.0.1", 1)
        )
        self.assertEqual([], self.node.lines.events("error.unexpected"))
        loads = self.node.loads.total_loads(["s0"])
        self.assertEqual(3, loads["s0"].active)
        # A report without speeds says nothing of them.
        self.assertGreater(self.node.speeds.time_factor("s1"), 2.0)

    async def test_speeds_that_are_no_numbers_are_left_out(self) -> None:
        report = self.node.broadcast._schema.Told.new_message(
            sender="n1", sequence=2
        )
        entries = report.init("speeds", 3)
        for entry, (name, ratio, weight) in zip(
            entries,
            (
                ("s0", math.nan, 1.0),
                ("s1", 1.0, -5.0),
                ("s2", math.inf, math.inf),
            ),
            strict=True,
        ):
            entry.server, entry.logRatio, entry.weight = name, ratio, weight
        self.node.broadcast.datagram_received(
            report.to_bytes(), ("127.0.0.1", 1)
        )
        self.assertEqual([], self.node.lines.events("error.unexpected"))
        for name in ("s0", "s1", "s2"):
            self.assertEqual(1.0, self.node.speeds.time_factor(name))
