"""Tests of billing through peers."""

import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics
from limpetwalk.conf import snapshot
from limpetwalk.ledger import base as ledger
from limpetwalk.ledger import partition
from limpetwalk.platform import memory
from limpetwalk_node import billing
from tests.limpetwalk.peers import fakes

PARTITIONS = 4


def entry(key):
    return ledger.BillEntry(
        workspace="w",
        request_key=key,
        request_id=f"r-{key}",
        subject="chat",
        steps=("m/1",),
        input_tokens=1,
        output_tokens=2,
        cost=3,
        answered_at=4.0,
        node="a",
    )


class Node:
    """Hub and biller of one node."""

    def __init__(self, name, instances, rows, zone):
        self.hub = fakes.make_hub(name, instances, zone)
        self.table = memory.MemoryTable(rows)
        self.metrics = metrics.Metrics()
        self.biller = billing.LedgerBiller(
            self.hub,
            self.open_partition,
            lambda: snapshot.Tuning(
                ledger_partitions=PARTITIONS, ledger_interval=0.01
            ),
            clocks.SystemClock(),
            random.Random(name),
            self.metrics,
        )

    def open_partition(self, number):
        return partition.LedgerPartition(
            self.table, number, clocks.SystemClock()
        )


class BillingCase(unittest.IsolatedAsyncioTestCase):
    """Nodes a, b and c in three zones over one table."""

    async def asyncSetUp(self):
        self.instances = fakes.FakeInstances()
        self.rows = memory.Rows()
        self.nodes = {}
        for name in "abc":
            node = Node(name, self.instances, self.rows, f"z-{name}")
            await node.hub.start()
            self.instances.add(node.hub)
            self.nodes[name] = node
        await fakes.until(
            lambda: all(
                len(node.hub.live()) == 2 for node in self.nodes.values()
            )
        )

    async def asyncTearDown(self):
        for node in self.nodes.values():
            await node.biller.stop()
            await node.hub.stop()

    def set_store(self, down):
        for node in self.nodes.values():
            node.table.faults.unavailable = down

    async def ledger(self):
        found = []
        for number in range(PARTITIONS):
            found += await fakes.read_partition(self.rows, number)
        return sorted(found)


class BillTest(BillingCase):
    async def test_each_entry_is_in_the_ledger_once(self):
        keys = [f"k{number}" for number in range(20)]
        for key in keys:
            await self.nodes["a"].biller.bill(entry(key))
            await self.nodes["b"].biller.bill(entry(key))
        self.assertEqual(sorted(keys), await self.ledger())

    async def test_a_store_outage_leaves_a_copy_in_another_zone(self):
        self.set_store(down=True)
        await self.nodes["a"].biller.bill(entry("k"))
        await self.nodes["a"].biller.tick()
        self.assertEqual(
            1,
            self.nodes["a"].metrics.value("limpetwalk_bill_entries_held"),
        )
        self.assertEqual([], await self.ledger())
        self.set_store(down=False)
        self.assertEqual(0, await self.nodes["a"].biller.flush(5.0))
        self.assertEqual(["k"], await self.ledger())

    async def test_without_store_and_peers_the_entry_is_kept(self):
        self.set_store(down=True)
        for name in "bc":
            await self.nodes[name].hub.stop()
        with self.assertRaises(exceptions.StoreUnavailable):
            await self.nodes["a"].biller.bill(entry("k"))
        self.set_store(down=False)
        self.assertEqual(0, await self.nodes["a"].biller.flush(5.0))
        self.assertEqual(["k"], await self.ledger())
