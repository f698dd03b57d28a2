"""Limits that servers in need name for the requests of all nodes together.

Serves a load in which a server asks for fewer requests per second than it
would get, and many nodes send to it. Each node gets a part of the limit, and
may use what the others leave unused, by their load reports. The limits that
nodes have been told travel with these reports, so that one answer is enough
for all nodes.
"""

from collections.abc import Callable
import random

from .. import clock as clocks
from . import peer_groups
from . import request_pacer
from . import server_load
from . import stated_values

# Interval over which a limit is divided among the nodes, in seconds: long
# enough for a limit of a few requests per second and as many nodes.
INTERVAL_SECONDS = server_load.RECENT_SECONDS
# Requests that a server may get in the interval beyond its limit: up to this
# share of it, and this number. The platform allows half of it, and five.
EXTRA_SHARE = 0.5
EXTRA_REQUESTS = 2
# Share of a limit that is divided among the nodes. The rest, and what they
# leave unused, is open to all.
OWN_SHARE = 0.5


class ServerLimits(stated_values.StatedValues):
    """Limits of servers, and this node's part of each.

    :param node: name of this node.
    :param nodes: returns the names of all known nodes.
    :param loads: load of servers, by the reports of all nodes.
    :param clock: source of monotonic time.
    :param demand: returns the requests per second that all nodes send to the
        service of a server.
    :param rng: random source for the use of what others leave unused.
    :param on_change: called with the server and its new limit, in requests
        per second, or None when it has ended.
    """

    def __init__(
        self,
        node: str,
        nodes: Callable[[], frozenset[str]],
        loads: server_load.ServerLoads,
        clock: clocks.Clock,
        demand: Callable[[str], float],
        rng: random.Random,
        on_change: Callable[[str, float | None], None],
    ) -> None:
        super().__init__(clock, on_change)
        self._loads = loads
        self._demand = demand
        self._rng = rng
        self._pacer = request_pacer.RequestPacer(
            node, nodes, clock, INTERVAL_SECONDS
        )

    def may_send(self, server_id: str) -> bool:
        """Return whether this node may send a server a request now."""
        rate = self.value(server_id)
        if rate is None:
            return True
        unused = self._unused(server_id, rate)
        if unused <= 0:
            return False
        parts = max(1, int(_allowed(rate) * OWN_SHARE))
        if self._pacer.may_send(server_id, parts):
            return True
        # Many nodes may want a request that looks unused before they hear of
        # each other.
        return self._rng.random() * (1.0 + self._unheard(server_id)) < unused

    def record_sent(self, server_id: str) -> None:
        """Record that a request is sent to a server."""
        if self.is_known(server_id):
            self._pacer.record_sent(server_id)
            self._loads.record_sent(server_id)

    def _unused(self, server_id: str, rate: float) -> int:
        """Return the requests that a server may still get in the interval."""
        return _allowed(rate) - self._loads.total_recent(server_id)

    def _unheard(self, server_id: str) -> float:
        """Return the requests that others may have placed unheard.

        Each of them may have drawn for each server of its service, whichever
        it chose in the end.
        """
        delay = peer_groups.report_delay(self._pacer.node_count)
        return delay * self._demand(server_id)


def _allowed(rate: float) -> int:
    """Return the requests that all nodes may send a server in the interval."""
    requests = rate * INTERVAL_SECONDS
    extra = min(EXTRA_SHARE * requests, EXTRA_REQUESTS)
    # A single request shows whether a limit of none still holds.
    return max(1, int(requests + extra))
