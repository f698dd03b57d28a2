"""Tests of leases."""

import itertools
import unittest

from hypothesis import stateful
from hypothesis import strategies
from result import Err
from result import Ok

from limpetwalk import clock
from limpetwalk import exceptions
from limpetwalk import leases
from limpetwalk.providers import base
from limpetwalk.providers import memory

from .. import state_machines
from . import stepped

ROLE = "grantor/b1"
TTL = 3.0


class LeaseManagerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.table = memory.MemoryTable()
        self.first = self.manager("n1")
        self.second = self.manager("n2")

    def manager(self, holder):
        return leases.LeaseManager(self.table, self.clock, holder)

    async def acquire(self, manager):
        return (await manager.acquire(ROLE, TTL)).unwrap()

    async def test_held_role_is_refused_until_the_margin_has_passed(self):
        lease = await self.acquire(self.first)
        self.clock.advance(TTL + leases.CLOCK_MARGIN - 0.01)
        conflict = leases.LeaseConflict("n1", 1, lease.expires_at)
        self.assertEqual(Err(conflict), await self.second.acquire(ROLE, TTL))
        self.clock.advance(0.02)
        self.assertEqual(2, (await self.acquire(self.second)).fencing)

    async def test_renewal_extends_and_keeps_the_fencing_number(self):
        lease = await self.acquire(self.first)
        self.clock.advance(2.0)
        renewed = (await self.first.renew(lease)).unwrap()
        self.assertEqual(1, renewed.fencing)
        self.assertEqual(self.clock.wall() + TTL, renewed.expires_at)

    async def test_holder_paused_past_its_lease_can_not_renew(self):
        lease = await self.acquire(self.first)
        self.clock.advance(60.0)
        await self.acquire(self.second)
        outcome = await self.first.renew(lease)
        self.assertEqual("n2", outcome.unwrap_err().holder)

    async def test_released_role_is_free_at_once(self):
        lease = await self.acquire(self.first)
        self.assertEqual(Ok(None), await self.first.release(lease))
        self.assertEqual(2, (await self.acquire(self.second)).fencing)

    async def test_release_after_a_takeover_leaves_the_new_holder(self):
        lease = await self.acquire(self.first)
        self.clock.advance(60.0)
        new_lease = await self.acquire(self.second)
        outcome = await self.first.release(lease)
        self.assertEqual("n2", outcome.unwrap_err().holder)
        self.assertTrue((await self.second.renew(new_lease)).is_ok())

    async def test_guard_fails_after_a_takeover(self):
        lease = await self.acquire(self.first)
        self.clock.advance(60.0)
        await self.acquire(self.second)
        put = base.Put(base.RowKey("work", "1"), "{}", 0)
        outcome = await self.table.transact([lease.guard(), put], "w")
        self.assertTrue(outcome.is_err())

    async def test_lost_answers_are_resolved(self):
        for renew in (False, True):
            with self.subTest(renew=renew):
                self.table.faults.lose_answers = 1
                lease = await self.acquire(self.first)
                if renew:
                    self.table.faults.lose_answers = 1
                    lease = (await self.first.renew(lease)).unwrap()
                self.assertTrue((await self.first.renew(lease)).is_ok())

    async def test_lost_answer_to_a_release_is_resolved(self):
        lease = await self.acquire(self.first)
        self.table.faults.lose_answers = 1
        self.assertEqual(Ok(None), await self.first.release(lease))
        self.assertEqual(2, (await self.acquire(self.second)).fencing)

    async def test_store_outage_is_reported(self):
        lease = await self.acquire(self.first)
        self.table.faults.unavailable = True
        for call in (
            self.first.acquire(ROLE, TTL),
            self.first.renew(lease),
            self.first.release(lease),
        ):
            with self.assertRaises(exceptions.StoreUnavailable):
                await call


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Two holders that write under a lease, with faults at any step."""

    NODES = 2

    def __init__(self):
        super().__init__()
        self.rows = memory.Rows()
        self.late = []
        self.clock = clock.ManualClock()
        self.written = 0
        self.processes = [stepped.Process() for _ in range(self.NODES)]
        self.boots = 0

    async def work(self, holder):
        table = stepped.SteppedTable(self.rows, self.late)
        manager = leases.LeaseManager(table, self.clock, holder)
        outcome = await manager.acquire(ROLE, TTL)
        while isinstance(outcome, Ok):
            lease = outcome.ok_value
            await self.write(table, lease)
            if await stepped.pause("renew or leave") is None:
                await manager.release(lease)
                return
            outcome = await manager.renew(lease)

    async def write(self, table, lease):
        """Write a new row, so that only the guard can reject the write."""
        self.written += 1
        key = base.RowKey("work", f"{self.written}")
        value = f"{lease.fencing} {lease.holder}"
        await table.transact([lease.guard(), base.Put(key, value, 0)], "w")

    @stateful.rule(node=strategies.integers(0, NODES - 1))
    def start(self, node):
        """Start a process and run it up to the write of the lease."""
        if self.processes[node].idle:
            self.boots += 1
            self.processes[node].start(self.work(f"n{node}.{self.boots}"))
            self.processes[node].step(stepped.Delivery.DELIVERED)

    @stateful.rule(
        node=strategies.integers(0, NODES - 1),
        deliveries=stepped.DELIVERIES,
        leave=strategies.booleans(),
    )
    def step(self, node, deliveries, leave):
        process = self.processes[node]
        for delivery in deliveries:
            if process.idle:
                return
            leaves = process.point == "renew or leave" and leave
            process.step(None if leaves else delivery)

    @stateful.rule(
        node=strategies.integers(0, NODES - 1),
        steps=strategies.integers(1, 4),
    )
    def run_on(self, node, steps):
        for _ in range(steps):
            if not self.processes[node].idle:
                self.processes[node].step(stepped.Delivery.DELIVERED)

    @stateful.rule(node=strategies.integers(0, NODES - 1))
    def crash(self, node):
        self.processes[node].crash()

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(index=strategies.integers(0, 9))
    def deliver_late(self, index):
        stepped.deliver(self.rows, self.late, index)

    @stateful.rule(seconds=strategies.sampled_from([5.0, 1.0]))
    def advance(self, seconds):
        self.clock.advance(seconds)

    @stateful.invariant()
    def fenced_writes_are_in_order(self):
        # Rows of a partition are in the order of their first writes.
        log = [row.value.split() for row in self.rows.in_write_order("work")]
        numbers = [int(fencing) for fencing, _ in log]
        assert numbers == sorted(numbers), log
        holders = dict(map(tuple, log))
        assert all(holders[fencing] == by for fencing, by in log), log


LeaseMachineTest = state_machines.make_case(LeaseMachine, 200, 40)


class InterleavingTest(unittest.TestCase):
    """Every order of the steps of two holders, with each fault at each step.

    Between any two steps, time advances beyond the end of the lease.
    """

    STEPS = 7

    def test_fenced_writes_are_in_order(self):
        # The holders are interchangeable, so holder 0 goes first.
        for rest in itertools.product((0, 1), repeat=self.STEPS - 1):
            for at in range(self.STEPS):
                for fault in stepped.Delivery:
                    self.check((0, *rest), at, fault)

    def check(self, order, at, fault):
        machine = LeaseMachine()
        for node in (0, 1):
            machine.processes[node].start(machine.work(f"n{node}"))
        for number, node in enumerate(order):
            delivery = fault if number == at else stepped.Delivery.DELIVERED
            machine.step(node, [delivery], False)
            machine.deliver_late(0)
            machine.advance(TTL + leases.CLOCK_MARGIN)
        with self.subTest(order=order, at=at, fault=fault):
            machine.fenced_writes_are_in_order()
