"""Tests of the records of non-idempotent requests."""

import itertools
import unittest

from hypothesis import stateful
from hypothesis import strategies
from result import Err

from limpetwalk import clock
from limpetwalk import exceptions
from limpetwalk.backends import base as backends
from limpetwalk.providers import memory
from limpetwalk.records import answer_bodies
from limpetwalk.records import base
from limpetwalk.records import rows
from limpetwalk.records import store

from ... import state_machines
from .. import stepped

State = base.RecordState
IDENT = base.RecordIdent("lodge", "key-1", "digest")
ANSWER = backends.ServiceAnswer(201, b"\x00done", {"Content-Type": "text/x"})
TTL = 3600.0


class TableRecordStoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.table = memory.MemoryTable()
        self.objects = memory.MemoryObjects()
        self.lost_holders = set()
        self.first = self.store("n1")
        self.second = self.store("n2")

    def store(self, holder):
        return store.TableRecordStore(
            self.table,
            self.clock,
            holder,
            lambda name: name not in self.lost_holders,
            lambda: TTL,
            self.objects,
        )

    async def test_each_write_uses_the_configured_lifetime(self):
        lifetime = 60.0
        record_store = store.TableRecordStore(
            self.table, self.clock, "n1", lambda name: True, lambda: lifetime
        )
        record = await self.claimed(record_store)
        lifetime = 600.0
        (await record_store.dispatch(record, "a1", "s1")).unwrap()
        row = await self.table.get(rows.row_key(IDENT.workspace, IDENT.key))
        self.assertEqual(self.clock.wall() + 600.0, row.expires_at)

    async def claimed(self, record_store, request_id="r1"):
        outcome = await record_store.claim(IDENT, request_id)
        self.assertIsInstance(outcome, base.Claimed)
        return outcome.record

    async def dispatched(self, record_store):
        record = await self.claimed(record_store)
        return (await record_store.dispatch(record, "a1", "s1")).unwrap()

    async def read(self):
        return await self.first.read(IDENT.workspace, IDENT.key)

    async def test_record_goes_from_claim_to_answer(self):
        record = await self.dispatched(self.first)
        record = (await self.first.answer(record, ANSWER)).unwrap()
        read = await self.second.read(IDENT.workspace, IDENT.key)
        self.assertEqual(record, read)
        self.assertEqual(
            (State.ANSWERED, "r1", "a1", "s1", ANSWER),
            (
                read.state,
                read.request_id,
                read.attempt_id,
                read.server,
                read.answer,
            ),
        )

    async def test_claim_of_a_used_key_returns_its_record(self):
        record = await self.claimed(self.first)
        outcome = await self.second.claim(IDENT, "r2")
        self.assertEqual(base.Existing(record), outcome)
        record = (await self.first.dispatch(record, "a1", "s1")).unwrap()
        outcome = await self.second.claim(IDENT, "r2")
        self.assertEqual(base.Existing(record), outcome)

    async def test_another_body_under_the_key_is_refused(self):
        await self.claimed(self.first)
        other = base.RecordIdent(IDENT.workspace, IDENT.key, "other")
        self.lost_holders.add("n1")
        outcome = await self.second.claim(other, "r2")
        self.assertEqual(base.KeyReused(), outcome)

    async def test_workspaces_do_not_share_keys(self):
        await self.claimed(self.first)
        other = base.RecordIdent("nuts", IDENT.key, "other")
        outcome = await self.second.claim(other, "r2")
        self.assertIsInstance(outcome, base.Claimed)

    async def test_claim_of_a_lost_node_is_taken_over(self):
        record = await self.claimed(self.first)
        self.lost_holders.add("n1")
        new_claim = await self.claimed(self.second, "r2")
        lost_claim = (
            await self.first.dispatch(record, "a1", "s1")
        ).unwrap_err()
        self.assertEqual(new_claim, lost_claim.record)

    async def test_claim_left_by_a_live_node_is_taken_over_late(self):
        await self.claimed(self.first)
        self.clock.advance(store.CLAIM_TTL - 1)
        outcome = await self.second.claim(IDENT, "r2")
        self.assertIsInstance(outcome, base.Existing)
        self.clock.advance(1)
        await self.claimed(self.second, "r2")

    async def test_dispatched_record_of_a_lost_node_is_never_claimed(self):
        await self.dispatched(self.first)
        self.lost_holders.add("n1")
        self.clock.advance(TTL / 2)
        outcome = await self.second.claim(IDENT, "r2")
        self.assertEqual(State.DISPATCHED, outcome.record.state)
        await self.second.finish(outcome.record, State.UNKNOWN)
        outcome = await self.second.claim(IDENT, "r2")
        self.assertEqual(State.UNKNOWN, outcome.record.state)

    async def test_only_the_dispatching_node_can_say_not_run(self):
        record = await self.dispatched(self.first)
        lost_claim = Err(base.LostClaim(record))
        self.assertEqual(lost_claim, await self.second.release(record))
        outcome = await self.second.finish(record, State.NOT_RUN)
        self.assertEqual(lost_claim, outcome)
        self.assertEqual(State.DISPATCHED, (await self.read()).state)

    async def test_answer_after_another_node_gave_up_is_kept(self):
        record = await self.dispatched(self.first)
        await self.second.finish(record, State.UNKNOWN)
        self.assertTrue((await self.first.answer(record, ANSWER)).is_ok())
        self.assertEqual(ANSWER, (await self.read()).answer)

    async def test_lost_dispatch_is_answered_from_the_server_outcome(self):
        await self.dispatched(self.first)
        current = await self.second.read(IDENT.workspace, IDENT.key)
        self.assertTrue((await self.second.answer(current, ANSWER)).is_ok())
        self.assertEqual(State.ANSWERED, (await self.read()).state)

    async def test_unsent_attempt_is_released_and_dispatched_again(self):
        record = await self.dispatched(self.first)
        record = (await self.first.release(record)).unwrap()
        self.assertEqual((State.CLAIMED, ""), (record.state, record.server))
        record = (await self.first.dispatch(record, "a2", "s2")).unwrap()
        self.assertEqual("a2", record.attempt_id)

    async def test_request_that_did_not_run_may_be_claimed_again(self):
        record = await self.dispatched(self.first)
        await self.first.finish(record, State.NOT_RUN)
        await self.claimed(self.second, "r2")

    async def test_dispatch_that_applied_unknown_is_closed_as_not_run(self):
        async def go_down(_):
            self.table.faults.unavailable = True

        record = await self.claimed(self.first)
        self.table.faults.after = go_down
        self.table.faults.lose_answers = 1
        with self.assertRaises(exceptions.StoreUnavailable):
            await self.first.dispatch(record, "a1", "s1")
        self.table.faults = memory.Faults()
        self.assertEqual(State.DISPATCHED, (await self.read()).state)
        outcome = await self.first.finish(record, State.NOT_RUN)
        self.assertTrue(outcome.is_ok())
        self.assertEqual(State.NOT_RUN, (await self.read()).state)

    async def test_dispatch_of_another_node_is_not_closed_as_not_run(self):
        record = await self.claimed(self.first)
        await self.first.dispatch(record, "a1", "s1")
        outcome = await self.second.finish(record, State.NOT_RUN)
        self.assertTrue(outcome.is_err())
        self.assertEqual(State.DISPATCHED, (await self.read()).state)

    async def test_changes_from_a_wrong_state_are_errors(self):
        record = await self.claimed(self.first)
        for change in (
            self.first.answer(record, ANSWER),
            self.first.release(record),
            self.first.finish(record, State.ANSWERED),
        ):
            with self.assertRaises(ValueError):
                await change

    async def test_expired_record_is_claimed_again(self):
        await self.dispatched(self.first)
        self.clock.advance(TTL + 1)
        await self.claimed(self.second, "r2")

    async def test_lost_answers_are_resolved(self):
        self.table.faults.lose_answers = 1
        record = await self.claimed(self.first)
        self.table.faults.lose_answers = 1
        record = (await self.first.dispatch(record, "a1", "s1")).unwrap()
        self.table.faults.lose_answers = 1
        self.assertTrue((await self.first.answer(record, ANSWER)).is_ok())

    async def test_store_down_stops_each_move(self):
        record = await self.claimed(self.first)
        self.table.faults.unavailable = True
        for change in (
            self.first.claim(IDENT, "r2"),
            self.first.dispatch(record, "a1", "s1"),
            self.first.finish(record, State.NOT_RUN),
            self.first.read(IDENT.workspace, IDENT.key),
        ):
            with self.assertRaises(exceptions.StoreUnavailable):
                await change
        self.table.faults.unavailable = False
        self.assertEqual(State.CLAIMED, (await self.read()).state)

    async def test_unused_key_has_no_record(self):
        self.assertIsNone(await self.read())

    async def test_large_answer_is_in_the_object_store(self):
        body = b"x" * (answer_bodies.INLINE_LIMIT_BYTES + 1)
        large = backends.ServiceAnswer(200, body)
        record = await self.dispatched(self.first)
        await self.first.answer(record, large)
        self.assertEqual(large, (await self.read()).answer)
        self.assertEqual(1, len(self.objects.blobs))

    async def test_large_answer_can_be_stored_after_an_outage(self):
        record = await self.dispatched(self.first)
        self.objects.faults.unavailable = True
        large = backends.ServiceAnswer(200, b"x" * 300_000)
        with self.assertRaises(exceptions.StoreUnavailable):
            await self.first.answer(record, large)
        self.objects.faults.unavailable = False
        self.assertTrue((await self.first.answer(record, large)).is_ok())


class RecordMachine(stateful.RuleBasedStateMachine):
    """Nodes that serve copies of one request, under arbitrary faults.

    The test also plays the backend server: after a dispatch it answers,
    proves that nothing was sent, or leaves the outcome unknown.
    """

    NODES = 2

    def __init__(self):
        super().__init__()
        self.rows = memory.Rows()
        self.late = []
        self.clock = clock.ManualClock()
        self.live = set()
        self.holders = [""] * self.NODES
        self.processes = [stepped.Process() for _ in range(self.NODES)]
        self.name_count = 0
        # Attempts that were sent, at least in part, and may have run.
        self.sent = []

    def name(self, prefix):
        self.name_count += 1
        return f"{prefix}.{self.name_count}"

    def store(self, holder):
        return store.TableRecordStore(
            stepped.SteppedTable(self.rows, self.late),
            self.clock,
            holder,
            lambda name: name in self.live,
            lambda: TTL,
        )

    async def serve(self, holder):
        record_store = self.store(holder)
        outcome = await record_store.claim(IDENT, f"r-{holder}")
        if not isinstance(outcome, base.Claimed):
            return
        record = outcome.record
        while True:
            attempt = self.name("a")
            try:
                dispatch = await record_store.dispatch(record, attempt, "s1")
            except exceptions.StoreUnavailable:
                await record_store.finish(record, State.NOT_RUN)
                return
            if isinstance(dispatch, Err):
                return
            self.sent.append(attempt)
            delivery = await stepped.pause("backend")
            if delivery is not stepped.Delivery.REFUSED:
                break
            self.sent.remove(attempt)
            released = await record_store.release(dispatch.ok_value)
            if isinstance(released, Err):
                return
            record = released.ok_value
        if delivery is stepped.Delivery.DELIVERED:
            await record_store.answer(dispatch.ok_value, ANSWER)
        else:
            await record_store.finish(dispatch.ok_value, State.UNKNOWN)

    @stateful.rule(
        node=strategies.integers(0, NODES - 1),
        steps=strategies.sampled_from([3, 2, 1, 0]),
    )
    def start(self, node, steps):
        """Start a node; it needs two steps to reach its dispatch."""
        if not self.processes[node].idle:
            return
        self.live.discard(self.holders[node])
        self.holders[node] = self.name(f"n{node}")
        self.live.add(self.holders[node])
        self.processes[node].start(self.serve(self.holders[node]))
        self.step(node, [stepped.Delivery.DELIVERED] * steps)

    @stateful.rule(
        node=strategies.integers(0, NODES - 1), deliveries=stepped.DELIVERIES
    )
    def step(self, node, deliveries):
        for delivery in deliveries:
            if not self.processes[node].idle:
                self.processes[node].step(delivery)

    @stateful.rule(
        node=strategies.integers(0, NODES - 1), crashed=strategies.booleans()
    )
    def lose(self, node, crashed):
        """Treat a node as lost; it has crashed or is only paused."""
        if crashed:
            self.processes[node].crash()
        self.live.discard(self.holders[node])

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(index=strategies.integers(0, 9))
    def deliver_late(self, index):
        stepped.deliver(self.rows, self.late, index)

    @stateful.rule()
    def advance(self):
        self.clock.advance(store.CLAIM_TTL)

    @stateful.invariant()
    def request_is_sent_at_most_once(self):
        assert len(self.sent) <= 1, self.sent

    @stateful.invariant()
    def sent_request_is_not_shown_as_unsent(self):
        read = self.store("reader").read(IDENT.workspace, IDENT.key)
        record = stepped.run(read)
        if self.sent:
            assert record.state not in (State.CLAIMED, State.NOT_RUN)


RecordMachineTest = state_machines.make_case(RecordMachine, 200, 30)


class InterleavingTest(unittest.TestCase):
    """Every order of the steps of two nodes, with one fault at any step."""

    STEPS = 8

    def cases(self):
        # The nodes are interchangeable, so node 0 always goes first.
        for rest in itertools.product((0, 1), repeat=self.STEPS - 1):
            order = (0, *rest)
            yield order, 0, stepped.Delivery.DELIVERED
            for fault_step in range(self.STEPS):
                for delivery in stepped.Delivery:
                    if delivery is not stepped.Delivery.DELIVERED:
                        yield order, fault_step, delivery

    def test_request_is_sent_at_most_once(self):
        for order, fault_step, fault in self.cases():
            world = RecordMachine()
            for node in (0, 1):
                # Each node treats the other as lost.
                world.start(node, 0)
                world.lose(node, False)
            for number, node in enumerate(order + (0, 1) * self.STEPS):
                delivery = (
                    fault
                    if number == fault_step
                    else stepped.Delivery.DELIVERED
                )
                world.step(node, [delivery])
                world.deliver_late(0)
                if len(world.sent) > 1:
                    self.fail(f"sent twice: {order} {fault_step} {fault}")
            self.assertTrue(all(process.idle for process in world.processes))
            world.sent_request_is_not_shown_as_unsent()
