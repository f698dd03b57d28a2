"""Short soaks of real processes."""

import asyncio
import pathlib
import tempfile
import unittest

from limpetwalk_bench.soak import runner

# Seconds in which faults start and end in each soak.
SECONDS = 5.0
# Seeds of the tests: an arbitrary one, and each that has failed, with a
# comment on the cause.
SEEDS = (
    7,
    # Nodes without links to servers refused requests.
    23,
)


class RunSoak(unittest.TestCase):
    """Soaks with fixed seeds, which run at the same time."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.summaries = asyncio.run(cls.run_soaks())

    @staticmethod
    async def run_soaks() -> dict[int, runner.Summary]:
        with tempfile.TemporaryDirectory() as scratch:
            folders = {
                seed: pathlib.Path(scratch) / str(seed) for seed in SEEDS
            }
            for folder in folders.values():
                folder.mkdir()
            summaries = await asyncio.gather(
                *(
                    runner.run_soak(seed, SECONDS, folder)
                    for seed, folder in folders.items()
                )
            )
        return dict(zip(SEEDS, summaries, strict=True))

    def assert_guarantees_hold(self, seed: int) -> None:
        summary = self.summaries[seed]
        self.assertEqual([], summary.broken, seed)
        self.assertGreater(summary.served, 0)
        self.assertGreater(summary.faults, 0)

    def test_guarantees_hold(self) -> None:
        self.assert_guarantees_hold(7)

    def test_guarantees_hold_while_nodes_lack_links(self) -> None:
        self.assert_guarantees_hold(23)
