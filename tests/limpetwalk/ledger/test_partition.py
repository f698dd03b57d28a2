"""Tests of the writer of a ledger partition."""

import asyncio
import itertools
import unittest

from hypothesis import stateful
from hypothesis import strategies

from limpetwalk import clock
from limpetwalk import exceptions
from limpetwalk.ledger import base
from limpetwalk.ledger import partition
from limpetwalk.ledger import reader
from limpetwalk.ledger import retention
from limpetwalk.ledger import rows
from limpetwalk.providers import base as platform
from limpetwalk.providers import memory

from ... import state_machines
from .. import stepped

RETAIN_FROM = 100.0


def entry(number, node="n1", answered_at=1000.0):
    return base.BillEntry(
        workspace="lodge",
        request_key=f"key-{number}",
        request_id=f"r-{number}",
        subject="assistant",
        steps=("small:v1",),
        input_tokens=10,
        output_tokens=20,
        cost=30,
        answered_at=answered_at,
        node=node,
    )


def logged(table_rows):
    """Return the numbers of the entries in the log, in order."""
    batches = table_rows.query(rows.partition_name(0))
    return [
        int(bill_entry.request_key.removeprefix("key-"))
        for row in batches
        for bill_entry in rows.decode_batch(row)
    ]


class LedgerPartitionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = memory.MemoryTable()
        self.first = self.writer()
        self.second = self.writer()

    def writer(self, limit=partition.DEDUPE_ENTRIES):
        return partition.LedgerPartition(
            self.table, 0, clock.ManualClock(), limit
        )

    def logged(self):
        return logged(self.table.rows)

    async def test_entries_of_one_call_are_one_row(self):
        self.assertEqual(3, await self.first.append([entry(n) for n in "123"]))
        self.assertEqual(1, self.table.writes)
        self.assertEqual([1, 2, 3], self.logged())

    async def test_known_entries_are_not_written_again(self):
        await self.first.append([entry(1)])
        self.assertEqual(0, await self.first.append([entry(1, "n2")]))
        self.assertEqual(0, await self.first.append([]))
        self.assertEqual(1, self.table.writes)

    async def test_duplicate_within_one_call_is_dropped(self):
        self.assertEqual(1, await self.first.append([entry(1), entry(1)]))

    async def test_workspaces_do_not_share_keys(self):
        other = base.BillEntry("nuts", "key-1", "r", "m", (), 0, 0, 0, 0, "n")
        self.assertEqual(2, await self.first.append([entry(1), other]))

    async def test_writer_that_takes_over_drops_existing_entries(self):
        await self.first.append([entry(1)])
        await self.first.append([entry(2)])
        appended = await self.second.append([entry(n) for n in (1, 2, 3)])
        self.assertEqual(1, appended)
        self.assertEqual([1, 2, 3], self.logged())

    async def test_two_writers_append_each_entry_once(self):
        await self.first.append([entry(0)])
        await self.second.append([entry(1)])
        self.assertEqual(1, await self.first.append([entry(1), entry(2)]))
        self.assertEqual(1, await self.second.append([entry(2), entry(3)]))
        self.assertEqual([0, 1, 2, 3], self.logged())

    async def test_large_call_is_split_into_rows(self):
        many = [entry(number) for number in range(4000)]
        self.assertEqual(4000, await self.first.append(many))
        batches = self.table.rows.query(rows.partition_name(0))
        self.assertGreater(len(batches), 1)
        for row in batches:
            self.assertLess(len(row.value.encode()), platform.ROW_LIMIT_BYTES)
        self.assertEqual(list(range(4000)), self.logged())

    async def test_entry_larger_than_a_row_is_an_error(self):
        large = base.BillEntry(
            "lodge", "x" * 400_000, "r", "m", (), 0, 0, 0, 0.0, "n"
        )
        with self.assertRaises(ValueError):
            await self.first.append([large])

    async def test_lost_answer_is_resolved(self):
        self.table.faults.lose_answers = 1
        self.assertEqual(1, await self.first.append([entry(1)]))
        self.assertEqual([1], self.logged())

    async def test_append_after_an_unknown_outcome_writes_no_duplicate(self):
        async def go_down(_):
            self.table.faults.unavailable = True

        await self.first.append([entry(0)])
        self.table.faults.after = go_down
        self.table.faults.lose_answers = 1
        with self.assertRaises(exceptions.StoreOutcomeUnknown):
            await self.first.append([entry(1)])
        self.table.faults = memory.Faults()
        self.assertEqual(1, await self.first.append([entry(1), entry(2)]))
        self.assertEqual([0, 1, 2], self.logged())

    async def test_unavailable_store_is_an_error(self):
        self.table.faults.unavailable = True
        with self.assertRaises(exceptions.StoreUnavailable):
            await self.first.append([entry(1)])

    async def test_remembered_keys_are_bounded(self):
        small = self.writer(limit=2)
        for number in range(4):
            await small.append([entry(number)])
        self.assertEqual(0, await small.append([entry(2), entry(3)]))
        self.assertEqual(1, await small.append([entry(0)]))
        ledger_reader = reader.LedgerReader(self.table, 1)
        totals = await ledger_reader.totals()
        self.assertEqual([4], [total.entries for total in totals])

    async def test_writer_paused_past_the_retention_stays_in_order(self):
        await self.first.append([entry(0, answered_at=0.0)])
        await self.second.append([entry(1, answered_at=0.0)])
        await self.second.append([entry(2, answered_at=0.0)])
        await self.second.append([entry(3)])
        ledger_retention = retention.LedgerRetention(self.table, 0)
        self.assertEqual(3, await ledger_retention.delete_before(RETAIN_FROM))
        await self.first.append([entry(4)])
        self.assertEqual([3, 4], self.logged())

    async def test_writer_paused_since_the_empty_log_stays_in_order(self):
        await self.first.append([])
        await self.second.append([entry(0, answered_at=0.0)])
        await self.second.append([entry(1)])
        ledger_retention = retention.LedgerRetention(self.table, 0)
        self.assertEqual(1, await ledger_retention.delete_before(RETAIN_FROM))
        await self.first.append([entry(2)])
        self.assertEqual([1, 2], self.logged())

    async def test_retention_keeps_the_newest_batch_and_younger_ones(self):
        times = (0.0, 1.0, 500.0, 2.0)
        for number, answered_at in enumerate(times):
            await self.first.append([entry(number, answered_at=answered_at)])
        ledger_retention = retention.LedgerRetention(self.table, 0)
        self.assertEqual(2, await ledger_retention.delete_before(RETAIN_FROM))
        self.assertEqual([2, 3], self.logged())
        self.assertEqual(1, await ledger_retention.delete_before(1000.0))
        self.assertEqual(0, await ledger_retention.delete_before(1000.0))
        self.assertEqual([3], self.logged())


class LedgerRetentionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.table = memory.MemoryTable()
        self.writer = partition.LedgerPartition(
            self.table, 0, clock.ManualClock()
        )
        for number in range(retention.PAGE_ROWS + 5):
            await self.writer.append([entry(number, answered_at=0.0)])
        self.retention = retention.LedgerRetention(self.table, 0)

    async def test_more_than_a_page_is_deleted(self):
        deleted = await self.retention.delete_before(RETAIN_FROM)
        self.assertEqual(retention.PAGE_ROWS + 4, deleted)
        self.assertEqual(1, len(logged(self.table.rows)))

    async def test_log_can_be_appended_to_after_faults(self):
        for number, fault in ((200, "refuse_writes"), (201, "lose_answers")):
            with self.subTest(fault=fault):
                setattr(self.table.faults, fault, 1)
                try:
                    await self.retention.delete_before(RETAIN_FROM)
                except exceptions.StoreError:
                    pass
                await self.writer.append([entry(number)])
        await self.retention.delete_before(RETAIN_FROM)
        self.assertEqual([200, 201], logged(self.table.rows))

    async def test_two_runs_at_once_delete_each_batch_once(self):
        deleted = await asyncio.gather(
            self.retention.delete_before(RETAIN_FROM),
            self.retention.delete_before(RETAIN_FROM),
        )
        self.assertEqual(retention.PAGE_ROWS + 4, sum(deleted))


class RecordingRows(memory.Rows):
    """Rows that record each entry ever put into the log."""

    def __init__(self):
        super().__init__()
        self.entries = []
        self.sequences = []

    def transact(self, writes, write_id):
        outcome = super().transact(writes, write_id)
        for write in writes if outcome.is_ok() else ():
            if write.key.partition == rows.partition_name(0):
                self._record(write)
        return outcome

    def _record(self, write):
        if isinstance(write, platform.Put):
            row = platform.Row(write.key, 1, "", write.value)
            entries = rows.decode_batch(row)
            self.entries += [bill_entry.request_key for bill_entry in entries]
            self.sequences.append(rows.sequence_of(write.key))


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Two writers of one partition, under arbitrary faults."""

    NODES = 2

    def __init__(self):
        super().__init__()
        self.rows = RecordingRows()
        self.late = []
        self.processes = [stepped.Process() for _ in range(self.NODES)]
        self.writers = [self.writer() for _ in range(self.NODES)]
        self.durable = set()

    def writer(self):
        table = stepped.SteppedTable(self.rows, self.late)
        return partition.LedgerPartition(table, 0, clock.ManualClock())

    async def append(self, node, numbers):
        entries = [entry(number, f"n{node}", 0.0) for number in numbers]
        await self.writers[node].append(entries)
        self.durable |= {bill_entry.request_key for bill_entry in entries}

    @stateful.rule(
        node=strategies.integers(0, NODES - 1),
        numbers=strategies.lists(
            strategies.integers(0, 9), min_size=1, max_size=3
        ),
    )
    def start(self, node, numbers):
        if self.processes[node].idle:
            self.processes[node].start(self.append(node, numbers))

    @stateful.rule(
        node=strategies.integers(0, NODES - 1), deliveries=stepped.DELIVERIES
    )
    def step(self, node, deliveries):
        for delivery in deliveries:
            if not self.processes[node].idle:
                self.processes[node].step(delivery)

    @stateful.rule(node=strategies.integers(0, NODES - 1))
    def crash(self, node):
        self.processes[node].crash()
        self.writers[node] = self.writer()

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(index=strategies.integers(0, 9))
    def deliver_late(self, index):
        stepped.deliver(self.rows, self.late, index)

    @stateful.invariant()
    def each_entry_is_in_the_ledger_once(self):
        entries = self.rows.entries
        assert len(set(entries)) == len(entries), entries

    @stateful.invariant()
    def log_has_no_gaps(self):
        sequences = self.rows.sequences
        assert sequences == list(range(1, len(sequences) + 1)), sequences

    @stateful.invariant()
    def durable_entries_are_in_the_ledger(self):
        assert self.durable <= set(self.rows.entries)


LedgerMachineTest = state_machines.make_case(LedgerMachine, 150, 30)


class InterleavingTest(unittest.TestCase):
    """Every order of the steps of two writers, with one fault at any step."""

    STEPS = 6

    def cases(self):
        for rest in itertools.product((0, 1), repeat=self.STEPS - 1):
            order = (0, *rest)
            for fault_step in range(self.STEPS):
                for delivery in stepped.Delivery:
                    yield order, fault_step, delivery

    def test_each_entry_is_in_the_ledger_once(self):
        for order, fault_step, fault in self.cases():
            world = LedgerMachine()
            for node in (0, 1):
                world.start(node, [1, 2 + node])
            for number, node in enumerate(order + (0, 1) * self.STEPS):
                delivery = (
                    fault
                    if number == fault_step
                    else stepped.Delivery.DELIVERED
                )
                world.step(node, [delivery])
                world.deliver_late(0)
                world.start(node, [1, 2 + node])
            with self.subTest(order=order, fault_step=fault_step, fault=fault):
                world.each_entry_is_in_the_ledger_once()
                world.log_has_no_gaps()
                world.durable_entries_are_in_the_ledger()
                self.assertEqual(3, len(world.rows.entries))
