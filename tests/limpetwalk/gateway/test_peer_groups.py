"""Tests of the groups in which nodes exchange reports."""

import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import server_load


def cluster(nodes: int, zones: int = 5) -> dict[str, peer_groups.Peer]:
    """Return the nodes of a cluster by name."""
    return {
        f"n{number:03d}": peer_groups.Peer(
            ("127.0.0.1", number), f"z{number % zones}"
        )
        for number in range(nodes)
    }


class Plan(unittest.TestCase):
    """Exchanges of all nodes of a cluster."""

    sizes = (1, 2, 9, 24, 25, 80, 195, 385, 1000)

    def test_each_node_gets_each_load_exactly_once(self) -> None:
        for size in self.sizes[:-1]:
            with self.subTest(size):
                peers = cluster(size)
                plans = {name: peer_groups.plan(name, peers) for name in peers}
                covered = {name: [name] for name in peers}
                for name, exchange in plans.items():
                    group = [name, *exchange.members]
                    for receiver in exchange.members:
                        covered[receiver].append(name)
                    for receiver in exchange.partners:
                        covered[receiver] += group
                for receiver, names in covered.items():
                    self.assertEqual(sorted(peers), sorted(names), receiver)

    def test_messages_grow_with_the_square_root_of_the_nodes(self) -> None:
        for size in self.sizes:
            peers = cluster(size)
            exchange = peer_groups.plan("n000", peers)
            count = len(exchange.members) + len(exchange.partners)
            with self.subTest(size):
                self.assertLessEqual(count, max(24, 3 * size**0.5))

    def test_group_lies_in_one_zone(self) -> None:
        peers = cluster(195)
        exchange = peer_groups.plan("n007", peers)
        zones = {peers[name].zone for name in exchange.members}
        self.assertEqual({peers["n007"].zone}, zones)

    def test_node_without_a_row_disturbs_no_large_cluster(self) -> None:
        exchange = peer_groups.plan("new", cluster(195))
        self.assertEqual(frozenset(), exchange.members | exchange.partners)
        small = peer_groups.plan("new", cluster(3))
        self.assertEqual(set(cluster(3)), set(small.members))


class Sums(unittest.TestCase):
    """Sums of groups at the node that receives them."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.loads = server_load.ServerLoads(self.clock)
        self.group = server_load.Source("n000", is_group=True)

    def test_sum_of_another_group_is_not_passed_on(self) -> None:
        self.loads.start_request("s", 1.0)
        member = server_load.Source("n001")
        self.loads.apply_report(
            member, "n001", 1, {"s": server_load.Load(2.0, 1)}
        )
        self.loads.apply_report(
            self.group, "n050", 1, {"s": server_load.Load(4.0, 1)}
        )
        self.assertEqual(
            server_load.Load(3.0, 2), self.loads.group_loads()["s"]
        )
        self.assertEqual(
            server_load.Load(7.0, 3), self.loads.total_loads(["s"])["s"]
        )

    def test_sums_of_two_senders_do_not_add_up(self) -> None:
        for sender, sequence in (("n050", 9), ("n051", 1), ("n050", 10)):
            self.loads.apply_report(
                self.group, sender, sequence, {"s": server_load.Load(1.0, 1)}
            )
        self.assertEqual(1, self.loads.total_loads(["s"])["s"].active)

    def test_age_of_the_oldest_report_is_known(self) -> None:
        self.loads.apply_report(self.group, "n050", 1, {})
        self.clock.advance(0.7)
        self.loads.apply_report(server_load.Source("n001"), "n001", 1, {})
        self.loads.total_loads(["s"])
        self.assertAlmostEqual(0.7, self.loads.oldest_report)
