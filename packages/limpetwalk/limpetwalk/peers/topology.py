"""Which peers a node keeps links to.

Few nodes form a full mesh. Many form a mesh within each availability zone,
and each node has a few links to nodes of other zones.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from . import rendezvous

FULL_MESH_NODES = 24
# A full mesh comes back at this share of FULL_MESH_NODES only, so that one
# node that comes and goes does not turn the links over each time.
FULL_MESH_AGAIN = 0.8
ZONE_LINKS = 2


@dataclass(frozen=True, slots=True)
class Place:
    """Node that may be linked to.

    :param name: name of the node.
    :param zone: its availability zone.
    """

    name: str
    zone: str


class Topology:
    """Choice of the links of one node.

    :param own: name and zone of this node.
    :param full_mesh_nodes: most nodes that form a full mesh.
    """

    def __init__(
        self, own: Place, full_mesh_nodes: int = FULL_MESH_NODES
    ) -> None:
        self._own = own
        self._limit = full_mesh_nodes
        self._zones: dict[str, str] = {}
        self._chosen: frozenset[str] = frozenset()
        self.is_full_mesh = True

    def choose(self, zones: Mapping[str, str]) -> frozenset[str]:
        """Return the names of the peers to keep links to.

        :param zones: zone of each known peer by its name.
        """
        if zones != self._zones:
            self._zones = dict(zones)
            self._chosen = self._choose(zones)
        return self._chosen

    def _choose(self, zones: Mapping[str, str]) -> frozenset[str]:
        limit = self._limit
        if not self.is_full_mesh:
            limit = int(limit * FULL_MESH_AGAIN)
        self.is_full_mesh = len(zones) + 1 <= limit
        if self.is_full_mesh:
            return frozenset(zones)
        by_zone: dict[str, list[str]] = {self._own.zone: [self._own.name]}
        for name, zone in zones.items():
            by_zone.setdefault(zone, []).append(name)
        near = by_zone.pop(self._own.zone)
        chosen = {*near, *self._far(by_zone), *self._ring(by_zone, near)}
        chosen.discard(self._own.name)
        return frozenset(chosen)

    def _far(self, by_zone: Mapping[str, list[str]]) -> list[str]:
        """Return one node in each of a few zones."""
        subject = f"far/{self._own.name}"
        return [
            rendezvous.rank(subject, by_zone[zone])[0]
            for zone in rendezvous.rank(subject, by_zone)[:ZONE_LINKS]
        ]

    def _ring(
        self, by_zone: Mapping[str, list[str]], near: list[str]
    ) -> list[str]:
        """Return a node of the next zone if this node is its zone's gate.

        The ring of zones keeps the whole connected, however the links
        chosen by hash fall.
        """
        if not by_zone:
            return []
        own = self._own.zone
        later = [zone for zone in by_zone if zone > own]
        following = min(later) if later else min(by_zone)
        subject = f"ring/{own}"
        if rendezvous.owner(subject, near) != self._own.name:
            return []
        return [rendezvous.rank(subject, by_zone[following])[0]]
