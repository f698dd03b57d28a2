"""Rate limit of requests to a cold server, without coordination of nodes.

Prevents an overload when many nodes find the same cold, idle server at once.
"""

from collections.abc import Callable

from .. import clock as clocks
from . import request_pacer
from . import types

# Fraction of the allowed rate that is assigned to nodes. The rest covers
# requests that were in flight when the server became cold.
USED_SHARE = 0.6
# Interval in which each part allows one request, in seconds.
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
        self._bounds = bounds
        self._pacer = request_pacer.RequestPacer(
            node, nodes, clock, INTERVAL_SECONDS
        )

    def may_send(self, server_id: str, rate: float) -> bool:
        """Return whether a request may be sent to a cold server now.

        :param rate: requests per second that the server tolerates.
        """
        return self._pacer.may_send(server_id, self._parts(rate))

    def record_sent(self, server_id: str) -> None:
        """Record that a request is sent to a cold server."""
        self._pacer.record_sent(server_id)

    def _parts(self, rate: float) -> int:
        bounds = self._bounds()
        allowed = rate * bounds.cold_factor + bounds.cold_extra
        parts = int(allowed * USED_SHARE * INTERVAL_SECONDS)
        nodes = self._pacer.node_count
        return parts - parts % nodes if parts >= nodes else parts
