"""Tests of resolving transactions whose answer was lost."""

import unittest

from hypothesis import stateful
from hypothesis import strategies
from result import Err
from result import Ok

from limpetwalk import exceptions
from limpetwalk.providers import base
from limpetwalk.providers import memory
from limpetwalk.providers import settle

from ... import state_machines
from .. import stepped

KEY = base.RowKey("p", "row")
OTHER = base.RowKey("p", "other")


class TransactSettledTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = memory.MemoryTable()

    async def test_overwritten_row_leaves_the_outcome_unknown(self):
        async def overwrite(_):
            self.table.faults.after = None
            for expect in (1, 2):
                self.table.rows.transact([base.Put(KEY, "", expect)], "x")

        self.table.faults.after = overwrite
        self.table.faults.lose_answers = 1
        with self.assertRaises(exceptions.StoreOutcomeUnknown):
            await settle.transact_settled(
                self.table, [base.Put(KEY, "", 0)], "w"
            )

    async def test_store_that_goes_down_leaves_the_outcome_unknown(self):
        async def go_down(_):
            self.table.faults.unavailable = True

        self.table.faults.after = go_down
        self.table.faults.lose_answers = 1
        with self.assertRaises(exceptions.StoreOutcomeUnknown):
            await settle.transact_settled(
                self.table, [base.Put(KEY, "", 0)], "w"
            )

    async def test_late_first_copy_that_precedes_the_second_is_detected(self):
        put = base.Put(KEY, "", 0)

        async def lose_then_apply(operation):
            if operation != "transact":
                return
            if self.table.writes == 1:
                raise exceptions.StoreOutcomeUnknown("write in transit")
            self.table.rows.transact([put], "w")

        self.table.faults.before = lose_then_apply
        outcome = await settle.transact_settled(self.table, [put], "w")
        self.assertEqual(Ok(None), outcome)

    async def test_store_that_is_down_is_unavailable(self):
        self.table.faults.unavailable = True
        with self.assertRaises(exceptions.StoreUnavailable):
            await settle.transact_settled(
                self.table, [base.Put(KEY, "", 0)], "w"
            )


class Transaction:
    """A transaction in progress, and the outcome its caller received."""

    def __init__(self, write_id):
        self.write_id = write_id
        self.process = stepped.Process()
        self.outcome = None


class SettleMachine(stateful.RuleBasedStateMachine):
    """Runs transactions on one row and checks the reported outcomes."""

    def __init__(self):
        super().__init__()
        self.rows = memory.Rows()
        self.applied = set()
        self.late = []
        self.transactions = []
        self.rows.transact = self.transact

    def transact(self, writes, write_id):
        outcome = memory.Rows.transact(self.rows, writes, write_id)
        if outcome.is_ok():
            assert write_id not in self.applied, "applied twice"
            self.applied.add(write_id)
        return outcome

    async def settle(self, transaction, writes):
        table = stepped.SteppedTable(self.rows, self.late)
        transaction.outcome = await settle.transact_settled(
            table, writes, transaction.write_id
        )

    @stateful.rule(with_check=strategies.booleans())
    def start(self, with_check):
        row = self.rows.get(KEY)
        other = self.rows.get(OTHER)
        writes = [base.Put(KEY, "", 0 if row is None else row.version)]
        if with_check:
            version = 0 if other is None else other.version
            writes.insert(0, base.Check(OTHER, version))
        transaction = Transaction(f"w{len(self.transactions)}")
        self.transactions.append(transaction)
        transaction.process.start(self.settle(transaction, writes))

    @stateful.precondition(lambda self: self.transactions)
    @stateful.rule(
        index=strategies.integers(0, 9), deliveries=stepped.DELIVERIES
    )
    def step(self, index, deliveries):
        recent = self.transactions[-3:]
        process = recent[index % len(recent)].process
        for delivery in deliveries:
            if not process.idle:
                process.step(delivery)

    @stateful.rule()
    def change_other(self):
        row = self.rows.get(OTHER)
        version = 0 if row is None else row.version
        self.rows.transact([base.Put(OTHER, "", version)], f"o{version}")

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(index=strategies.integers(0, 9))
    def deliver_late(self, index):
        stepped.deliver(self.rows, self.late, index)

    @stateful.invariant()
    def reported_outcomes_are_true(self):
        for transaction in self.transactions:
            applied = transaction.write_id in self.applied
            if isinstance(transaction.outcome, Ok):
                assert applied, "reported as applied, was not"
            elif isinstance(transaction.outcome, Err):
                assert not applied, "reported as conflict, was applied"
            failure = transaction.process.failure
            if isinstance(failure, exceptions.StoreUnavailable):
                assert not applied, "reported as unavailable, was applied"


SettleMachineTest = state_machines.make_case(SettleMachine, 200, 30)
