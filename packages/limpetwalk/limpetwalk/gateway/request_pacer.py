"""Rate of requests to a server that all nodes keep without coordination.

The requests that a server may get in an interval are divided into parts, and
rendezvous hashing assigns the parts to nodes. The parts of a node that is down
stay unused, which is safe.
"""

from collections.abc import Callable

from .. import clock as clocks
from ..peers import rendezvous


class RequestPacer:
    """This node's part of the requests that servers may get.

    :param node: name of this node.
    :param nodes: returns the names of all known nodes.
    :param clock: source of monotonic time.
    :param interval: time in which each part allows one request, in seconds.
    """

    def __init__(
        self,
        node: str,
        nodes: Callable[[], frozenset[str]],
        clock: clocks.Clock,
        interval: float,
    ) -> None:
        self._node = node
        self._nodes = nodes
        self._clock = clock
        self._interval = interval
        self._sent_at: dict[str, float] = {}
        self._ranked_nodes: frozenset[str] = frozenset()
        self._ranks: dict[str, int] = {}

    @property
    def node_count(self) -> int:
        """Number of nodes, this one included."""
        return len(self._nodes() | {self._node})

    def may_send(self, server_id: str, parts: int) -> bool:
        """Return whether this node may send a server a request now.

        :param parts: requests that the server may get in an interval.
        """
        owned = self._owned_parts(server_id, parts)
        if owned < 1:
            return False
        if server_id not in self._sent_at:
            return True
        next_at = self._sent_at[server_id] + self._interval / owned
        return self._clock.monotonic() >= next_at

    def record_sent(self, server_id: str) -> None:
        """Record that a request is sent to a server."""
        self._sent_at[server_id] = self._clock.monotonic()

    def _owned_parts(self, server_id: str, parts: int) -> int:
        nodes = self._nodes() | {self._node}
        if nodes != self._ranked_nodes:
            self._ranked_nodes = nodes
            self._ranks.clear()
        if server_id not in self._ranks:
            ranking = rendezvous.rank(server_id, nodes)
            self._ranks[server_id] = ranking.index(self._node)
        rounds, remainder = divmod(parts, len(nodes))
        return rounds + (self._ranks[server_id] < remainder)
