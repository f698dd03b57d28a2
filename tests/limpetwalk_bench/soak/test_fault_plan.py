"""Faults drawn from a seed."""

import collections
import unittest

from limpetwalk_bench.soak import fault_plan
from limpetwalk_bench.soak import operators

NODES = ("node-1", "node-2")
SERVERS = ("e-1", "p-1")
# Faults that were drawn before there were extra kinds.
USUAL_FAULTS_OF_SEED_7 = [
    (0.42, "pause", "node-1"),
    (0.72, "pause", "node-1"),
    (1.02, "pause", "node-1"),
    (1.24, "server_link", "e-1"),
    (1.54, "server_link", "e-1"),
    (1.81, "reload", "node-2"),
    (1.84, "server_link", "e-1"),
    (2.11, "reload", "node-2"),
    (2.41, "reload", "node-2"),
    (2.7, "reload", "node-1"),
    (3.24, "reload", "node-1"),
    (3.41, "term", "node-1"),
    (3.71, "term", "node-1"),
    (4.01, "term", "node-1"),
    (4.31, "reload", "node-1"),
]


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

    def test_last_changes_outlast_the_faults(self) -> None:
        kinds = collections.Counter()
        for seed in range(50):
            first, *more = fault_plan.draw_aftermath(seed, 10.0)
            for fault in (first, *more):
                self.assertLessEqual(fault.at, 10.0)
                self.assertAlmostEqual(
                    10.0 + fault_plan.AFTERMATH, fault.ends_at
                )
            kinds[first.change] += 1
            kinds.update(fault.kind for fault in more)
        self.assertEqual(
            {*operators.Change, fault_plan.FaultKind.EVACUATION}, set(kinds)
        )

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

    def test_extra_kinds_leave_the_other_faults_of_a_seed(self) -> None:
        faults = fault_plan.draw_faults(7, 5.0, NODES, SERVERS)
        usual = [
            (round(fault.at, 2), fault.kind.value, fault.target)
            for fault in faults
            if fault.kind not in fault_plan.EXTRA_KINDS
        ]
        self.assertEqual(USUAL_FAULTS_OF_SEED_7, usual)

    def test_cut_links(self) -> None:
        cuts = [
            fault
            for seed in range(50)
            for fault in fault_plan.draw_faults(seed, 20.0, NODES, SERVERS)
            if fault.kind is fault_plan.FaultKind.NODE_LINKS
        ]
        self.assertEqual(
            set(fault_plan.LinkCut), {fault.link_cut for fault in cuts}
        )
        counts = collections.Counter(len(fault.servers) for fault in cuts)
        self.assertEqual({1, 2}, set(counts))
        self.assertGreater(counts[2], counts[1])
        for fault in cuts:
            self.assertLessEqual(set(fault.servers), set(SERVERS))
        nodes_by_time = collections.defaultdict(set)
        for fault in cuts:
            nodes_by_time[fault.at].add(fault.target)
        self.assertEqual({1, 2}, set(map(len, nodes_by_time.values())))

    def test_some_cuts_come_and_go(self) -> None:
        durations = [
            fault.duration
            for seed in range(50)
            for fault in fault_plan.draw_faults(seed, 20.0, NODES, SERVERS)
            if fault.kind is fault_plan.FaultKind.NODE_LINKS
        ]
        shortest_steady = fault_plan.MIN_CUT_DURATION
        self.assertTrue(any(each < shortest_steady for each in durations))
        self.assertTrue(any(each > shortest_steady for each in durations))

    def test_one_or_all_servers_fall_silent(self) -> None:
        servers_by_time = collections.defaultdict(set)
        for seed in range(20):
            for fault in fault_plan.draw_faults(seed, 20.0, NODES, SERVERS):
                if fault.kind is fault_plan.FaultKind.SERVER_SILENT:
                    servers_by_time[seed, fault.at].add(fault.target)
                    self.assertLessEqual(
                        fault.duration, fault_plan.MAX_SILENCE
                    )
        self.assertEqual({1, 2}, set(map(len, servers_by_time.values())))
