"""The client of the metadata store, against its stand-in."""

import unittest
from unittest import mock

from aiohttp import web
from result import Err
from result import Ok

from limpetwalk import exceptions
from limpetwalk.gateway import ports
from limpetwalk_bench.hub import store as standin
from limpetwalk_platform import adapter
from limpetwalk_platform import store


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """A client of a store on loopback."""

    async def asyncSetUp(self) -> None:
        self.store = standin.Store()
        runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        self.client = store.StoreClient(f"127.0.0.1:{port}")
        await self.client.open()
        self.addAsyncCleanup(self.client.close)
        self.table = adapter.SharedTable(self.client, "t")
        # A busy machine may hold the event loop up for a second.
        patch = mock.patch.object(store, "ANSWER_TIMEOUT", 10.0)
        patch.start()
        self.addCleanup(patch.stop)


class Reading(StoreCase):
    """Whole reads and changes."""

    async def test_whole_table_in_pages(self) -> None:
        for number in range(7):
            await self.store.put("t", f"k{number}", number)
        await self.store.put("other", "x", 1)
        self.store.faults.page = 3
        batch = await self.table.read()
        self.assertTrue(batch.whole)
        self.assertEqual(
            [f"k{number}" for number in range(7)],
            [change.key for change in batch.changes],
        )

    async def test_changes_come_once_and_removals_are_told(self) -> None:
        await self.store.put("t", "a", 1)
        first = await self.table.read()
        await self.store.put("t", "b", 2)
        await self.store.remove("t", "a")
        batch = await self.table.follow(first.version, 0.1)
        self.assertEqual(
            {"a": ports.Removed, "b": ports.SharedRow},
            {each.key: type(each.entry) for each in batch.changes},
        )
        again = await self.table.follow(batch.version, 0.05)
        self.assertEqual((), again.changes)

    async def test_forgotten_history(self) -> None:
        first = await self.table.read()
        await self.store.put("t", "a", 1)
        await self.store.forget_history()
        with self.assertRaises(exceptions.HistoryLost):
            await self.table.follow(first.version, 0.1)

    async def test_no_answer(self) -> None:
        for fault in ({"status": 503}, {"status": 429}, {"silent": True}):
            with (
                self.subTest(fault),
                mock.patch.multiple(self.store.faults, **fault),
                mock.patch.object(store, "ANSWER_TIMEOUT", 0.3),
            ):
                with self.assertRaises(exceptions.StoreUnavailable):
                    await self.table.read()

    async def test_store_that_is_not_there(self) -> None:
        gone = store.StoreClient("127.0.0.1:9")
        await gone.open()
        self.addAsyncCleanup(gone.close)
        with self.assertRaises(exceptions.StoreUnavailable):
            await gone.read("t")

    async def test_renewed_connections_work(self) -> None:
        await self.store.put("t", "a", 1)
        await self.client.renew()
        self.assertEqual(1, len((await self.table.read()).changes))


class Writing(StoreCase):
    """Writes under conditions."""

    async def test_condition_holds_or_nothing_is_written(self) -> None:
        put = ports.SharedPut("a", "1", 0)
        first = await self.table.put([put])
        assert isinstance(first, Ok)
        self.assertIsInstance(await self.table.put([put]), Err)
        self.assertEqual(1, self.store.value("t", "a"))
        again = ports.SharedPut("a", "2", first.ok_value)
        self.assertIsInstance(await self.table.put([again]), Ok)
        self.assertEqual(2, self.store.value("t", "a"))

    async def test_all_or_none(self) -> None:
        held = await self.table.put(
            [ports.SharedPut("a", "1"), ports.SharedPut("b", "1", 99)]
        )
        self.assertIsInstance(held, Err)
        self.assertIsNone(self.store.value("t", "a"))

    async def test_lost_answer_is_not_taken_for_not_done(self) -> None:
        self.store.faults.lose_writes = True
        with self.assertRaises(exceptions.StoreOutcomeUnknown):
            await self.table.put([ports.SharedPut("a", "1")])
        self.assertEqual(1, self.store.value("t", "a"))

    async def test_refused_write_is_not_done(self) -> None:
        self.store.faults.status = 503
        with self.assertRaises(exceptions.StoreUnavailable):
            await self.table.put([ports.SharedPut("a", "1")])

    async def test_removal(self) -> None:
        await self.table.put([ports.SharedPut("a", "1")])
        await self.table.remove("a")
        self.assertIsNone(self.store.value("t", "a"))
