"""Tests of the comparison of cascade policies."""

import unittest

from limpetwalk import plugins
from limpetwalk_bench.experiments import cascades

REQUESTS = 2500
SEEDS = range(1, 4)
# The goal: within 5% of the oracle that knows each class's chances.
MOST_OF_ORACLE = 1.05


class CascadesTest(unittest.TestCase):
    def setUp(self):
        plugins.load()

    def cost(self, run):
        scores = [run(seed) for seed in SEEDS]
        spent = sum(score.cost for score in scores)
        return spent / sum(score.requests for score in scores)

    def test_adaptive_is_near_the_class_oracle_and_below_the_others(self):
        for name, mix in cascades.MIXES.items():
            with self.subTest(mix=name):
                cost = {
                    policy: self.cost(
                        lambda seed, policy=policy, mix=mix: (
                            cascades.run_policy(policy, mix, REQUESTS, seed)
                        )
                    )
                    for policy in cascades.POLICIES
                }
                oracle = self.cost(
                    lambda seed, mix=mix: cascades.run_class_oracle(
                        mix, REQUESTS, seed
                    )
                )
                self.assertLess(cost["adaptive"], oracle * MOST_OF_ORACLE)
                self.assertLess(cost["adaptive"], cost["fixed"])
                self.assertLess(cost["adaptive"], cost["always_strong"])

    def test_the_same_seed_gives_the_same_requests(self):
        mix = cascades.MIXES["Navarrete"]
        first, second = (
            list(cascades.draw_requests(mix, 50, 7)) for _ in range(2)
        )
        self.assertEqual(first, second)
