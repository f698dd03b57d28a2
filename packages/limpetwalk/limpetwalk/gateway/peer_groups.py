"""Which nodes exchange load reports with which.

Serves clusters of many nodes, where a report from each node to each other
costs more than it brings. Nodes form groups of about the square root of their
number, each within one availability zone. A node reports to its own group, and
sends the sum of its group to one node or a few of each other group. So each
node knows the load of all nodes after two steps, and the messages of a node
grow with the square root of the number of nodes.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import math

# Largest number of nodes that form a single group.
MAX_SINGLE_GROUP = 24
# Interval between two reports of a node in a single group of fewer than
# ``NODES_PER_INTERVAL`` nodes, in seconds. Larger groups report less often.
INTERVAL = 0.1
NODES_PER_INTERVAL = 10
# Time in which nodes don't know what the others have just sent, in seconds:
# the interval of reports in a single group, or within and between groups.
SINGLE_GROUP_DELAY = 0.3
GROUPS_DELAY = 0.8

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Peer:
    """Node as it registered itself.

    :param address: ``(host, port)`` at which it receives reports.
    :param zone: availability zone, empty when unknown.
    :param secret: what proves to it that a request for a tunnel comes from a
        node; empty for one that carries no tunnels.
    """

    address: Address
    zone: str = ""
    secret: str = field(default="", repr=False)


@dataclass(frozen=True, slots=True)
class Exchange:
    """Peers of one node.

    :param group: label of the node's group.
    :param members: other nodes of the group, which get the node's reports.
    :param partners: nodes of other groups, which get the sum of the group.
    """

    group: str
    members: frozenset[str]
    partners: frozenset[str]


def has_groups(nodes: int) -> bool:
    """Return whether a number of nodes forms several groups."""
    return nodes > MAX_SINGLE_GROUP


def single_group_interval(nodes: int) -> float:
    """Return the interval between two reports of a node in a single group.

    :param nodes: number of nodes.
    :returns: seconds.
    """
    return INTERVAL * (1 + nodes // NODES_PER_INTERVAL)


def report_delay(nodes: int) -> float:
    """Return the time in which nodes don't know what the others sent.

    :param nodes: number of nodes.
    :returns: seconds.
    """
    return GROUPS_DELAY if has_groups(nodes) else SINGLE_GROUP_DELAY


def plan(node: str, peers: Mapping[str, Peer]) -> Exchange:
    """Return the peers with which a node exchanges reports.

    :param peers: all known nodes by name.
    """
    groups = _groups(peers)
    own = next((group for group in groups if node in group), None)
    if own is None:
        # The node hasn't read its own row yet.
        others = frozenset(peers) if len(groups) <= 1 else frozenset()
        return Exchange(node, others, frozenset())
    position = own.index(node)
    partners = {
        name
        for group in groups
        if group is not own
        for index, name in enumerate(group)
        if index % len(own) == position
    }
    return Exchange(
        group=own[0],
        members=frozenset(own) - {node},
        partners=frozenset(partners),
    )


def _groups(peers: Mapping[str, Peer]) -> list[list[str]]:
    if not has_groups(len(peers)):
        return [sorted(peers)] if peers else []
    size = math.isqrt(len(peers))
    by_zone: dict[str, list[str]] = {}
    for name in sorted(peers):
        by_zone.setdefault(peers[name].zone, []).append(name)
    groups = []
    for _, names in sorted(by_zone.items()):
        count = max(1, round(len(names) / size))
        groups += [names[start::count] for start in range(count)]
    return groups
