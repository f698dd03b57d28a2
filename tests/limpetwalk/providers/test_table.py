"""Contract tests of the table service, for the fake and the client."""

import asyncio
import dataclasses
import unittest

from result import Err
from result import Ok

from limpetwalk import exceptions
from limpetwalk.providers import base
from limpetwalk.providers import dynamodb
from limpetwalk.providers import memory
from limpetwalk_bench.providers import faults

from . import harness

Fault = harness.Fault
KEY = base.RowKey("p", "k")
OTHER = base.RowKey("p", "o")


@dataclasses.dataclass(frozen=True)
class FaultCase:
    """Expected error and effect of a write during a fault."""

    fault: Fault
    error: type[exceptions.StoreError]
    applied: bool


FAULTS = [
    FaultCase(Fault.DOWN, exceptions.StoreUnavailable, False),
    FaultCase(Fault.REFUSED, exceptions.StoreUnavailable, False),
    FaultCase(Fault.ANSWER_LOST, exceptions.StoreOutcomeUnknown, True),
    FaultCase(Fault.ERROR, exceptions.StoreOutcomeUnknown, True),
    FaultCase(Fault.MALFORMED, exceptions.StoreOutcomeUnknown, True),
]


def sort_names(rows):
    return [row.key.sort for row in rows]


class TableContract:
    """Tests that every table store passes."""

    table: base.TableStore
    faults: frozenset[Fault]
    read_faults: tuple[Fault, ...]

    async def set_fault(self, fault):
        raise NotImplementedError

    async def put(self, key, value="{}", expect=0, write_id="w", ttl=None):
        put = base.Put(key, value, expect, ttl)
        return await self.table.transact([put], write_id)

    async def test_absent_row_is_none(self):
        self.assertIsNone(await self.table.get(KEY))

    async def test_row_is_read_as_it_was_put(self):
        value = '{"text": "é\\u0000\\" 日本"}'
        await self.put(KEY, value, write_id="first", ttl=123)
        expected = base.Row(KEY, 1, "first", value, 123)
        self.assertEqual(expected, await self.table.get(KEY))

    async def test_version_grows_with_each_put(self):
        await self.put(KEY)
        self.assertEqual(Ok(None), await self.put(KEY, expect=1))
        row = await self.table.get(KEY)
        self.assertEqual((2, None), (row.version, row.expires_at))

    async def test_stale_put_conflicts(self):
        await self.put(KEY)
        for expect in (0, 2):
            with self.subTest(expect=expect):
                outcome = await self.put(KEY, "new", expect)
                self.assertEqual(Err(base.Conflict((KEY,))), outcome)
        self.assertEqual("{}", (await self.table.get(KEY)).value)

    async def test_one_failed_condition_prevents_all_writes(self):
        await self.put(OTHER)
        failing = [
            base.Put(OTHER, "new", 0),
            base.Check(OTHER, 7),
            base.Check(OTHER, 0),
            base.Delete(OTHER, 2),
        ]
        for write in failing:
            with self.subTest(write=write):
                outcome = await self.table.transact(
                    [base.Put(KEY, "{}", 0), write], "w"
                )
                self.assertEqual(Err(base.Conflict((OTHER,))), outcome)
                self.assertIsNone(await self.table.get(KEY))

    async def test_transaction_applies_all_writes(self):
        third = base.RowKey("q", "third")
        await self.put(OTHER)
        await self.put(third)
        writes = [
            base.Put(KEY, "{}", 0),
            base.Check(third, 1),
            base.Delete(OTHER, 1),
        ]
        self.assertEqual(Ok(None), await self.table.transact(writes, "w"))
        self.assertEqual(1, (await self.table.get(KEY)).version)
        self.assertIsNone(await self.table.get(OTHER))

    async def test_conflict_contains_every_failed_condition(self):
        writes = [base.Check(KEY, 1), base.Put(OTHER, "{}", 4)]
        outcome = await self.table.transact(writes, "w")
        self.assertEqual(Err(base.Conflict((KEY, OTHER))), outcome)

    async def test_query_applies_order_start_prefix_and_limit(self):
        for name in ("a1", "a2", "b1", "b2", "c1"):
            await self.put(base.RowKey("p", name))
        await self.put(base.RowKey("q", "z"))
        cases = [
            ({}, ["a1", "a2", "b1", "b2", "c1"]),
            ({"after": "a2"}, ["b1", "b2", "c1"]),
            ({"after": "a3"}, ["b1", "b2", "c1"]),
            ({"prefix": "b"}, ["b1", "b2"]),
            ({"prefix": "b", "after": "b1"}, ["b2"]),
            ({"prefix": "b", "after": "a1"}, ["b1", "b2"]),
            ({"prefix": "b", "after": "c"}, []),
            ({"limit": 2}, ["a1", "a2"]),
            ({"descending": True, "limit": 2}, ["c1", "b2"]),
            ({"descending": True, "after": "b1"}, ["a2", "a1"]),
            ({"descending": True, "prefix": "b"}, ["b2", "b1"]),
            (
                {"descending": True, "prefix": "b", "after": "c"},
                ["b2", "b1"],
            ),
            ({"descending": True, "prefix": "b", "after": "a"}, []),
        ]
        for arguments, expected in cases:
            with self.subTest(**arguments):
                rows = await self.table.query("p", **arguments)
                self.assertEqual(expected, sort_names(rows))
        self.assertEqual([], await self.table.query("none"))

    async def test_query_spans_several_pages_of_the_service(self):
        names = [f"{number:02d}" for number in range(12)]
        for name in names:
            await self.put(base.RowKey("p", name), "x" * 200_000)
        self.assertEqual(names, sort_names(await self.table.query("p")))

    async def test_write_during_a_fault(self):
        for number, case in enumerate(FAULTS):
            if case.fault not in self.faults:
                continue
            key = base.RowKey("p", str(number))
            with self.subTest(fault=case.fault.value):
                await self.set_fault(case.fault)
                with self.assertRaises(case.error):
                    await self.put(key)
                await self.set_fault(None)
                row = await self.table.get(key)
                self.assertEqual(case.applied, row is not None)

    async def test_read_during_a_fault(self):
        for fault in self.read_faults:
            with self.subTest(fault=fault.value):
                await self.set_fault(fault)
                with self.assertRaises(exceptions.StoreUnavailable):
                    await self.table.get(KEY)
                with self.assertRaises(exceptions.StoreUnavailable):
                    await self.table.query("p")
                await self.set_fault(None)


class MemoryTableTest(TableContract, unittest.IsolatedAsyncioTestCase):
    faults = frozenset({Fault.DOWN, Fault.REFUSED, Fault.ANSWER_LOST})
    read_faults = (Fault.DOWN,)

    async def asyncSetUp(self):
        self.table = memory.MemoryTable()

    async def set_fault(self, fault):
        harness.set_memory_faults(self.table.faults, fault)

    async def test_expired_rows_are_deleted(self):
        await self.put(KEY, ttl=100)
        await self.put(OTHER)
        self.assertEqual(0, self.table.rows.expire(99))
        self.assertEqual(1, self.table.rows.expire(100))
        self.assertEqual([OTHER.sort], sort_names(await self.table.query("p")))


class DynamoTableTest(TableContract, unittest.IsolatedAsyncioTestCase):
    faults = frozenset(Fault)
    read_faults = (Fault.DOWN, Fault.REFUSED, Fault.ERROR, Fault.MALFORMED)

    async def asyncSetUp(self):
        self.remote = harness.Remote()
        await self.remote.start()
        self.addAsyncCleanup(self.remote.stop)
        self.table = dynamodb.DynamoTable(self.remote.settings().table)
        await self.table.open()
        self.addAsyncCleanup(self.table.close)

    async def set_fault(self, fault):
        await self.remote.set_fault(faults.ServiceName.TABLE, fault)

    async def test_slow_write_has_an_unknown_outcome_and_applies_late(self):
        await self.table.get(KEY)
        await self.set_fault(Fault.SLOW)
        with self.assertRaises(exceptions.StoreOutcomeUnknown):
            await self.put(KEY)
        rows = self.remote.standins.table.rows
        self.assertIsNone(rows.get(KEY))
        await self.remote.release()
        self.assertEqual(1, rows.get(KEY).version)

    async def test_slow_read_times_out(self):
        await self.set_fault(Fault.SLOW)
        for outcome in await asyncio.gather(
            self.table.get(KEY),
            self.table.query("p"),
            return_exceptions=True,
        ):
            self.assertIsInstance(outcome, exceptions.StoreUnavailable)

    async def test_too_large_row_is_rejected(self):
        with self.assertRaises(exceptions.StoreUnavailable):
            await self.put(KEY, "x" * (base.ROW_LIMIT_BYTES + 1))
