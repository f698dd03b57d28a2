"""Faults drawn from a seed."""

import unittest

from limpetwalk_bench.soak import fault_plan

NODES = ("node-1", "node-2")
SERVERS = ("e-1", "p-1")


class DrawFaults(unittest.TestCase):
    """Faults that a plan contains."""

    def test_seed_determines_the_plan(self) -> None:
        first = fault_plan.draw_faults(5, 20.0, NODES, SERVERS)
        self.assertEqual(
            first, fault_plan.draw_faults(5, 20.0, NODES, SERVERS)
        )
        self.assertNotEqual(
            first, fault_plan.draw_faults(6, 20.0, NODES, SERVERS)
        )

    def test_faults_stay_within_the_length(self) -> None:
        for seed in range(50):
            for fault in fault_plan.draw_faults(seed, 10.0, NODES, SERVERS):
                self.assertLessEqual(fault.ends_at, 10.0 + 1e-9)
                self.assertGreaterEqual(fault.duration, 0.0)

    def test_all_kinds_and_link_faults_occur(self) -> None:
        faults = [
            fault
            for seed in range(20)
            for fault in fault_plan.draw_faults(seed, 20.0, NODES, SERVERS)
        ]
        self.assertEqual(
            set(fault_plan.FaultKind), {fault.kind for fault in faults}
        )
        link_faults = {fault.link_fault for fault in faults}
        self.assertEqual({None, *fault_plan.LinkFault}, link_faults)

    def test_targets_match_the_kind(self) -> None:
        for seed in range(20):
            for fault in fault_plan.draw_faults(seed, 20.0, NODES, SERVERS):
                if fault.kind in fault_plan.NODE_KINDS:
                    self.assertIn(fault.target, NODES)
                elif fault.kind in fault_plan.SERVER_KINDS:
                    self.assertIn(fault.target, SERVERS)
                else:
                    self.assertEqual("", fault.target)

    def test_faults_overlap_and_occur_in_series(self) -> None:
        faults = fault_plan.draw_faults(1, 30.0, NODES, SERVERS)
        overlaps = sum(
            one.ends_at > other.at
            for one, other in zip(faults, faults[1:], strict=False)
        )
        self.assertGreater(overlaps, 3)
        distinct = {(fault.kind, fault.target) for fault in faults}
        self.assertLess(len(distinct), len(faults))
