"""Tests of shared load reports."""

import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk import metrics
from limpetwalk.backends import base as backends
from limpetwalk.conf import snapshot
from limpetwalk.routing import replicas
from limpetwalk_node.servers import load_reporter
from tests.limpetwalk.peers import fakes

ZONES = {"a": "z1", "b": "z1", "c": "z2"}
SERVERS = {f"s{n}": ("z1", "z2", "z3")[n % 3] for n in range(12)}


class FakeClient:
    """Client that returns a load and counts the reads."""

    def __init__(self):
        self.reads = 0

    async def fetch_load(self):
        self.reads += 1
        return backends.LoadReport("boot", 3, 1, 20.0, 0.0)

    async def close(self):
        pass


def config():
    servers = {
        name: snapshot.Server(
            name=name,
            kind=snapshot.ServerKind.ENGINE,
            protocol="openai",
            address="127.0.0.1:1",
            zone=zone,
            state=snapshot.PlacementState.IN,
            serves=frozenset(),
            service="",
            concurrency=8,
            warmup=snapshot.WarmUp(1, 1.0),
            fencing=True,
        )
        for name, zone in SERVERS.items()
    }
    return snapshot.AppliedSnapshot(
        1,
        snapshot.Snapshot(
            digest="d",
            models={},
            servers=servers,
            cascades={},
            services={},
            workspaces={},
            rollouts={},
            zones={},
            session_keys=(),
            tuning=snapshot.Tuning(),
        ),
    )


class Node:
    """Hub, replicas and load reporter of one node."""

    def __init__(self, name, instances):
        applied = config()
        clock = clocks.SystemClock()
        self.hub = fakes.make_hub(name, instances, ZONES[name])
        self.metrics = metrics.Metrics()
        self.directory = replicas.Directory(
            lambda: applied,
            clock,
            random.Random(name),
            factory=lambda server, tuning: FakeClient(),
        )
        self.reporter = load_reporter.LoadReporter(
            self.hub,
            self.directory,
            lambda: True,
            clock,
            random.Random(name),
            self.metrics,
            lambda replica, load: replica.apply_load_report(
                load, clock.monotonic()
            ),
        )

    def servers_read(self):
        """Return the names of the servers whose load this node has read."""
        return {
            name
            for name, replica in self.directory.current().by_name.items()
            if replica.client.reads
        }

    def servers_with_fresh_load(self):
        """Return the names of the servers whose load is fresh."""
        now = clocks.SystemClock().monotonic()
        return {
            name
            for name, replica in self.directory.current().by_name.items()
            if replica.is_fresh(now)
        }


class LoadReportsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        instances = fakes.FakeInstances()
        self.nodes = {}
        for name in ZONES:
            node = Node(name, instances)
            self.nodes[name] = node
            await node.hub.start()
            instances.add(node.hub)
        await fakes.until(
            lambda: all(
                len(node.hub.live()) == 2 for node in self.nodes.values()
            )
        )

    async def asyncTearDown(self):
        for node in self.nodes.values():
            await node.reporter.stop()
            await node.hub.stop()

    async def test_each_server_is_read_by_one_node_and_known_to_all(self):
        for node in self.nodes.values():
            await node.reporter.start()
        await fakes.until(
            lambda: all(
                node.servers_with_fresh_load() == set(SERVERS)
                for node in self.nodes.values()
            )
        )
        read = [
            name
            for node in self.nodes.values()
            for name in node.servers_read()
        ]
        self.assertEqual(sorted(SERVERS), sorted(read))

    async def test_servers_are_read_in_their_zone(self):
        for name, node in self.nodes.items():
            for replica in node.reporter.assigned_replicas():
                zone = replica.server.zone
                if zone in ZONES.values():
                    self.assertEqual(ZONES[name], zone)

    async def test_the_servers_of_a_lost_node_go_to_the_others(self):
        self.nodes["a"].hub.leave()
        await fakes.until(
            lambda: all(
                peer.leaving
                for name in "bc"
                for peer in self.nodes[name].hub.live()
                if peer.name == "a"
            )
        )
        assigned = [
            replica.name
            for name in "bc"
            for replica in self.nodes[name].reporter.assigned_replicas()
        ]
        self.assertEqual(sorted(SERVERS), sorted(assigned))

    async def test_an_unchanged_load_is_not_published_again_at_once(self):
        node = self.nodes["a"]
        load = backends.LoadReport("boot", 10, 0, 20.0, 0.0)
        similar = backends.LoadReport("boot", 10, 1, 20.0, 0.0)
        changed = backends.LoadReport("boot", 10, 2, 20.0, 0.0)
        for report, sent in (
            (load, 1),
            (load, 1),
            (similar, 1),
            (changed, 2),
        ):
            node.reporter.publish("s0", report)
            self.assertEqual(
                sent,
                node.metrics.value(
                    "limpetwalk_load_reports_total", {"way": "sent"}
                ),
            )
