"""Tests of the node counts by which nodes divide shared quantities."""

import math
import unittest

from limpetwalk import clock as clocks
from limpetwalk.peers import node_counts


class NodeCountsTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.counts = node_counts.NodeCounts(self.clock)
        self.counts.record_own(9)

    def pass_window(self):
        self.clock.advance(node_counts.WINDOW)
        self.counts.record_own(9)

    def test_a_new_node_takes_no_share_and_reports_it_first(self):
        self.assertEqual(node_counts.NO_SHARE, self.counts.reported_count())
        self.assertEqual(math.inf, self.counts.divisor())
        self.clock.advance(node_counts.REPORT_DELAY)
        self.assertEqual(9, self.counts.reported_count())
        self.assertEqual(math.inf, self.counts.divisor())
        self.pass_window()
        self.assertEqual(9, self.counts.divisor())

    def test_a_smaller_number_is_reported_at_once_and_used_later(self):
        self.pass_window()
        self.counts.record_own(3)
        self.assertEqual(3, self.counts.reported_count())
        self.assertEqual(9, self.counts.divisor())
        self.clock.advance(node_counts.WINDOW)
        self.assertEqual(3, self.counts.divisor())

    def test_a_greater_number_is_used_at_once(self):
        self.pass_window()
        self.counts.record_own(12)
        self.assertEqual(12, self.counts.divisor())

    def test_a_peer_is_assumed_to_use_its_smallest_recent_count(self):
        self.counts.record_peer("b", 3)
        self.clock.advance(1.0)
        self.counts.record_peer("b", 9)
        self.assertEqual(3, self.counts.divisor_of("b"))
        self.clock.advance(node_counts.WINDOW)
        self.assertEqual(9, self.counts.divisor_of("b"))

    def test_a_peer_that_takes_no_share(self):
        self.counts.record_peer("b", node_counts.NO_SHARE)
        self.assertEqual(math.inf, self.counts.divisor_of("b"))

    def test_a_peer_without_reports_is_assumed_to_use_this_nodes_count(self):
        self.pass_window()
        self.assertEqual(9, self.counts.divisor_of("c"))
