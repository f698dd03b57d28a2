"""The client of the metadata store, against its stand-in."""

import asyncio
import dataclasses
import json
import unittest
from unittest import mock

from aiohttp import web
from result import Err
from result import Ok

from limpetwalk import exceptions
from limpetwalk.gateway import ports
from limpetwalk.gateway import types
from limpetwalk_bench.hub import raw_server
from limpetwalk_bench.hub import store as store_standin
from limpetwalk_platform import adapter
from limpetwalk_platform import store


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """A client of a store on loopback."""

    async def asyncSetUp(self) -> None:
        self.store = store_standin.Store()
        runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        self.client = store.StoreClient(f"127.0.0.1:{port}")
        await self.client.open()
        self.addAsyncCleanup(self.client.close)
        self.table = adapter.SharedTable(self.client, "t")
        # On a busy machine the event loop may be blocked for a second.
        patch = mock.patch.object(store, "ANSWER_TIMEOUT", 10.0)
        patch.start()
        self.addCleanup(patch.stop)


class Reading(StoreCase):
    """Full reads of a table and following its changes."""

    async def test_full_read_in_pages(self) -> None:
        for number in range(7):
            await self.store.put("t", f"k{number}", number)
        await self.store.put("other", "x", 1)
        self.store.faults.page = 3
        batch = await self.table.read()
        self.assertTrue(batch.full_read)
        self.assertEqual(
            [f"k{number}" for number in range(7)],
            [change.key for change in batch.changes],
        )

    async def test_changes_arrive_once_and_removals_are_included(self) -> None:
        await self.store.put("t", "a", 1)
        first = await self.table.read()
        await self.store.put("t", "b", 2)
        await self.store.remove("t", "a")
        batch = await self.table.follow(first.version, 0.1)
        self.assertEqual(
            {"a": ports.Removed, "b": ports.SharedRow},
            {change.key: type(change.entry) for change in batch.changes},
        )
        later = await self.table.follow(batch.version, 0.05)
        self.assertEqual((), later.changes)

    async def test_lost_history(self) -> None:
        first = await self.table.read()
        await self.store.put("t", "a", 1)
        await self.store.discard_history()
        with self.assertRaises(exceptions.HistoryLost):
            await self.table.follow(first.version, 0.1)

    async def test_restored_store_has_lost_the_history(self) -> None:
        """Also when it has given out the known version again."""
        await self.store.put("t", "a", 1)
        first = await self.table.read()
        await self.store.restore(0)
        for _ in range(3):
            await self.store.put("t", "b", 2)
        with self.assertRaises(exceptions.HistoryLost):
            await self.table.follow(first.version, 0.1)
        self.assertEqual(
            types.Version(2, 3), (await self.table.read()).version
        )

    async def test_restoration_between_two_pages(self) -> None:
        for number in range(7):
            await self.store.put("t", f"k{number}", number)
        self.store.faults.page = 3
        read, eras = self.client.read, iter((1, 1, 2))

        async def restored_meanwhile(*args: str) -> store.RowPage:
            page = await read(*args)
            version = types.Version(next(eras), page.version.counter)
            return dataclasses.replace(page, version=version)

        with mock.patch.object(self.client, "read", restored_meanwhile):
            with self.assertRaises(exceptions.StoreUnavailable):
                await self.table.read()

    async def test_error_status_or_no_answer(self) -> None:
        for fault in ({"status": 503}, {"status": 429}, {"silent": True}):
            with (
                self.subTest(fault),
                mock.patch.multiple(self.store.faults, **fault),
                mock.patch.object(store, "ANSWER_TIMEOUT", 0.3),
            ):
                with self.assertRaises(exceptions.StoreUnavailable):
                    await self.table.read()

    async def test_unreachable_store(self) -> None:
        unreachable = store.StoreClient("127.0.0.1:9")
        await unreachable.open()
        self.addAsyncCleanup(unreachable.close)
        with self.assertRaises(exceptions.StoreUnavailable):
            await unreachable.read("t")

    async def test_renewed_connections_work(self) -> None:
        await self.store.put("t", "a", 1)
        await self.client.renew()
        self.assertEqual(1, len((await self.table.read()).changes))


class Writing(StoreCase):
    """Conditional writes."""

    async def test_nothing_is_written_when_a_condition_fails(self) -> None:
        put = ports.SharedPut("a", "1", types.Version(1))
        first = await self.table.put([put])
        assert isinstance(first, Ok)
        self.assertIsInstance(await self.table.put([put]), Err)
        self.assertEqual(1, self.store.value("t", "a"))
        second_put = ports.SharedPut("a", "2", first.ok_value)
        self.assertIsInstance(await self.table.put([second_put]), Ok)
        self.assertEqual(2, self.store.value("t", "a"))

    async def test_condition_that_holds_by_accident_is_not_a_success(
        self,
    ) -> None:
        """A restored store has given the version of the condition again."""
        await self.table.put([ports.SharedPut("a", "1")])
        read = (await self.table.read()).changes[0].version
        await self.store.restore(0)
        await self.store.put("t", "a", "of another node")
        put = ports.SharedPut("a", "2", read)
        with self.assertRaises(exceptions.StoreOutcomeUnknown):
            await self.table.put([put])
        before = self.store.ver
        self.assertIsInstance(await self.table.put([put]), Err)
        self.assertEqual(before, self.store.ver)
        await self.table.put([ports.SharedPut("a", "3")])

    async def test_all_or_none(self) -> None:
        outcome = await self.table.put(
            [
                ports.SharedPut("a", "1"),
                ports.SharedPut("b", "1", types.Version(1, 99)),
            ]
        )
        self.assertIsInstance(outcome, Err)
        self.assertIsNone(self.store.value("t", "a"))

    async def test_lost_answer_leaves_the_outcome_unknown(self) -> None:
        self.store.faults.lose_writes = True
        with self.assertRaises(exceptions.StoreOutcomeUnknown):
            await self.table.put([ports.SharedPut("a", "1")])
        self.assertEqual(1, self.store.value("t", "a"))

    async def test_rejected_write_raises_store_unavailable(self) -> None:
        self.store.faults.status = 503
        with self.assertRaises(exceptions.StoreUnavailable):
            await self.table.put([ports.SharedPut("a", "1")])

    async def test_removal(self) -> None:
        await self.table.put([ports.SharedPut("a", "1")])
        await self.table.remove("a")
        self.assertIsNone(self.store.value("t", "a"))


class OddAnswers(unittest.IsolatedAsyncioTestCase):
    """Answers of the store with odd contents."""

    async def asyncSetUp(self) -> None:
        self.body = b""

        async def answer(conn: raw_server.Connection) -> None:
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}"
            await conn.send(head.encode() + b"\r\n\r\n" + self.body)
            await asyncio.sleep(5)

        server = raw_server.RawServer(answer)
        self.client = store.StoreClient(f"127.0.0.1:{await server.start()}")
        self.addAsyncCleanup(server.stop)
        await self.client.open()
        self.addAsyncCleanup(self.client.close)

    async def test_unusable_answers_raise_store_unavailable(self) -> None:
        nested = b"[" * 1100 + b"]" * 1100
        for body in (
            nested,
            b'{"rows": [], "ver": 1, "unknown": ' + nested + b"}",
            b"[]",
            b"5",
            b'{"rows": [], "ver": 1e400}',
            b'{"rows": [], "ver": ' + b"9" * 400 + b"}",
            b'{"rows": [], "ver": -1}',
            b'{"rows": [], "ver": 1, "now_ms": NaN}',
            b'{"rows": [], "ver": 1, "now_ms": ' + b"9" * 400 + b"}",
            b'{"rows": [], "ver": ' + b"9" * 5000 + b"}",
        ):
            self.body = body
            with self.subTest(body=body[:40]):
                with self.assertRaises(exceptions.StoreUnavailable):
                    await self.client.read("t")

    async def test_unusable_answer_to_a_write_leaves_it_unknown(self) -> None:
        nested = b"[" * 1100 + b"]" * 1100
        for body in (nested, b"[]", b'{"ver": null}', b'{"ver": -1}'):
            self.body = body
            with self.subTest(body=body[:40]):
                with self.assertRaises(exceptions.StoreOutcomeUnknown):
                    await self.client.write([store.Put("t", "k", "1", None)])

    async def test_odd_row_costs_no_other_row_of_its_answer(self) -> None:
        sound = {"table": "t", "key": "k", "value": "", "ver": 1}
        for change in (
            {"value": "\u00e9"},
            {"value": 5},
            {"value": "!"},
            {"key": "\ud800"},
        ):
            odd = {**sound, "key": "odd", **change}
            answer = {"rows": [odd, sound], "ver": 1, "now_ms": 0}
            self.body = json.dumps(answer).encode()
            with self.subTest(change=change):
                page = await self.client.read("t")
                self.assertEqual([None, b""], [row.value for row in page.rows])
                page.rows[0].key.encode()


class SecondCopy(unittest.IsolatedAsyncioTestCase):
    """A server sends an answer once more after it was complete."""

    async def test_late_copy_is_not_the_answer_of_the_next_call(self) -> None:
        answers = 0

        async def answer_twice(conn: raw_server.Connection) -> None:
            nonlocal answers
            answers += 1
            row = {"table": f"t{answers}", "key": "k", "value": "", "ver": 1}
            body = json.dumps({"rows": [row], "ver": answers, "now_ms": 0})
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            await conn.send((head + body).encode())
            await asyncio.sleep(0.02)
            await conn.send((head + body).encode())
            await asyncio.sleep(5)

        server = raw_server.RawServer(answer_twice)
        client = store.StoreClient(f"127.0.0.1:{await server.start()}")
        self.addAsyncCleanup(server.stop)
        await client.open()
        self.addAsyncCleanup(client.close)
        first = await client.read("t1")
        await asyncio.sleep(0.1)
        second = await client.read("t2")
        self.assertEqual(
            ["t1", "t2"], [first.rows[0].table, second.rows[0].table]
        )
