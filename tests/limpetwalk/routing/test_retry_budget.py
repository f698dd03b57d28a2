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
        tries=strategies.lists(strategies.booleans(), max_size=400),
    )
    def test_retries_stay_within_the_share_of_any_run(self, share, tries):
        budget = retry_budget.RetryBudget(initial_tokens=3.0)
        spent = [0]
        firsts = [0]
        for is_retry in tries:
            if is_retry:
                spent.append(spent[-1] + budget.take())
                firsts.append(firsts[-1])
            else:
                budget.record_first_attempt(share)
                spent.append(spent[-1])
                firsts.append(firsts[-1] + 1)
        for retries, first_tries in zip(spent, firsts, strict=True):
            self.assertLessEqual(retries, 3 + share * first_tries + 1e-6)

    def test_a_quiet_time_saves_no_more_than_the_largest_burst(self):
        budget = retry_budget.RetryBudget(initial_tokens=3.0, capacity=10.0)
        for _ in range(1000):
            budget.record_first_attempt(1.0)
        self.assertEqual(10, sum(budget.take() for _ in range(1000)))
