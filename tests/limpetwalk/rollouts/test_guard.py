"""Tests of the guards of roll-outs."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from limpetwalk.rollouts import evidence
from limpetwalk.rollouts import guard
from limpetwalk_bench.experiments import guards

BASE = evidence.Tally(
    failures=10, successes=1990, rated=1990, total=1592.0, squares=1302.0
)


def tally(failures, ratings):
    observed = evidence.Tally()
    for _ in range(failures):
        observed.observe(False)
    for rating in ratings:
        observed.observe(True, rating)
    return observed


class SequentialGuardTest(unittest.TestCase):
    def test_no_halt_without_evidence(self):
        verdict = guard.SequentialGuard().judge(BASE, evidence.Tally())
        self.assertIsNone(verdict)

    def test_failures_halt(self):
        verdict = guard.SequentialGuard().judge(BASE, tally(8, [0.8] * 24))
        self.assertEqual(guard.Cause.FAILURES, verdict.cause)

    def test_lower_ratings_halt(self):
        rng = random.Random(1)
        ratings = [rng.gauss(0.7, 0.1) for _ in range(200)]
        verdict = guard.SequentialGuard().judge(BASE, tally(0, ratings))
        self.assertEqual(guard.Cause.RATINGS, verdict.cause)

    def test_higher_ratings_do_not_halt(self):
        rng = random.Random(1)
        ratings = [rng.gauss(0.9, 0.05) for _ in range(2000)]
        verdict = guard.SequentialGuard().judge(BASE, tally(0, ratings))
        self.assertIsNone(verdict)

    def test_low_ratings_do_not_halt_without_base_ratings(self):
        verdict = guard.SequentialGuard().judge(
            evidence.Tally(), tally(0, [0.1] * 500)
        )
        self.assertIsNone(verdict)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.integers(0, 10**6),
        strategies.integers(0, 10**6),
        strategies.integers(0, 10**6),
        strategies.integers(0, 10**6),
    )
    def test_any_counts_give_a_verdict(self, bad, good, base_bad, base_good):
        base = evidence.Tally(base_bad, base_good, base_good, base_good / 2)
        candidate = evidence.Tally(bad, good, good, good / 3, good / 5)
        verdict = guard.SequentialGuard().judge(base, candidate)
        self.assertIsInstance(verdict, guard.Halt | None)


class TrialTest(unittest.TestCase):
    """Complete simulated roll-outs with fixed seeds."""

    def test_bad_versions_are_halted_and_good_ones_are_not(self):
        cases = (
            (guards.FAILS_ONE_IN_FIVE, True),
            (guards.LOWER_RATING, True),
            (guards.GOOD, False),
        )
        for truth, halted in cases:
            for seed in range(1, 6):
                with self.subTest(truth=truth.name, seed=seed):
                    trial = guards.run_trial(
                        guard.SequentialGuard(), truth, seed, requests=1500
                    )
                    self.assertEqual(halted, trial.halted)
