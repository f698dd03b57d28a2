"""Short soaks of real processes."""

import asyncio
import pathlib
import tempfile
import unittest

from limpetwalk_bench.soak import builds
from limpetwalk_bench.soak import runner

# Seconds in which faults start and end in each soak.
SECONDS = 5.0
# Seeds of the tests: an arbitrary one, and each that has failed, with a
# comment on the cause.
SEEDS = (
    7,
    # Nodes without links to servers refused requests.
    23,
    # The list of workspaces is empty for 4.7 s: nobody holds a key.
    98,
)
# Seed of a soak in which all nodes are replaced by another build and back.
UPGRADE_SEED = 5


class RunSoak(unittest.TestCase):
    """Soaks with fixed seeds, which run at the same time."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.summaries = asyncio.run(cls.run_soaks())

    @staticmethod
    async def run_soaks() -> dict[int, runner.Summary]:
        with tempfile.TemporaryDirectory() as scratch:
            folders = {
                seed: pathlib.Path(scratch) / str(seed)
                for seed in (*SEEDS, UPGRADE_SEED)
            }
            for folder in folders.values():
                folder.mkdir()
            build = builds.export("HEAD", pathlib.Path(scratch) / "build")
            summaries = await asyncio.gather(
                *(
                    runner.run_soak(
                        seed,
                        SECONDS,
                        folder,
                        build if seed == UPGRADE_SEED else (),
                    )
                    for seed, folder in folders.items()
                )
            )
        return dict(zip(folders, summaries, strict=True))

    def assert_guarantees_hold(self, seed: int) -> None:
        summary = self.summaries[seed]
        self.assertEqual([], summary.broken, seed)
        self.assertGreater(summary.served, 0)
        self.assertGreater(summary.faults, 0)

    def test_guarantees_hold_while_builds_are_replaced(self) -> None:
        self.assert_guarantees_hold(UPGRADE_SEED)

    def test_guarantees_hold(self) -> None:
        self.assert_guarantees_hold(7)

    def test_guarantees_hold_while_nobody_holds_a_key(self) -> None:
        self.assert_guarantees_hold(98)

    def test_guarantees_hold_while_nodes_lack_links(self) -> None:
        self.assert_guarantees_hold(23)
