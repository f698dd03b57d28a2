"""Load of backend servers, summed over all nodes.

Many nodes send to the same engines, and each sees only its own requests.
Therefore each node reports to the others what it has sent and which prefill
time is still pending.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import math

from .. import clock as clocks

# Seconds after which a node's report no longer counts: several reporting
# intervals.
REPORT_LIFETIME = 1.5
# Seconds for which the sums over the other nodes are cached: less than the
# reporting interval.
SUMS_LIFETIME = 0.03


@dataclass(frozen=True, slots=True)
class Load:
    """Load that one node puts on one server.

    :param pending_prefill: pending prefill time, in seconds.
    :param active: number of requests at the server.
    """

    pending_prefill: float = 0.0
    active: int = 0


NO_LOAD = Load()


@dataclass(slots=True)
class _Report:
    received_at: float
    sequence: int
    loads: Mapping[str, Load]


class ServerLoads:
    """Load of servers from this node's requests and from others' reports.

    :param clock: source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own: dict[str, Load] = {}
        self._reports: dict[str, _Report] = {}
        self._others: dict[str, Load] = {}
        self._summed_at = -math.inf

    def start_request(self, server_id: str, prefill: float) -> None:
        """Record a request that is sent to a server.

        :param prefill: prefill time that it needs, in seconds.
        """
        load = self._own.get(server_id, Load())
        self._own[server_id] = Load(
            load.pending_prefill + prefill, load.active + 1
        )

    def finish_prefill(self, server_id: str, prefill: float) -> None:
        """Record that a server has read a request.

        :param prefill: prefill time that it needed, in seconds.
        """
        load = self._own.get(server_id, Load())
        remaining = max(0.0, load.pending_prefill - prefill)
        self._own[server_id] = Load(remaining, load.active)

    def end_request(self, server_id: str) -> None:
        """Record that a request at a server has ended."""
        load = self._own.get(server_id, Load())
        if load.active <= 1:
            self._own.pop(server_id, None)
        else:
            self._own[server_id] = Load(load.pending_prefill, load.active - 1)

    def apply_report(
        self, node: str, sequence: int, loads: Mapping[str, Load]
    ) -> None:
        """Apply a report of another node; a late one is ignored.

        :param node: name of the node.
        :param sequence: number of the report, which grows with each report
            of the node and may start lower after its restart.
        :param loads: loads that the node puts on servers.
        """
        now = self._clock.monotonic()
        previous = self._reports.get(node)
        expired = (
            previous is None or now - previous.received_at > REPORT_LIFETIME
        )
        if expired or previous is None or sequence > previous.sequence:
            self._reports[node] = _Report(now, sequence, loads)

    def own_loads(self) -> dict[str, Load]:
        """Return the loads that this node puts on servers."""
        return dict(self._own)

    def total_loads(self, server_ids: Iterable[str]) -> dict[str, Load]:
        """Return the loads of servers, summed over all nodes."""
        now = self._clock.monotonic()
        if now - self._summed_at > SUMS_LIFETIME:
            self._others = self._sum_others(now - REPORT_LIFETIME)
            self._summed_at = now
        return {
            server_id: _add(
                self._own.get(server_id, NO_LOAD),
                self._others.get(server_id, NO_LOAD),
            )
            for server_id in server_ids
        }

    def _sum_others(self, oldest: float) -> dict[str, Load]:
        total: dict[str, Load] = {}
        for report in self._reports.values():
            if report.received_at < oldest:
                continue
            for server_id, load in report.loads.items():
                total[server_id] = _add(total.get(server_id, NO_LOAD), load)
        return total


def _add(first: Load, second: Load) -> Load:
    return Load(
        first.pending_prefill + second.pending_prefill,
        first.active + second.active,
    )
