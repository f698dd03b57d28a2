"""Tests of reading and reconciling the ledger."""

import unittest

from limpetwalk import clock
from limpetwalk.ledger import partition
from limpetwalk.ledger import reader
from limpetwalk.ledger import reconciliation
from limpetwalk.ledger import rows
from limpetwalk.providers import memory

from . import test_partition as ledger

PARTITIONS = 3
Answered = reconciliation.Answered
Run = reconciliation.Run


class LedgerReaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_totals_are_over_all_partitions(self):
        table = memory.MemoryTable()
        entries = [ledger.entry(number) for number in range(50)]
        for number in range(PARTITIONS):
            of_partition = [
                entry
                for entry in entries
                if rows.partition_of(entry, PARTITIONS) == number
            ]
            self.assertTrue(of_partition)
            writer = partition.LedgerPartition(
                table, number, clock.ManualClock()
            )
            for entry in of_partition:
                await writer.append([entry])
        ledger_reader = reader.LedgerReader(table, PARTITIONS)
        total = reader.Total("lodge", "assistant", 50, 500, 1000, 1500)
        self.assertEqual([total], await ledger_reader.totals("lodge"))
        self.assertEqual([], await ledger_reader.totals("nuts"))

    async def test_log_longer_than_a_page_is_read_completely(self):
        table = memory.MemoryTable()
        writer = partition.LedgerPartition(table, 0, clock.ManualClock())
        for number in range(reader.PAGE_ROWS + 1):
            await writer.append([ledger.entry(number)])
        ledger_reader = reader.LedgerReader(table, 1)
        count = len([entry async for entry in ledger_reader.entries()])
        self.assertEqual(reader.PAGE_ROWS + 1, count)


class ReconcileTest(unittest.TestCase):
    def reconcile(self, billed=(1,), answered=(1,), runs=((1, True),)):
        return reconciliation.reconcile(
            [ledger.entry(number) for number in billed],
            [Answered("lodge", f"key-{number}") for number in answered],
            [
                Run(f"r-{number}", "s1", idempotent)
                for number, idempotent in runs
            ],
        )

    def test_agreement_is_consistent(self):
        self.assertTrue(self.reconcile().is_consistent)

    def test_differences_are_reported(self):
        key = Answered("lodge", "key-1")
        cases = [
            ("unbilled", {"billed": ()}, (key,)),
            ("unanswered", {"answered": ()}, (key,)),
            ("doubled", {"billed": (1, 1)}, (key,)),
            ("unrun", {"runs": ()}, (key,)),
            ("run_twice", {"runs": ((1, False), (1, False))}, ("r-1",)),
            ("run_twice", {"runs": ((1, True), (1, True))}, ()),
        ]
        for name, changes, expected in cases:
            with self.subTest(name=name, changes=changes):
                result = self.reconcile(**changes)
                self.assertEqual(expected, getattr(result, name))
                harmless = name == "unanswered" or not expected
                self.assertEqual(harmless, result.is_consistent)
