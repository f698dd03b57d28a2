"""Tests of the retry budget."""

import unittest

import hypothesis
from hypothesis import strategies

from limpetwalk.routing import retry_budget

FIXED = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)


class RetryBudgetTest(unittest.TestCase):
    @FIXED
    @hypothesis.given(
        share=strategies.floats(0.0, 1.0),
        steps=strategies.lists(strategies.booleans(), max_size=400),
    )
    def test_retries_stay_within_their_share_of_first_attempts(
        self, share, steps
    ):
        budget = retry_budget.RetryBudget(initial_tokens=3.0)
        retry_counts = [0]
        first_counts = [0]
        for is_retry in steps:
            if is_retry:
                retry_counts.append(retry_counts[-1] + budget.take())
                first_counts.append(first_counts[-1])
            else:
                budget.record_first_attempt(share)
                retry_counts.append(retry_counts[-1])
                first_counts.append(first_counts[-1] + 1)
        for retries, first_attempts in zip(
            retry_counts, first_counts, strict=True
        ):
            self.assertLessEqual(retries, 3 + share * first_attempts + 1e-6)

    def test_first_attempts_fill_the_bucket_up_to_its_capacity(self):
        budget = retry_budget.RetryBudget(initial_tokens=3.0, capacity=10.0)
        for _ in range(1000):
            budget.record_first_attempt(1.0)
        self.assertEqual(10, sum(budget.take() for _ in range(1000)))
