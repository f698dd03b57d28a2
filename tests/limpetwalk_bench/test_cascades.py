"""Tests of the comparison of cascade policies."""

import unittest

from limpetwalk import plugins
from limpetwalk_bench.experiments import cascades

REQUESTS = 2500
SEEDS = range(1, 4)
# Goal of the adaptive policy: a cost within 5% of that of the class oracle,
# which knows the success rate of each class.
MAX_ORACLE_RATIO = 1.05


class CascadesTest(unittest.TestCase):
    def setUp(self):
        plugins.load()

    def cost_per_request(self, run):
        scores = [run(seed) for seed in SEEDS]
        total_cost = sum(score.cost for score in scores)
        return total_cost / sum(score.requests for score in scores)

    def test_adaptive_is_near_the_class_oracle_and_below_the_others(self):
        for name, mix in cascades.MIXES.items():
            with self.subTest(mix=name):
                costs = {
                    policy: self.cost_per_request(
                        lambda seed, policy=policy, mix=mix: (
                            cascades.run_policy(policy, mix, REQUESTS, seed)
                        )
                    )
                    for policy in cascades.POLICIES
                }
                oracle = self.cost_per_request(
                    lambda seed, mix=mix: cascades.run_class_oracle(
                        mix, REQUESTS, seed
                    )
                )
                self.assertLess(costs["adaptive"], oracle * MAX_ORACLE_RATIO)
                self.assertLess(costs["adaptive"], costs["fixed"])
                self.assertLess(costs["adaptive"], costs["always_strong"])

    def test_the_same_seed_gives_the_same_requests(self):
        mix = cascades.MIXES["Navarrete"]
        first, second = (
            list(cascades.draw_requests(mix, 50, 7)) for _ in range(2)
        )
        self.assertEqual(first, second)
