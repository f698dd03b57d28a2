"""Contract tests of the object store, for the fake and the client."""

import asyncio
import dataclasses
import unittest

from result import Err
from result import Ok

from limpetwalk import exceptions
from limpetwalk.providers import base
from limpetwalk.providers import memory
from limpetwalk.providers import s3
from limpetwalk_bench.providers import faults

from . import harness

Fault = harness.Fault


@dataclasses.dataclass(frozen=True)
class FaultCase:
    """Expected error and effect of a write during a fault."""

    fault: Fault
    error: type[exceptions.StoreError]
    stored: bool


FAULTS = [
    FaultCase(Fault.DOWN, exceptions.StoreUnavailable, False),
    FaultCase(Fault.REFUSED, exceptions.StoreUnavailable, False),
    FaultCase(Fault.ERROR, exceptions.StoreOutcomeUnknown, True),
    FaultCase(Fault.ANSWER_LOST, exceptions.StoreOutcomeUnknown, True),
]


class ObjectContract:
    """Tests that every object store passes."""

    objects: base.ObjectStore
    faults: frozenset[Fault]
    read_faults: tuple[Fault, ...]

    async def set_fault(self, fault):
        raise NotImplementedError

    async def test_absent_object_is_none(self):
        self.assertIsNone(await self.objects.get("a/absent"))

    async def test_object_is_read_as_it_was_stored(self):
        for name, data in (
            ("a/empty", b""),
            ("a/bytes", bytes(range(256))),
            ("a/large", b"x" * 1_000_000),
            ("a/name with é & <", b"1"),
        ):
            with self.subTest(name=name):
                outcome = await self.objects.put_if_absent(name, data)
                self.assertEqual(Ok(None), outcome)
                self.assertEqual(data, await self.objects.get(name))

    async def test_existing_object_keeps_its_contents(self):
        await self.objects.put_if_absent("a", b"first")
        outcome = await self.objects.put_if_absent("a", b"second")
        self.assertEqual(Err(base.AlreadyExists("a")), outcome)
        self.assertEqual(b"first", await self.objects.get("a"))

    async def test_names_are_sorted_and_start_with_the_prefix(self):
        for name in ("b/2", "b/1", "b/<é>", "c"):
            await self.objects.put_if_absent(name, b"")
        expected = ["b/1", "b/2", "b/<é>"]
        self.assertEqual(expected, await self.objects.names("b/"))
        self.assertEqual([], await self.objects.names("d"))

    async def test_write_during_a_fault(self):
        for case in FAULTS:
            if case.fault not in self.faults:
                continue
            with self.subTest(fault=case.fault.value):
                name = case.fault.value
                await self.set_fault(case.fault)
                with self.assertRaises(case.error):
                    await self.objects.put_if_absent(name, b"1")
                await self.set_fault(None)
                data = await self.objects.get(name)
                self.assertEqual(case.stored, data is not None)

    async def test_read_during_a_fault(self):
        await self.objects.put_if_absent("a", b"1")
        for fault in self.read_faults:
            with self.subTest(fault=fault.value):
                await self.set_fault(fault)
                with self.assertRaises(exceptions.StoreUnavailable):
                    await self.objects.get("a")
                with self.assertRaises(exceptions.StoreUnavailable):
                    await self.objects.names("")
                await self.set_fault(None)


class MemoryObjectsTest(ObjectContract, unittest.IsolatedAsyncioTestCase):
    faults = frozenset({Fault.DOWN, Fault.REFUSED, Fault.ANSWER_LOST})
    read_faults = (Fault.DOWN,)

    async def asyncSetUp(self):
        self.objects = memory.MemoryObjects()

    async def set_fault(self, fault):
        harness.set_memory_faults(self.objects.faults, fault)


class S3ObjectsTest(ObjectContract, unittest.IsolatedAsyncioTestCase):
    faults = frozenset(Fault)
    read_faults = (Fault.DOWN, Fault.REFUSED, Fault.ERROR)

    async def asyncSetUp(self):
        self.remote = harness.Remote()
        await self.remote.start()
        self.addAsyncCleanup(self.remote.stop)
        self.objects = await self.open(self.remote.settings().objects)

    async def open(self, cfg):
        client = s3.S3Objects(cfg)
        await client.open()
        self.addAsyncCleanup(client.close)
        return client

    async def set_fault(self, fault):
        await self.remote.set_fault(faults.ServiceName.OBJECTS, fault)

    async def test_slow_calls_time_out(self):
        await self.set_fault(Fault.SLOW)
        write, read, names = await asyncio.gather(
            self.objects.put_if_absent("a", b"1"),
            self.objects.get("a"),
            self.objects.names(""),
            return_exceptions=True,
        )
        self.assertIsInstance(write, exceptions.StoreOutcomeUnknown)
        self.assertIsInstance(read, exceptions.StoreUnavailable)
        self.assertIsInstance(names, exceptions.StoreUnavailable)

    async def test_names_span_several_pages_of_the_service(self):
        blobs = self.remote.standins.objects.blobs
        expected = [f"{number:04d}" for number in range(1001)]
        blobs.update(dict.fromkeys(expected, b""))
        self.assertEqual(expected, await self.objects.names(""))

    async def test_weight_store_beyond_its_rate_is_unavailable(self):
        ports = self.remote.standins.ports()
        cfg = self.remote.settings().objects.model_copy(
            update={"endpoint": f"http://127.0.0.1:{ports['weights']}"}
        )
        weights = await self.open(cfg)
        # Allows one read an hour, and one at the start.
        self.remote.standins.weights.rate = 1 / 3600
        self.assertTrue(await weights.get("model/version"))
        with self.assertRaises(exceptions.StoreUnavailable):
            await weights.get("model/version")
