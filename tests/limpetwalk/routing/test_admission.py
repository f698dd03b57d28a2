"""Tests of admission: queue, refusals, cold servers, suspected requests."""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies

from limpetwalk import clock as clocks
from limpetwalk import refusals
from limpetwalk.conf import snapshot
from limpetwalk.routing import admission
from limpetwalk.routing import cold_permits
from tests.limpetwalk.backends import backend_fixtures

from . import fakes

Reason = refusals.Reason
FIXED = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, database=None
)


def _slot_request(
    site: fakes.Site, priority: int = 1, timeout: float = 10.0, **values
):
    deadline = site.clock.monotonic() + timeout
    return admission.SlotRequest(
        backend_fixtures.VERSION, priority, deadline, **values
    )


class QueueTest(unittest.IsolatedAsyncioTestCase):
    async def fill(self, site: fakes.Site) -> list[admission.Slot]:
        admission_control = site.core.admission
        count = len(site.clients) * 4
        return [
            await admission_control.acquire(_slot_request(site))
            for _ in range(count)
        ]

    async def wait(self, site: fakes.Site, *requests) -> list[asyncio.Task]:
        before = site.core.admission.waiting
        tasks = [
            asyncio.create_task(site.core.admission.acquire(request))
            for request in requests
        ]
        while site.core.admission.waiting < before + len(requests):
            await asyncio.sleep(0)
        return tasks

    async def test_slots_are_granted_by_priority_then_by_deadline(self):
        site = fakes.Site(count=1)
        slots = await self.fill(site)
        tasks = await self.wait(
            site,
            _slot_request(site, 2, 5.0),
            _slot_request(site, 1, 9.0),
            _slot_request(site, 1, 7.0),
            _slot_request(site, 0, 9.9),
        )
        order = []
        for slot in slots:
            site.core.admission.release(slot)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            order.append([task.done() for task in tasks])
        self.assertEqual(
            [
                [False, False, False, True],
                [False, False, True, True],
                [False, True, True, True],
                [True, True, True, True],
            ],
            order,
        )

    async def test_a_full_queue_refuses_the_least_urgent(self):
        site = fakes.Site(count=1, tuning=snapshot.Tuning(queue_length=2))
        slots = await self.fill(site)
        tasks = await self.wait(
            site, _slot_request(site, 1), _slot_request(site, 2)
        )
        with self.assertRaises(refusals.Refused) as caught:
            await site.core.admission.acquire(_slot_request(site, 2, 11.0))
        self.assertIs(Reason.QUEUE_FULL, caught.exception.refusal.reason)
        urgent = asyncio.create_task(
            site.core.admission.acquire(_slot_request(site, 0))
        )
        with self.assertRaises(refusals.Refused) as caught:
            await tasks[1]
        self.assertIs(Reason.QUEUE_FULL, caught.exception.refusal.reason)
        for slot in slots[:2]:
            site.core.admission.release(slot)
        await asyncio.gather(urgent, tasks[0])

    async def test_a_deadline_that_cannot_be_met_is_refused_early(self):
        clock = clocks.ManualClock()
        site = fakes.Site(count=1, clock=clock)
        admission_control = site.core.admission
        for _ in range(3):
            slot = await admission_control.acquire(_slot_request(site))
            clock.advance(8.0)
            slot.answered = True
            admission_control.release(slot)
        with self.assertRaises(refusals.Refused) as caught:
            await admission_control.acquire(_slot_request(site, timeout=1.0))
        refusal = caught.exception.refusal
        self.assertIs(Reason.DEADLINE_TOO_SHORT, refusal.reason)
        self.assertIs(refusals.RunState.NOT_RUN, refusal.run_state)
        await admission_control.acquire(_slot_request(site, timeout=5.0))

    async def test_a_request_whose_deadline_passes_in_the_queue_is_not_run(
        self,
    ):
        site = fakes.Site(count=1)
        await self.fill(site)
        with self.assertRaises(refusals.Refused) as caught:
            await site.core.admission.acquire(
                _slot_request(site, timeout=0.01)
            )
        refusal = caught.exception.refusal
        self.assertIs(Reason.DEADLINE_EXCEEDED, refusal.reason)
        self.assertIs(refusals.RunState.NOT_RUN, refusal.run_state)
        self.assertEqual(0, site.core.admission.waiting)

    async def test_a_cancelled_request_in_the_queue_takes_no_slot(self):
        site = fakes.Site(count=1)
        slots = await self.fill(site)
        (task,) = await self.wait(site, _slot_request(site))
        site.core.admission.release(slots[0])
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(3, site.replica("s0").in_flight)

    async def test_the_node_stays_within_its_share_of_the_concurrency(self):
        site = fakes.Site(count=1, concurrency=9, nodes=3)
        admission_control = site.core.admission
        for _ in range(3):
            await admission_control.acquire(_slot_request(site))
        with self.assertRaises(refusals.Refused):
            await admission_control.acquire(_slot_request(site, timeout=0.01))


class ColdTest(unittest.IsolatedAsyncioTestCase):
    @FIXED
    @hypothesis.given(
        allowance=strategies.integers(0, 6),
        steps=strategies.lists(strategies.booleans(), max_size=40),
    )
    def test_a_cold_server_gets_no_more_than_its_allowance(
        self, allowance, steps
    ):
        asyncio.run(self._steps(allowance, steps))

    async def _steps(self, allowance: int, steps: list[bool]) -> None:
        site = fakes.Site(
            count=1,
            concurrency=100,
            warmup_limits=snapshot.WarmUp(allowance, 60.0),
            clock=clocks.ManualClock(),
        )
        admission_control = site.core.admission
        slots: list[admission.Slot] = []
        for is_start in steps:
            if not is_start:
                if slots:
                    admission_control.release(slots.pop())
                continue
            slot = admission_control.try_acquire(_slot_request(site))
            if slot is not None:
                slots.append(slot)
            self.assertLessEqual(len(slots), allowance)
            self.assertEqual(len(slots), site.replica("s0").in_flight)
        for slot in slots:
            admission_control.release(slot)
        again = [
            admission_control.try_acquire(_slot_request(site))
            for _ in range(allowance)
        ]
        self.assertNotIn(None, again)

    async def test_a_warm_server_that_restarts_counts_as_cold(self):
        clock = clocks.ManualClock()
        site = fakes.Site(
            count=1,
            concurrency=100,
            warmup_limits=snapshot.WarmUp(1, 60.0),
            clock=clock,
        )
        admission_control = site.core.admission
        slot = await admission_control.acquire(_slot_request(site))
        site.core.record_answer(slot, "")
        admission_control.release(slot)
        clock.advance(61.0)
        slots = [
            admission_control.try_acquire(_slot_request(site))
            for _ in range(5)
        ]
        self.assertNotIn(None, slots)
        site.clients["s0"].boot_id = "s0-boot-2"
        site.core.record_answer(slots[0], "")
        self.assertIsNotNone(
            admission_control.try_acquire(_slot_request(site))
        )
        self.assertIsNone(admission_control.try_acquire(_slot_request(site)))

    async def test_a_permit_limits_the_deadline_of_its_request(self):
        class Expiring(cold_permits.LocalPermits):
            def try_acquire(self, server, boot_id):
                permit = super().try_acquire(server, boot_id)
                return permit and cold_permits.Permit(
                    permit.server, permit.boot_id, 0, 5.0
                )

        site = fakes.Site(
            count=1,
            clock=clocks.ManualClock(0.0),
            permits=Expiring(lambda: 1),
        )
        slot = site.core.admission.try_acquire(
            _slot_request(site, timeout=60.0)
        )
        self.assertEqual(5.0, slot.deadline)


class CrashSuspicionTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_replica_gets_one_suspected_request_at_a_time(self):
        site = fakes.Site(count=3)
        admission_control = site.core.admission
        slots = [
            admission_control.try_acquire(_slot_request(site, suspected=True))
            for _ in range(3)
        ]
        self.assertEqual(3, len({slot.replica.name for slot in slots}))
        self.assertIsNone(
            admission_control.try_acquire(_slot_request(site, suspected=True))
        )
        self.assertIsNotNone(
            admission_control.try_acquire(_slot_request(site))
        )
        admission_control.release(slots[0])
        self.assertIsNotNone(
            admission_control.try_acquire(_slot_request(site, suspected=True))
        )
