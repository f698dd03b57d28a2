"""Work that waits at backend servers, over all nodes.

Answers the load of many nodes that send to the same engines: each sees only
its own requests, so each tells the others what it has sent and what has not
begun to be answered.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import math

from .. import clock as clocks

# Time after which what a node told no longer counts, seconds: several
# rounds of telling.
REPORT_LIFETIME = 1.5
# Time for which sums over the other nodes are kept, seconds: less than the
# pause between two rounds of telling.
SUMS_LIFETIME = 0.03


@dataclass(frozen=True, slots=True)
class Load:
    """Load that one node puts on one server.

    :param waiting: seconds of reading that the server has not done yet.
    :param active: requests at the server.
    """

    waiting: float = 0.0
    active: int = 0


NO_LOAD = Load()


@dataclass(slots=True)
class _Told:
    at: float
    sequence: int
    loads: Mapping[str, Load]


class ServerLoads:
    """Load of servers by this node and by what others tell.

    :param clock: source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own: dict[str, Load] = {}
        self._told: dict[str, _Told] = {}
        self._others: dict[str, Load] = {}
        self._summed_at = -math.inf

    def start_request(self, server_id: str, reading: float) -> None:
        """Note a request that was sent.

        :param reading: seconds of reading that it asks for.
        """
        held = self._own.get(server_id, Load())
        self._own[server_id] = Load(held.waiting + reading, held.active + 1)

    def finish_prefill(self, server_id: str, reading: float) -> None:
        """Note that a server has read a request."""
        held = self._own.get(server_id, Load())
        left = max(0.0, held.waiting - reading)
        self._own[server_id] = Load(left, held.active)

    def end_request(self, server_id: str) -> None:
        """Note that a request has ended."""
        held = self._own.get(server_id, Load())
        if held.active <= 1:
            self._own.pop(server_id, None)
        else:
            self._own[server_id] = Load(held.waiting, held.active - 1)

    def apply_report(
        self, node: str, sequence: int, loads: Mapping[str, Load]
    ) -> None:
        """Take over what another node told.

        :param sequence: grows with each time that the node tells; it starts
            anew with the node.
        """
        now = self._clock.monotonic()
        held = self._told.get(node)
        fresh = held is None or now - held.at > REPORT_LIFETIME
        if fresh or held is None or sequence > held.sequence:
            self._told[node] = _Told(now, sequence, loads)

    def own(self) -> dict[str, Load]:
        """Return the loads of this node."""
        return dict(self._own)

    def at(self, server_ids: Iterable[str]) -> dict[str, Load]:
        """Return the loads of servers, over all nodes."""
        now = self._clock.monotonic()
        if now - self._summed_at > SUMS_LIFETIME:
            self._others = self._sum_others(now - REPORT_LIFETIME)
            self._summed_at = now
        return {
            server_id: _sum(
                self._own.get(server_id, NO_LOAD),
                self._others.get(server_id, NO_LOAD),
            )
            for server_id in server_ids
        }

    def _sum_others(self, oldest: float) -> dict[str, Load]:
        total: dict[str, Load] = {}
        for told in self._told.values():
            if told.at < oldest:
                continue
            for server_id, load in told.loads.items():
                total[server_id] = _sum(total.get(server_id, NO_LOAD), load)
        return total


def _sum(one: Load, other: Load) -> Load:
    return Load(one.waiting + other.waiting, one.active + other.active)
