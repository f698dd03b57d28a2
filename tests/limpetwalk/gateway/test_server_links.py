"""Tests of the choice between a direct connection and one by a peer."""

import collections
import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import server_links


class Links(unittest.TestCase):
    """Links of one node, by the fate of its connections."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.known = {"a", "b", "c", "d"}
        self.links = server_links.ServerLinks(
            self.clock, random.Random(1), self.known.__contains__
        )

    def lose(self, *server_ids: str) -> None:
        for server_id in server_ids:
            self.links.record_failed(server_id)
            self.links.record_lost(server_id)

    def test_single_lost_link_does_not_make_a_node_cut_off(self) -> None:
        self.links.record_connected("b")
        self.lose("a")
        self.assertTrue(self.links.prefers_peer("a"))
        self.assertFalse(self.links.prefers_peer("b"))
        self.assertFalse(self.links.cut_off)

    def test_lost_link_is_tried_again_ever_more_rarely(self) -> None:
        self.links.record_connected("b")
        pauses = []
        for _ in range(4):
            self.lose("a")
            began = self.clock.monotonic()
            while self.links.prefers_peer("a"):
                self.clock.advance(0.05)
            pauses.append(self.clock.monotonic() - began)
            self.links.record_connected("b")
        self.assertLess(pauses[0], server_links.FIRST_PAUSE + 0.1)
        self.assertGreater(pauses[-1], pauses[0])
        self.assertLess(max(pauses), server_links.MAX_PAUSE + 0.1)

    def test_one_request_at_a_time_tries_a_lost_link(self) -> None:
        self.links.record_connected("b")
        self.lose("a")
        self.clock.advance(server_links.FIRST_PAUSE)
        self.assertFalse(self.links.prefers_peer("a"))
        self.assertTrue(self.links.prefers_peer("a"))

    def test_node_that_loses_all_links_in_turn_is_cut_off(self) -> None:
        self.links.record_connected("a")
        self.lose("a", "b", "c")
        self.assertTrue(self.links.cut_off)
        self.assertTrue(
            self.links.prefers_peer("d") or self.links.prefers_peer("d")
        )

    def test_quiet_node_with_two_lost_links_is_not_cut_off(self) -> None:
        self.links.record_connected("c")
        self.clock.advance(60.0)
        self.lose("a", "b")
        self.assertFalse(self.links.cut_off)
        self.assertFalse(self.links.prefers_peer("c"))
        self.lose("c")
        self.assertTrue(self.links.cut_off)

    def test_node_that_reaches_some_servers_is_not_cut_off(self) -> None:
        for server_id in ("a", "b", "c"):
            self.lose(server_id)
            self.links.record_connected("d")
        self.assertFalse(self.links.cut_off)
        self.assertFalse(self.links.prefers_peer("d"))

    def test_node_that_is_cut_off_makes_few_direct_attempts(self) -> None:
        self.lose("a", "b", "c")
        direct = 0
        for _ in range(1000):
            self.clock.advance(0.01)
            direct += not self.links.prefers_peer("a")
        self.assertLessEqual(direct, 10 / server_links.PROBE_INTERVAL[0])
        self.assertGreaterEqual(direct, 10 / server_links.PROBE_INTERVAL[1])

    def test_node_whose_lost_servers_are_down_is_not_cut_off_for_good(
        self,
    ) -> None:
        self.lose("a", "b", "c")
        for server_id in ("a", "b", "c"):
            self.links.record_down(server_id)
        self.links.record_connected("d")
        self.assertFalse(self.links.cut_off)

    def test_all_links_are_tried_soon_after_one_works_again(self) -> None:
        for _ in range(4):
            self.lose("a", "b", "c")
        self.links.record_connected("a")
        self.assertFalse(self.links.cut_off)
        self.assertFalse(self.links.prefers_peer("a"))
        self.clock.advance(server_links.RECOVERY_SPREAD)
        self.assertFalse(self.links.prefers_peer("b"))

    def test_servers_that_nobody_reaches_do_not_make_a_node_cut_off(
        self,
    ) -> None:
        for server_id in ("a", "b", "c"):
            self.links.record_failed(server_id)
            self.links.record_down(server_id)
        self.assertFalse(self.links.cut_off)
        self.assertFalse(self.links.is_lost("a"))

    def test_node_without_working_links_blames_no_server(self) -> None:
        self.links.record_connected("a")
        self.assertTrue(self.links.works)
        self.links.record_failed("b")
        self.links.record_failed("b")
        self.assertTrue(self.links.works)
        self.links.record_failed("c")
        self.assertFalse(self.links.works)
        self.links.record_connected("a")
        self.assertTrue(self.links.works)
        self.clock.advance(server_links.WORKING_WINDOW)
        self.assertFalse(self.links.works)

    def test_servers_that_are_gone_are_forgotten(self) -> None:
        self.lose("a", "b")
        self.known -= {"a"}
        self.lose("b")
        self.assertFalse(self.links.is_lost("a"))


class Peers(unittest.TestCase):
    """Choice of the peer that connects for a node."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.peers = {
            f"{zone}-{number}": peer_groups.Peer(
                ("127.0.0.1", number), zone, "secret"
            )
            for zone in ("x", "y", "z")
            for number in range(1, 4)
        }
        self.heard = set(self.peers)
        self.choice = server_links.PeerChoice(
            "x-1",
            lambda: "x",
            lambda: self.peers,
            lambda: self.heard,
            self.clock,
            random.Random(1),
        )

    def chosen(self, count: int = 300) -> collections.Counter[str]:
        """Return how often each peer is chosen."""
        names: collections.Counter[str] = collections.Counter()
        for _ in range(count):
            choice = self.choice.next_peer()
            if choice is not None:
                names[choice[0]] += 1
        return names

    def test_peers_of_the_own_zone_come_first(self) -> None:
        self.assertEqual({"x-2", "x-3"}, set(self.chosen()))

    def test_peers_that_are_cut_off_are_not_asked(self) -> None:
        self.choice.record_report("x-2", True)
        self.assertEqual({"x-3"}, set(self.chosen()))
        self.choice.record_report("x-2", False)
        self.assertEqual({"x-2", "x-3"}, set(self.chosen()))

    def test_other_zones_help_a_zone_that_is_cut_off(self) -> None:
        self.choice.record_report("x-2", True)
        self.choice.record_report("x-3", True)
        chosen = self.chosen()
        self.assertEqual(6, len(chosen))
        self.assertLess(max(chosen.values()), 2 * min(chosen.values()))

    def test_one_peer_does_not_serve_most_of_its_zone(self) -> None:
        self.peers["x-4"] = peer_groups.Peer(("127.0.0.1", 4), "x", "s")
        self.heard = set(self.peers)
        self.choice.record_report("x-2", True)
        self.choice.record_report("x-3", True)
        self.assertIn("y-1", self.chosen())

    def test_peer_with_fewer_tunnels_is_preferred(self) -> None:
        for _ in range(3):
            self.choice.record_opened("x-2")
        self.assertEqual({"x-3"}, set(self.chosen()))
        for _ in range(3):
            self.choice.record_closed("x-2")
        self.assertEqual({"x-2", "x-3"}, set(self.chosen()))

    def test_peer_that_could_not_help_is_avoided_for_a_moment(self) -> None:
        self.choice.record_unable("x-2")
        self.assertEqual({"x-3"}, set(self.chosen()))
        self.clock.advance(server_links.AVOID_TIME)
        self.assertEqual({"x-2", "x-3"}, set(self.chosen()))

    def test_only_peer_is_asked_again_although_it_could_not_help(self) -> None:
        self.heard = {"x-2"}
        self.choice.record_unable("x-2")
        self.assertEqual({"x-2"}, set(self.chosen()))
        self.choice.record_report("x-2", True)
        self.assertEqual(set(), set(self.chosen()))

    def test_silent_and_older_peers_and_asked_ones_are_left_out(self) -> None:
        self.heard = {"x-2", "y-1", "gone"}
        self.peers["x-2"] = peer_groups.Peer(("127.0.0.1", 2), "x")
        self.assertEqual({"y-1"}, set(self.chosen()))
        self.assertIsNone(self.choice.next_peer(["y-1"]))


if __name__ == "__main__":
    unittest.main()
