"""Tests of crash reports shared by the nodes."""

import unittest

from limpetwalk import clock as clocks
from limpetwalk import metrics
from limpetwalk.providers import memory
from limpetwalk.routing import quarantine
from limpetwalk_node.servers import crash_sharing
from tests.limpetwalk.peers import fakes

LIMIT = 2


class Node:
    """Hub, quarantine and crash sharing of one node."""

    def __init__(self, name, case):
        self.hub = fakes.make_hub(name, case.instances)
        self.table = memory.MemoryTable(case.rows)
        self.quarantine = quarantine.Quarantine()
        self.metrics = metrics.Metrics()
        self.sharing = crash_sharing.CrashSharing(
            self.hub,
            self.quarantine,
            self.table,
            clocks.SystemClock(),
            self.metrics,
        )

    def reports(self, way):
        return self.metrics.value(
            "limpetwalk_crash_reports_total", {"way": way}
        )


class CrashSharingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.instances = fakes.FakeInstances()
        self.rows = memory.Rows()
        self.nodes = []
        for name in "ab":
            await self.start(name)
        await fakes.until(
            lambda: all(len(node.hub.live()) == 1 for node in self.nodes)
        )

    async def asyncTearDown(self):
        for node in self.nodes:
            await node.sharing.stop()
            await node.hub.stop()

    async def start(self, name):
        node = Node(name, self)
        self.nodes.append(node)
        await node.hub.start()
        self.instances.add(node.hub)
        return node

    async def test_peers_count_each_others_crashes(self):
        self.nodes[0].quarantine.record_crash("f", "s1", "boot")
        self.nodes[1].quarantine.record_crash("f", "s2", "boot")
        await fakes.until(
            lambda: all(
                node.quarantine.is_quarantined("f", LIMIT)
                for node in self.nodes
            )
        )

    async def test_a_node_that_starts_later_loads_stored_crashes(self):
        self.nodes[0].quarantine.record_crash("f", "s1", "boot")
        self.nodes[0].quarantine.record_crash("f", "s2", "boot")
        await fakes.until(
            lambda: len(self.rows.query(crash_sharing.PARTITION)) == 2
        )
        late = await self.start("c")
        await late.sharing.start()
        await fakes.until(lambda: late.quarantine.is_quarantined("f", LIMIT))

    async def test_pending_writes_of_reports_are_bounded(self):
        self.nodes[0].table.faults.unavailable = True
        for number in range(crash_sharing.MAX_PENDING_WRITES + 10):
            self.nodes[0].quarantine.record_crash(f"f{number}", "s1", "boot")
        self.assertEqual(10, self.nodes[0].reports("not_kept"))
        await fakes.until(
            lambda: (
                self.nodes[1].reports("received")
                == crash_sharing.MAX_PENDING_WRITES + 10
            )
        )
