"""Short soaks of real processes."""

import pathlib
import tempfile
import unittest

from limpetwalk_bench.soak import runner

# Seconds in which faults strike in a run of the tests.
SECONDS = 5.0
# Seeds of the tests: one at random, and each that ever failed, with a line
# on its cause.
SEEDS = (7,)


class Soaks(unittest.IsolatedAsyncioTestCase):
    """Soaks whose seeds are known."""

    async def test_promises_hold(self) -> None:
        for seed in SEEDS:
            with tempfile.TemporaryDirectory() as folder:
                summary = await runner.soak(
                    seed, SECONDS, pathlib.Path(folder)
                )
            self.assertEqual([], summary.broken, seed)
            self.assertGreater(summary.served, 0)
            self.assertGreater(summary.faults, 0)
