"""Tests of load reports between nodes."""

import asyncio
import random
import socket
import unittest
from unittest import mock

from limpetwalk import clock as clocks
from limpetwalk.gateway import brittle_servers
from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import server_limits
from limpetwalk.gateway import server_load
from limpetwalk.gateway import server_speed
from limpetwalk.gateway import store_watch
from limpetwalk_node.gateway import load_broadcast

from . import harness


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
