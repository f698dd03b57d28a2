"""Contract tests of the instance list, for the fake and the client."""

import unittest

import pydantic

from limpetwalk import clock
from limpetwalk import exceptions
from limpetwalk.providers import base
from limpetwalk.providers import http_sd
from limpetwalk.providers import memory
from limpetwalk_bench.providers import faults
from limpetwalk_bench.providers import instances

from . import harness

Fault = harness.Fault
ENTRY = base.Instance(
    "e1",
    base.InstanceKind.ENTRY,
    "127.0.0.1:7001",
    "a",
    base.InstanceState.LIVE,
    "127.0.0.1:7002",
)
BACKEND = base.Instance(
    "b1",
    base.InstanceKind.BACKEND,
    "127.0.0.1:7003",
    "b",
    base.InstanceState.LEAVING,
)


def entry(instance):
    return instances.InstanceEntry.model_validate(
        {
            "name": instance.name,
            "kind": instance.kind,
            "address": instance.address,
            "zone": instance.zone,
            "state": instance.state,
            "operators": instance.operators,
        }
    )


class InstanceContract:
    """Tests that every instance list passes."""

    instance_list: base.InstanceList
    faults: tuple[Fault, ...]

    async def set_instances(self, listed_instances):
        raise NotImplementedError

    async def set_fault(self, fault):
        raise NotImplementedError

    async def test_empty_list(self):
        self.assertEqual([], await self.instance_list.fetch())

    async def test_all_fields_of_instances_are_read(self):
        await self.set_instances([ENTRY, BACKEND])
        self.assertEqual([ENTRY, BACKEND], await self.instance_list.fetch())

    async def test_read_during_a_fault(self):
        await self.set_instances([ENTRY])
        for fault in self.faults:
            with self.subTest(fault=fault.value):
                await self.set_fault(fault)
                with self.assertRaises(exceptions.InstanceListUnavailable):
                    await self.instance_list.fetch()
                await self.set_fault(None)
                self.assertEqual([ENTRY], await self.instance_list.fetch())


class MemoryInstancesTest(InstanceContract, unittest.IsolatedAsyncioTestCase):
    faults = (Fault.DOWN,)

    async def asyncSetUp(self):
        self.instance_list = memory.MemoryInstances()

    async def set_instances(self, listed_instances):
        self.instance_list.instances = listed_instances

    async def set_fault(self, fault):
        self.instance_list.unavailable = fault is not None


class HttpInstanceListTest(InstanceContract, unittest.IsolatedAsyncioTestCase):
    faults = tuple(
        fault
        for fault in Fault
        if fault not in (Fault.ANSWER_LOST, Fault.SLOW)
    )

    async def asyncSetUp(self):
        self.remote = harness.Remote()
        await self.remote.start()
        self.addAsyncCleanup(self.remote.stop)
        cfg = self.remote.settings().instances
        self.instance_list = http_sd.HttpInstanceList(cfg)
        await self.instance_list.open()
        self.addAsyncCleanup(self.instance_list.close)

    async def set_instances(self, listed_instances):
        entries = [entry(instance) for instance in listed_instances]
        self.remote.standins.instances.update(entries, [])

    async def set_fault(self, fault):
        await self.remote.set_fault(faults.ServiceName.INSTANCES, fault)

    async def test_an_unchanged_list_is_not_sent_again(self):
        await self.set_instances([ENTRY])
        for _ in range(3):
            self.assertEqual([ENTRY], await self.instance_list.fetch())
        counts = self.remote.standins.services[
            faults.ServiceName.INSTANCES
        ].counts
        self.assertEqual(2, counts["not_modified"])
        await self.set_instances([BACKEND])
        self.assertEqual([ENTRY, BACKEND], await self.instance_list.fetch())
        self.assertEqual(2, counts["not_modified"])

    async def test_slow_read_times_out(self):
        await self.set_fault(Fault.SLOW)
        with self.assertRaises(exceptions.InstanceListUnavailable):
            await self.instance_list.fetch()


class ParseGroupsTest(unittest.TestCase):
    def test_malformed_documents_are_rejected(self):
        for text in (
            b"{}",
            b'[{"targets": [], "labels": {}}]',
            b'[{"targets": ["a:1", "a:2"], "labels": {}}]',
            b'[{"targets": ["a:1"], "labels": {"__meta_limpetwalk_name":'
            b' "e"}}]',
        ):
            with self.subTest(text=text):
                with self.assertRaises(pydantic.ValidationError):
                    http_sd.parse_groups(text)


class InstanceServiceTest(unittest.TestCase):
    def test_list_shows_changes_after_its_lag(self):
        manual_clock = clock.ManualClock()
        service = instances.InstanceService(None, manual_clock)
        service.lag = 5.0
        service.update([entry(ENTRY)], [])
        manual_clock.advance(3.0)
        service.update([], ["e1"])
        self.assertEqual([], service.visible_instances())
        manual_clock.advance(2.0)
        self.assertEqual([ENTRY], service.visible_instances())
        manual_clock.advance(3.0)
        self.assertEqual([], service.visible_instances())
