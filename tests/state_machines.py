"""Hypothesis settings of state machine tests, in CI and in soak runs.

CI runs the same examples every time.
``SOAK_SEED=7 .venv/bin/nose2 tests.limpetwalk.records`` runs the tests from
another seed, with ``SOAK_FACTOR`` times as many examples.
"""

import os

import hypothesis
from hypothesis import stateful

SOAK_FACTOR = 20


def make_case(
    machine: type[stateful.RuleBasedStateMachine], examples: int, steps: int
) -> type:
    """Return the test case that runs a state machine.

    :param machine: state machine.
    :param examples: number of runs of the machine in CI.
    :param steps: maximum number of steps of one run.
    """
    seed = os.environ.get("SOAK_SEED")
    case = machine.TestCase
    case.settings = hypothesis.settings(
        max_examples=examples * SOAK_FACTOR if seed else examples,
        stateful_step_count=steps,
        deadline=None,
        derandomize=not seed,
        database=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    if seed:
        hypothesis.seed(int(seed))(machine)
    return case
