"""Faults drawn from a seed."""

import unittest

from limpetwalk_bench.soak import plan

NODES = ("node-1", "node-2")
SERVERS = ("e-1", "p-1")


class Drawing(unittest.TestCase):
    """Draws of the plan."""

    def test_seed_decides(self) -> None:
        first = plan.draw(5, 20.0, NODES, SERVERS)
        self.assertEqual(first, plan.draw(5, 20.0, NODES, SERVERS))
        self.assertNotEqual(first, plan.draw(6, 20.0, NODES, SERVERS))

    def test_faults_stay_within_the_length(self) -> None:
        for seed in range(50):
            for fault in plan.draw(seed, 10.0, NODES, SERVERS):
                self.assertLessEqual(fault.until, 10.0 + 1e-9)
                self.assertGreaterEqual(fault.lasts, 0.0)

    def test_all_kinds_and_harms_come(self) -> None:
        faults = [
            fault
            for seed in range(20)
            for fault in plan.draw(seed, 20.0, NODES, SERVERS)
        ]
        self.assertEqual(set(plan.Kind), {fault.kind for fault in faults})
        harms = {fault.harm for fault in faults}
        self.assertEqual({None, *plan.Harm}, harms)

    def test_targets_fit_the_kind(self) -> None:
        for seed in range(20):
            for fault in plan.draw(seed, 20.0, NODES, SERVERS):
                if fault.kind in plan.NODE_KINDS:
                    self.assertIn(fault.target, NODES)
                elif fault.kind in plan.SERVER_KINDS:
                    self.assertIn(fault.target, SERVERS)
                else:
                    self.assertEqual("", fault.target)

    def test_faults_overlap_and_come_in_series(self) -> None:
        faults = plan.draw(1, 30.0, NODES, SERVERS)
        overlaps = sum(
            one.until > other.at
            for one, other in zip(faults, faults[1:], strict=False)
        )
        self.assertGreater(overlaps, 3)
        same = {(fault.kind, fault.target) for fault in faults}
        self.assertLess(len(same), len(faults))
