"""Tests of the store of accepted configurations."""

from collections.abc import Sequence
import unittest
from unittest import mock
import zlib

from result import Result

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk.conf import compiler
from limpetwalk.conf import head
from limpetwalk.providers import base as platform
from limpetwalk.providers import memory

from . import sites


class HeadCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a store, its in-memory services and two documents."""

    def setUp(self) -> None:
        self.table = memory.MemoryTable()
        self.objects = memory.MemoryObjects()
        self.clock = clocks.ManualClock(1000.0)
        self.store = head.HeadStore(self.table, self.objects, self.clock)
        self.doc = sites.small()
        tuning = self.doc.tuning.model_copy(update={"queue_length": 7})
        self.other = self.doc.model_copy(update={"tuning": tuning})
        self.first = self.doc.to_bytes()
        self.second = self.other.to_bytes()


class AcceptTest(HeadCase):
    async def test_no_head_at_first(self) -> None:
        self.assertEqual(await self.store.read(), head.NO_HEAD)
        self.assertEqual(await self.store.history(), [])

    async def test_generation_grows_and_history_lists_it(self) -> None:
        one = (await self.store.accept(self.first, 0, "ilona", "a")).unwrap()
        self.clock.advance(5)
        two = (await self.store.accept(self.second, 1, "bence", "b")).unwrap()
        self.assertEqual(one.generation, 1)
        expected = head.Head(
            2, compiler.digest_of(self.second), "bence", 1005.0, "b"
        )
        self.assertEqual(two, expected)
        self.assertEqual(await self.store.read(), two)
        self.assertEqual(await self.store.history(), [two, one])
        self.assertEqual(await self.store.history(1), [two])
        self.assertEqual(await self.store.load(two.digest), self.second)

    async def test_conflict_has_the_changes(self) -> None:
        (await self.store.accept(self.first, 0, "ilona")).unwrap()
        (await self.store.accept(self.second, 1, "bence")).unwrap()
        outcome = await self.store.accept(self.first, 1, "ilona")
        conflict = outcome.unwrap_err()
        self.assertEqual(conflict.head.author, "bence")
        self.assertEqual(
            [str(change) for change in conflict.changes],
            ["~ tuning.queue_length: 256 -> 7"],
        )
        self.assertEqual((await self.store.read()).generation, 2)

    async def test_conflict_masks_secrets(self) -> None:
        (await self.store.accept(self.first, 0, "ilona")).unwrap()
        keys = {
            "k1": self.doc.session_keys["k1"].model_copy(
                update={"secret": "another-secret-text"}
            )
        }
        changed = self.doc.model_copy(update={"session_keys": keys})
        (await self.store.accept(changed.to_bytes(), 1, "bence")).unwrap()
        conflict = (await self.store.accept(self.first, 1, "x")).unwrap_err()
        (change,) = conflict.changes
        self.assertRegex(
            str(change),
            r"^~ session_keys.k1.secret: <secret \w+> -> <secret \w+>$",
        )

    async def test_old_document_is_a_new_generation(self) -> None:
        for number, data in enumerate((self.first, self.second, self.first)):
            (await self.store.accept(data, number, "ilona")).unwrap()
        heads = await self.store.history()
        self.assertEqual([item.generation for item in heads], [3, 2, 1])
        self.assertEqual(heads[0].digest, heads[2].digest)


class FaultTest(HeadCase):
    async def test_lost_answers_are_resolved(self) -> None:
        for lost_answers in (1, 2):
            with self.subTest(lost_answers):
                self.table.faults.lose_answers = lost_answers
                self.objects.faults.lose_answers = lost_answers
                current = await self.store.read()
                outcome = await self.store.accept(
                    self.first, current.generation, "ilona"
                )
                accepted = outcome.unwrap()
                self.assertEqual(await self.store.read(), accepted)

    async def test_late_write_is_applied_at_most_once(self) -> None:
        delayed: list[tuple[Sequence[platform.Write], str]] = []
        transact = self.table.transact

        async def delay(
            writes: Sequence[platform.Write], write_id: str
        ) -> Result[None, platform.Conflict]:
            delayed.append((writes, write_id))
            self.table.transact = transact  # type: ignore[method-assign]
            raise exceptions.StoreOutcomeUnknown("the write is delayed")

        self.table.transact = delay  # type: ignore[method-assign]
        accepted = (await self.store.accept(self.first, 0, "a")).unwrap()
        ((writes, write_id),) = delayed
        (await self.table.transact(writes, write_id)).unwrap_err()
        self.assertEqual(await self.store.history(), [accepted])

    async def test_object_whose_answer_was_lost_is_read_back(self) -> None:
        self.objects.faults.lose_answers = head.PUT_ATTEMPTS
        (await self.store.accept(self.first, 0, "ilona")).unwrap()
        self.assertEqual(self.objects.writes, 1)

    async def test_objects_that_never_arrive_accept_nothing(self) -> None:
        async def lose(
            name: str, data: bytes
        ) -> Result[None, platform.AlreadyExists]:
            self.objects.writes += 1
            raise exceptions.StoreOutcomeUnknown("the put is delayed")

        self.objects.put_if_absent = lose  # type: ignore[method-assign]
        with self.assertRaises(exceptions.StoreUnavailable):
            await self.store.accept(self.first, 0, "ilona")
        self.assertEqual(self.objects.writes, head.PUT_ATTEMPTS)
        self.assertEqual(await self.store.read(), head.NO_HEAD)

    async def test_table_down_accepts_nothing(self) -> None:
        self.table.faults.refuse_writes = 1
        with self.assertRaises(exceptions.StoreUnavailable):
            await self.store.accept(self.first, 0, "ilona")
        self.assertEqual(await self.store.read(), head.NO_HEAD)

    async def test_conflict_is_reported_without_its_documents(self) -> None:
        (await self.store.accept(self.first, 0, "ilona")).unwrap()
        self.objects.blobs.clear()
        conflict = (await self.store.accept(self.second, 0, "x")).unwrap_err()
        self.assertEqual(conflict.head.generation, 1)
        self.assertEqual(conflict.changes, ())

    async def test_corrupt_object_is_never_returned(self) -> None:
        accepted = (await self.store.accept(self.first, 0, "a")).unwrap()
        name = f"config/{accepted.digest}"
        packed = self.objects.blobs[name]
        for data in (zlib.compress(self.second), packed[:-1], b"", b"{}"):
            with self.subTest(data[:2]):
                self.objects.blobs[name] = data
                with self.assertRaises(head.CorruptObject):
                    await self.store.load(accepted.digest)

    async def test_object_that_unpacks_to_too_much(self) -> None:
        accepted = (await self.store.accept(self.first, 0, "a")).unwrap()
        with mock.patch.object(head, "MAX_DOCUMENT_BYTES", 100):
            with self.assertRaises(head.CorruptObject):
                await self.store.load(accepted.digest)

    async def test_corrupt_object_is_not_accepted_again(self) -> None:
        digest = compiler.digest_of(self.first)
        packed = zlib.compress(self.first)
        self.objects.blobs[f"config/{digest}"] = packed[:-1]
        with self.assertRaises(head.CorruptObject):
            await self.store.accept(self.first, 0, "a")
        self.assertEqual(await self.store.read(), head.NO_HEAD)

    async def test_missing_object(self) -> None:
        accepted = (await self.store.accept(self.first, 0, "a")).unwrap()
        self.objects.blobs.clear()
        self.assertIsNone(await self.store.load(accepted.digest))
        with self.assertRaises(head.CorruptObject):
            await self.store.load_document(accepted)

    async def test_corrupt_head_row(self) -> None:
        write = platform.Put(head.HEAD_KEY, '{"generation": "x"}', 0)
        (await self.table.transact([write], "w")).unwrap()
        with self.assertRaises(head.CorruptHead):
            await self.store.read()

    async def test_document_of_another_release(self) -> None:
        accepted = (await self.store.accept(b'{"z": 1}', 0, "a")).unwrap()
        with self.assertRaisesRegex(compiler.InvalidDocument, "'z'"):
            await self.store.load_document(accepted)
