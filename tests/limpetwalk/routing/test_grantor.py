"""Property test: a cold server is never sent more than its allowance.

Nodes, grantors that take over or pause, lost replies and late replies are
interleaved at will. The sum of what all nodes have in flight is the witness.
"""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from limpetwalk import clock as clocks
from limpetwalk.conf import snapshot
from limpetwalk.routing import grantor
from limpetwalk.routing import warmup
from tests.limpetwalk.backends import sites

NODES = 3
TTL = 10.0
LEASE = 4.0
BOOTS = ("b1", "b2")


class _Node:
    """Node with its permits, and what it has in flight."""

    def __init__(self, name: str, clock: clocks.Clock, asks: list) -> None:
        self.permits = warmup.PooledPermits(
            warmup.LocalPermits(lambda: NODES, warmup.LOCAL_PART),
            lambda server, boot_id, count: asks.append(
                (name, boot_id, count, clock.monotonic())
            ),
            lambda server, boot_id, count: None,
            clock,
            least_life=0.0,
        )
        self.in_flight: list[warmup.Permit] = []


class PermitMachine(stateful.RuleBasedStateMachine):
    """One cold server, three nodes, any number of grantors in turn."""

    @stateful.initialize(allowance=strategies.integers(0, 14))
    def begin(self, allowance):
        self.clock = clocks.ManualClock()
        self.allowance = allowance
        self.server = sites.server(
            "s1", 1, warmup=snapshot.WarmUp(allowance, 60.0)
        )
        self.asks: list = []
        self.replies: list = []
        self.nodes = [_Node(f"n{i}", self.clock, self.asks) for i in range(3)]
        self.grantors: list[grantor.Grantor] = []
        self.lease_until = self.clock.monotonic()
        self.take_over(first=True)

    @stateful.rule()
    def take_over(self, first=False):
        # The table service gives the lease away only once it has ended.
        now = self.clock.monotonic()
        if now < self.lease_until:
            return
        self.lease_until = now + LEASE
        self.grantors.append(
            grantor.Grantor(
                self.server,
                len(self.grantors) + 1,
                self.lease_until,
                TTL,
                NODES,
                self.clock,
                fresh=first,
            )
        )

    @stateful.rule()
    def renew(self):
        now = self.clock.monotonic()
        if now < self.lease_until:
            self.lease_until = now + LEASE
            self.grantors[-1].extend(self.lease_until)

    @stateful.rule(seconds=strategies.floats(0.05, 12.0))
    def pass_time(self, seconds):
        self.clock.advance(seconds)
        now = self.clock.monotonic()
        for node in self.nodes:
            for permit in list(node.in_flight):
                if permit.expires_at <= now:
                    node.in_flight.remove(permit)
                    node.permits.release(permit)

    @stateful.rule(
        node=strategies.integers(0, NODES - 1),
        boot_id=strategies.sampled_from(BOOTS),
    )
    def send(self, node, boot_id):
        permit = self.nodes[node].permits.try_acquire(self.server, boot_id)
        if permit is not None:
            self.nodes[node].in_flight.append(permit)

    @stateful.rule(node=strategies.integers(0, NODES - 1))
    def finish(self, node):
        held = self.nodes[node]
        if held.in_flight:
            held.permits.release(held.in_flight.pop())

    @stateful.rule(which=strategies.integers(0, 9))
    def ask_reaches_a_grantor(self, which):
        # Old grantors answer as well: they may believe in their lease.
        if not self.asks:
            return
        name, boot_id, count, asked_at = self.asks.pop(0)
        held = self.grantors[which % len(self.grantors)]
        grant = held.grant(name, boot_id, count)
        self.replies.append((name, boot_id, grant, asked_at))

    @stateful.rule(lost=strategies.booleans())
    def reply_arrives(self, lost):
        if not self.replies:
            return
        name, boot_id, grant, asked_at = self.replies.pop()
        if lost:
            return
        self.nodes[int(name[1:])].permits.add(
            "s1", boot_id, grant.count, grant.fencing, asked_at + grant.ttl
        )

    @stateful.invariant()
    def allowance_holds(self):
        held = getattr(self, "nodes", [])
        total = sum(len(node.in_flight) for node in held)
        assert total <= getattr(self, "allowance", 0) or not held


class GrantorTest(PermitMachine.TestCase):  # type: ignore[name-defined]
    settings = hypothesis.settings(
        derandomize=True,
        deadline=None,
        max_examples=150,
        stateful_step_count=40,
        database=None,
    )


class LocalPermitsTest(unittest.TestCase):
    def test_all_nodes_together_stay_within_the_allowance(self):
        for allowance in range(12):
            server = sites.server(
                "s1", 1, warmup=snapshot.WarmUp(allowance, 60.0)
            )
            for nodes in (1, 3, 9, 380):
                held = warmup.LocalPermits(lambda nodes=nodes: nodes)
                taken = 0
                while held.try_acquire(server, "b1"):
                    taken += 1
                self.assertLessEqual(taken * nodes, allowance)

    def test_a_released_permit_can_be_taken_again(self):
        server = sites.server("s1", 1, warmup=snapshot.WarmUp(1, 60.0))
        held = warmup.LocalPermits(lambda: 1)
        permit = held.try_acquire(server, "b1")
        self.assertIsNone(held.try_acquire(server, "b1"))
        held.release(permit)
        self.assertIsNotNone(held.try_acquire(server, "b1"))


class GrantorLimitTest(unittest.TestCase):
    def grantor(self, fresh: bool = True) -> grantor.Grantor:
        self.clock = clocks.ManualClock()
        server = sites.server("s1", 1, warmup=snapshot.WarmUp(4, 60.0))
        lease_until = self.clock.monotonic() + 1000
        return grantor.Grantor(
            server, 7, lease_until, TTL, 9, self.clock, fresh
        )

    def test_permits_end_at_the_limit_and_come_back(self):
        held = self.grantor()
        self.assertEqual(3, held.grant("n1", "b1", 3).count)
        self.assertEqual(1, held.grant("n2", "b1", 3).count)
        held.give_back("n1", "b1", 2)
        self.assertEqual(2, held.grant("n2", "b1", 3).count)

    def test_a_successor_waits_out_the_permits_of_its_predecessor(self):
        held = self.grantor(fresh=False)
        self.assertEqual(0, held.grant("n1", "b1", 1).count)
        self.clock.advance(TTL + grantor.MARGIN)
        self.assertEqual(1, held.grant("n1", "b1", 1).count)

    def test_a_grantor_whose_lease_ended_grants_nothing(self):
        held = self.grantor()
        self.clock.advance(1000)
        self.assertEqual(0, held.grant("n1", "b1", 1).count)
