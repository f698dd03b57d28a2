"""Tests of the choice of a replica."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from limpetwalk import clock as clocks
from limpetwalk.backends import base
from limpetwalk.routing import balancer
from limpetwalk.routing import replicas
from tests.limpetwalk.backends import sites

from . import fakes

FIXED = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)


def _replicas(count: int) -> list[replicas.Replica]:
    rng = random.Random(1)
    found = []
    for number in range(count):
        server = sites.server(f"s{number}", 1000 + number)
        found.append(replicas.Replica(server, fakes.FakeClient(server), rng))
    return found


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
        held = _replicas(len(usable))
        allowed = {
            item.name
            for item, usable_one in zip(held, usable, strict=True)
            if usable_one
        }
        candidates = replicas.Candidates(
            replicas.Tier(held), replicas.Tier([])
        )
        found = balancer.choose(
            self.balancer(seed),
            candidates,
            lambda replica: replica.name in allowed,
            affinity,
        )
        if allowed:
            self.assertIn(found.name, allowed)
        else:
            self.assertIsNone(found)

    def test_the_replica_with_the_fewest_requests_is_picked(self):
        held = _replicas(2)
        held[0].in_flight = 5
        for seed in range(20):
            found = self.balancer(seed).pick(
                replicas.Tier(held), lambda replica: True, ""
            )
            self.assertIs(held[1], found)

    def test_a_report_counts_with_what_was_sent_since(self):
        held = _replicas(1)[0]
        now = self.clock.monotonic()
        held.apply_load_report(base.LoadReport("b", 3, 2, 8.0, 0.5), now)
        held.start(now - 1.0)
        held.start(now)
        held.start(now)
        held.finish(now)
        held.apply_load_report(
            base.LoadReport("b", 3, 2, 8.0, 0.5), now + 0.01
        )
        self.assertEqual(5 + 1, held.estimated_in_flight(now))
        held.finish(now + 0.02)
        self.assertEqual(5, held.estimated_in_flight(now))

    def test_affinity_gives_way_to_load(self):
        held = _replicas(8)
        tier = replicas.Tier(held)
        affine = balancer.rendezvous(tier, "session-1")
        picked = self.balancer().pick(tier, lambda item: True, "session-1")
        self.assertIs(affine, picked)
        affine.in_flight = 1
        picked = self.balancer().pick(tier, lambda item: True, "session-1")
        self.assertIsNot(affine, picked)

    def test_affinity_gives_way_to_what_other_nodes_send(self):
        held = _replicas(8)
        tier = replicas.Tier(held)
        affine = balancer.rendezvous(tier, "session-1")
        now = self.clock.monotonic()
        affine.apply_load_report(base.LoadReport("b", 12, 0, 8.0, 0.5), now)
        for seed in range(20):
            picked = self.balancer(seed).pick(
                tier, lambda item: item is not held[0], "session-1"
            )
            if picked is not affine:
                break
        self.assertIsNot(affine, picked)

    def test_many_nodes_do_not_crowd_one_replica_by_affinity(self):
        tier = replicas.Tier(_replicas(8))
        one_of_many = self.balancer(nodes=100)
        picked = set()
        for _ in range(8):
            found = one_of_many.pick(tier, lambda item: True, "session-1")
            picked.add(found.name)
            found.start(self.clock.monotonic())
            found.finish(self.clock.monotonic())
            self.clock.advance(1.0)
        self.assertEqual(8, len(picked))

    def test_a_lost_replica_moves_only_its_own_keys(self):
        held = _replicas(40)
        keys = [f"session-{number}" for number in range(400)]
        whole = replicas.Tier(held)
        before = {key: balancer.rendezvous(whole, key) for key in keys}
        less = replicas.Tier([item for item in held if item.name != "s7"])
        for key in keys:
            if before[key].name != "s7":
                self.assertIs(before[key], balancer.rendezvous(less, key))

    def test_untried_replicas_come_first_then_tried_ones(self):
        held = _replicas(3)
        candidates = replicas.Candidates(
            replicas.Tier(held), replicas.Tier([])
        )
        for avoided in (["s0", "s1"], ["s0", "s1", "s2"]):
            found = balancer.choose(
                self.balancer(), candidates, lambda item: True, "", avoided
            )
            self.assertIsNotNone(found)
            if len(avoided) < 3:
                self.assertEqual("s2", found.name)
