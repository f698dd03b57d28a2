"""Tests of the choice of the links between nodes."""

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from limpetwalk.peers import topology

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, database=None
)


def choose(zones, limit):
    """Return the peers that each node chooses, by node."""
    return {
        name: topology.Topology(
            topology.NodeLocation(name, zone), limit
        ).choose(
            {
                peer: peer_zone
                for peer, peer_zone in zones.items()
                if peer != name
            }
        )
        for name, zone in zones.items()
    }


def reachable(links):
    """Return the nodes reachable from the first, over links of either end."""
    neighbours = {name: set(chosen) for name, chosen in links.items()}
    for name, chosen in links.items():
        for peer in chosen:
            neighbours[peer].add(name)
    visited, pending = set(), [min(links)]
    while pending:
        name = pending.pop()
        if name not in visited:
            visited.add(name)
            pending.extend(neighbours[name])
    return visited


class TopologyTest(unittest.TestCase):
    def test_few_nodes_form_a_full_mesh(self):
        zones = {f"n{n}": f"z{n % 3}" for n in range(9)}
        for name, chosen in choose(zones, 40).items():
            self.assertEqual(set(zones) - {name}, chosen)

    def test_nodes_have_few_links_at_the_design_size(self):
        zones = {f"n{n:03d}": f"z{n % 22:02d}" for n in range(380)}
        links = choose(zones, topology.FULL_MESH_NODES)
        counts = {name: len(chosen) for name, chosen in links.items()}
        for chosen in links.values():
            for peer in chosen:
                counts[peer] += 1
        # Links within a zone are chosen, and so counted, by both ends.
        most = max(counts.values()) - 2 * 17
        self.assertLess(most, 12)
        self.assertEqual(set(zones), reachable(links))

    @SETTINGS
    @hypothesis.given(
        strategies.dictionaries(
            strategies.text("abcdef", min_size=1, max_size=4),
            strategies.sampled_from(("z1", "z2", "z3", "z4", "z5")),
            min_size=2,
            max_size=30,
        )
    )
    def test_links_connect_all_nodes(self, zones):
        self.assertEqual(set(zones), reachable(choose(zones, 1)))

    @SETTINGS
    @hypothesis.given(strategies.integers(2, 30), strategies.integers(1, 7))
    def test_the_ring_of_zones_alone_connects_them(self, nodes, count):
        zones = {f"n{n}": f"z{n % count}" for n in range(nodes)}
        with mock.patch.object(topology, "ZONE_LINKS", 0):
            self.assertEqual(set(zones), reachable(choose(zones, 1)))

    def test_full_mesh_is_restored_only_well_below_its_limit(self):
        chooser = topology.Topology(topology.NodeLocation("a", "z1"), 10)
        zones = {f"n{n}": f"z{n % 3}" for n in range(10)}
        chooser.choose(zones)
        self.assertFalse(chooser.is_full_mesh)
        zones.pop("n9")
        chooser.choose(zones)
        self.assertFalse(chooser.is_full_mesh)
        for number in range(7, 9):
            zones.pop(f"n{number}")
        chooser.choose(zones)
        self.assertTrue(chooser.is_full_mesh)
