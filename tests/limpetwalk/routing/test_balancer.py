"""Tests of choosing a replica."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from limpetwalk import clock as clocks
from limpetwalk.backends import base
from limpetwalk.routing import balancer
from limpetwalk.routing import replicas
from tests.limpetwalk.backends import backend_fixtures

from . import fakes

FIXED = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)


def _replicas(count: int) -> list[replicas.Replica]:
    rng = random.Random(1)
    members = []
    for number in range(count):
        server = backend_fixtures.server(f"s{number}", 1000 + number)
        members.append(replicas.Replica(server, fakes.FakeClient(server), rng))
    return members


class LeastInFlightTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()

    def balancer(
        self, seed: int = 1, nodes: int = 1
    ) -> balancer.LeastInFlight:
        return balancer.LeastInFlight(
            self.clock, random.Random(seed), lambda: nodes
        )

    @FIXED
    @hypothesis.given(
        usable=strategies.lists(strategies.booleans(), max_size=60),
        affinity=strategies.sampled_from(("", "session-1", "session-2")),
        seed=strategies.integers(0, 1000),
    )
    def test_an_excluded_replica_is_never_picked(self, usable, affinity, seed):
        members = _replicas(len(usable))
        allowed = {
            item.name
            for item, is_usable in zip(members, usable, strict=True)
            if is_usable
        }
        candidates = replicas.Candidates(
            replicas.Tier(members), replicas.Tier([])
        )
        replica = balancer.choose(
            self.balancer(seed),
            candidates,
            lambda replica: replica.name in allowed,
            affinity,
        )
        if allowed:
            self.assertIn(replica.name, allowed)
        else:
            self.assertIsNone(replica)

    def test_the_replica_with_the_fewest_requests_is_picked(self):
        members = _replicas(2)
        members[0].in_flight = 5
        for seed in range(20):
            replica = self.balancer(seed).pick(
                replicas.Tier(members), lambda replica: True, ""
            )
            self.assertIs(members[1], replica)

    def test_a_report_is_adjusted_by_later_requests(self):
        replica = _replicas(1)[0]
        now = self.clock.monotonic()
        replica.apply_load_report(base.LoadReport("b", 3, 2, 8.0, 0.5), now)
        replica.start(now - 1.0)
        replica.start(now)
        replica.start(now)
        replica.finish(now)
        replica.apply_load_report(
            base.LoadReport("b", 3, 2, 8.0, 0.5), now + 0.01
        )
        self.assertEqual(5 + 1, replica.estimated_in_flight(now))
        replica.finish(now + 0.02)
        self.assertEqual(5, replica.estimated_in_flight(now))

    def test_affinity_is_ignored_for_a_loaded_replica(self):
        members = _replicas(8)
        tier = replicas.Tier(members)
        affine = balancer.rendezvous(tier, "session-1")
        picked = self.balancer().pick(tier, lambda item: True, "session-1")
        self.assertIs(affine, picked)
        affine.in_flight = 1
        picked = self.balancer().pick(tier, lambda item: True, "session-1")
        self.assertIsNot(affine, picked)

    def test_affinity_is_ignored_for_a_replica_that_other_nodes_load(self):
        members = _replicas(8)
        tier = replicas.Tier(members)
        affine = balancer.rendezvous(tier, "session-1")
        now = self.clock.monotonic()
        affine.apply_load_report(base.LoadReport("b", 12, 0, 8.0, 0.5), now)
        for seed in range(20):
            picked = self.balancer(seed).pick(
                tier, lambda item: item is not members[0], "session-1"
            )
            if picked is not affine:
                break
        self.assertIsNot(affine, picked)

    def test_affinity_of_many_nodes_does_not_overload_a_replica(self):
        tier = replicas.Tier(_replicas(8))
        many_nodes_balancer = self.balancer(nodes=100)
        picked = set()
        for _ in range(8):
            replica = many_nodes_balancer.pick(
                tier, lambda item: True, "session-1"
            )
            picked.add(replica.name)
            replica.start(self.clock.monotonic())
            replica.finish(self.clock.monotonic())
            self.clock.advance(1.0)
        self.assertEqual(8, len(picked))

    def test_removing_a_replica_moves_only_its_own_keys(self):
        members = _replicas(40)
        keys = [f"session-{number}" for number in range(400)]
        tier = replicas.Tier(members)
        before = {key: balancer.rendezvous(tier, key) for key in keys}
        without_s7 = replicas.Tier(
            [item for item in members if item.name != "s7"]
        )
        for key in keys:
            if before[key].name != "s7":
                self.assertIs(
                    before[key], balancer.rendezvous(without_s7, key)
                )

    def test_untried_replicas_come_first_then_tried_ones(self):
        members = _replicas(3)
        candidates = replicas.Candidates(
            replicas.Tier(members), replicas.Tier([])
        )
        for avoided in (["s0", "s1"], ["s0", "s1", "s2"]):
            replica = balancer.choose(
                self.balancer(), candidates, lambda item: True, "", avoided
            )
            self.assertIsNotNone(replica)
            if len(avoided) < 3:
                self.assertEqual("s2", replica.name)
