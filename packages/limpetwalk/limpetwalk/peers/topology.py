"""Choice of the peers that a node keeps links to.

A small number of nodes forms a full mesh. A larger number forms a full mesh
within each availability zone, and each node has links to a few nodes of other
zones.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from . import rendezvous

FULL_MESH_NODES = 24
# The full mesh is restored only at this fraction of FULL_MESH_NODES, so that
# one node that joins and leaves does not cause all links to change each time.
FULL_MESH_RESTORE_FRACTION = 0.8
# Number of other zones that each node has a link to.
ZONE_LINKS = 2


@dataclass(frozen=True, slots=True)
class NodeLocation:
    """Name and zone of a node.

    :param name: name of the node.
    :param zone: its availability zone.
    """

    name: str
    zone: str


class Topology:
    """Chooses the links of one node.

    :param own: name and zone of this node.
    :param full_mesh_nodes: greatest number of nodes that form a full mesh.
    """

    def __init__(
        self, own: NodeLocation, full_mesh_nodes: int = FULL_MESH_NODES
    ) -> None:
        self._own = own
        self._limit = full_mesh_nodes
        self._zones: dict[str, str] = {}
        self._chosen: frozenset[str] = frozenset()
        self.is_full_mesh = True

    def choose(self, zones: Mapping[str, str]) -> frozenset[str]:
        """Return the names of the peers to keep links to.

        :param zones: zones of all known peers by name.
        """
        if zones != self._zones:
            self._zones = dict(zones)
            self._chosen = self._choose(zones)
        return self._chosen

    def _choose(self, zones: Mapping[str, str]) -> frozenset[str]:
        limit = self._limit
        if not self.is_full_mesh:
            limit = int(limit * FULL_MESH_RESTORE_FRACTION)
        self.is_full_mesh = len(zones) + 1 <= limit
        if self.is_full_mesh:
            return frozenset(zones)
        by_zone: dict[str, list[str]] = {self._own.zone: [self._own.name]}
        for name, zone in zones.items():
            by_zone.setdefault(zone, []).append(name)
        own_zone = by_zone.pop(self._own.zone)
        chosen = {
            *own_zone,
            *self._zone_links(by_zone),
            *self._ring_link(by_zone, own_zone),
        }
        chosen.discard(self._own.name)
        return frozenset(chosen)

    def _zone_links(self, by_zone: Mapping[str, list[str]]) -> list[str]:
        """Return one node in each of ``ZONE_LINKS`` other zones."""
        subject = f"far/{self._own.name}"
        return [
            rendezvous.rank(subject, by_zone[zone])[0]
            for zone in rendezvous.rank(subject, by_zone)[:ZONE_LINKS]
        ]

    def _ring_link(
        self, by_zone: Mapping[str, list[str]], own_zone: list[str]
    ) -> list[str]:
        """Return a node of the next zone if this node owns its zone's link.

        One node of each zone links to the next zone. This ring keeps all
        zones connected, whatever links the hash chooses otherwise.
        """
        if not by_zone:
            return []
        zone_name = self._own.zone
        later = [zone for zone in by_zone if zone > zone_name]
        next_zone = min(later) if later else min(by_zone)
        subject = f"ring/{zone_name}"
        if rendezvous.owner(subject, own_zone) != self._own.name:
            return []
        return [rendezvous.rank(subject, by_zone[next_zone])[0]]
