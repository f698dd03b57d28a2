"""Short soaks of real processes."""

import pathlib
import tempfile
import unittest

from limpetwalk_bench.soak import runner

# Seconds in which faults start and end in each soak.
SECONDS = 5.0
# Seeds of the tests: an arbitrary one, and each that has failed, with a
# comment on the cause.
SEEDS = (7,)


class RunSoak(unittest.IsolatedAsyncioTestCase):
    """Soaks with fixed seeds."""

    async def test_guarantees_hold(self) -> None:
        for seed in SEEDS:
            with tempfile.TemporaryDirectory() as folder:
                summary = await runner.run_soak(
                    seed, SECONDS, pathlib.Path(folder)
                )
            self.assertEqual([], summary.broken, seed)
            self.assertGreater(summary.served, 0)
            self.assertGreater(summary.faults, 0)
