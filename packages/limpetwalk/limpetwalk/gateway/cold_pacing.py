"""Rate limit of requests to a cold server, without coordination of nodes.

Prevents an overload when many nodes find the same cold, idle server at once.
Rendezvous hashing assigns each cold server a few owners among the nodes; each
owner may send it one request per interval. The part of an owner that is down
stays unused, which is safe.
"""

from collections.abc import Callable

from .. import clock as clocks
from ..peers import rendezvous
from . import types

# Fraction of the allowed rate that is assigned to owners. The rest covers
# requests that were in flight when the server became cold.
USED_SHARE = 0.6
# Interval between two requests of an owner of one part, in seconds. An owner
# of several parts gets a shorter one.
INTERVAL_SECONDS = 1.0


class ColdServerPacer:
    """This node's part of the request rate of cold servers.

    :param node: name of this node.
    :param nodes: returns the names of all known nodes.
    :param bounds: returns the bounds in force.
    :param clock: source of monotonic time.
    """

    def __init__(
        self,
        node: str,
        nodes: Callable[[], frozenset[str]],
        bounds: Callable[[], types.Bounds],
        clock: clocks.Clock,
    ) -> None:
        self._node = node
        self._nodes = nodes
        self._bounds = bounds
        self._clock = clock
        self._next_at: dict[str, float] = {}
        self._ranked_nodes: frozenset[str] = frozenset()
        self._owned: dict[tuple[str, int], bool] = {}

    def may_send(self, server_id: str, rate: float) -> bool:
        """Return whether a request may be sent to a cold server now.

        :param rate: requests per second that the server tolerates.
        """
        if self._interval(server_id, rate) is None:
            return False
        return self._clock.monotonic() >= self._next_at.get(server_id, 0.0)

    def record_sent(self, server_id: str, rate: float) -> None:
        """Record that a request is sent to a cold server."""
        interval = self._interval(server_id, rate)
        if interval is not None:
            now = self._clock.monotonic()
            self._next_at[server_id] = now + interval

    def _interval(self, server_id: str, rate: float) -> float | None:
        """Return the seconds between requests, None when no part is owned."""
        bounds = self._bounds()
        allowed = rate * bounds.cold_factor + bounds.cold_extra
        parts = int(allowed * USED_SHARE * INTERVAL_SECONDS)
        nodes = self._nodes() | {self._node}
        if parts < 1:
            return None
        if parts >= len(nodes):
            return INTERVAL_SECONDS / (parts // len(nodes))
        return (
            INTERVAL_SECONDS if self._owns(server_id, nodes, parts) else None
        )

    def _owns(self, server_id: str, nodes: frozenset[str], parts: int) -> bool:
        key = (server_id, parts)
        if nodes != self._ranked_nodes:
            self._ranked_nodes = nodes
            self._owned.clear()
        if key not in self._owned:
            owners = rendezvous.rank(server_id, nodes)[:parts]
            self._owned[key] = self._node in owners
        return self._owned[key]
