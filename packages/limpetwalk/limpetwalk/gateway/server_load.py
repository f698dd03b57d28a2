"""Load of backend servers, summed over all nodes.

Many nodes send to the same engines, and each sees only its own requests.
Therefore each node reports to the others what it has sent and which prefill
time is still pending, directly or in the sum of its group of nodes.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from dataclasses import dataclass
import math

from .. import clock as clocks

# Seconds after which a node's report no longer counts: several reporting
# intervals.
REPORT_LIFETIME = 1.5
# Seconds for which the sums over the other nodes are cached: less than the
# reporting interval.
SUMS_LIFETIME = 0.03
# Seconds for which a request that was sent counts as recent.
RECENT_SECONDS = 4.0
# Half-life of a request's weight in the mean duration, in seconds.
DURATION_HALF_LIFE = 4.0
# Seconds without requests after which a server's durations are forgotten.
OCCUPANCY_LIFETIME = 30.0
# Seconds for which a rejection counts as recent.
REJECTED_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Load:
    """Load that one node puts on one server.

    :param pending_prefill: pending prefill time, in seconds.
    :param active: number of requests at the server.
    :param recent: number of requests sent to it within ``RECENT_SECONDS``;
        only counted for servers with a limit.
    :param rejected: number of requests that it rejected within
        ``REJECTED_SECONDS``; only counted for brittle servers.
    """

    pending_prefill: float = 0.0
    active: int = 0
    recent: int = 0
    rejected: int = 0


NO_LOAD = Load()


@dataclass(frozen=True, slots=True)
class Source:
    """What a report covers.

    :param name: name of a node, or label of a group of nodes.
    :param is_group: whether the report is the sum of a group.
    """

    name: str
    is_group: bool = False


@dataclass(slots=True)
class _Report:
    received_at: float
    sender: str
    sequence: int
    loads: Mapping[str, Load]


class ServerLoads:
    """Load of servers from this node's requests and from others' reports.

    :param clock: source of monotonic time.
    :ivar oldest_report: age of the oldest report in the current sums, in
        seconds.
    :ivar mean_report_age: mean age of the reports in them that name a load,
        in seconds.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own: dict[str, Load] = {}
        self._sent = _RecentCounts(clock, RECENT_SECONDS)
        self._rejected = _RecentCounts(clock, REJECTED_SECONDS)
        self._occupancy: dict[str, _Occupancy] = {}
        self._reports: dict[Source, _Report] = {}
        self._others: dict[str, Load] = {}
        self._summed_at = -math.inf
        self.oldest_report = 0.0
        self.mean_report_age = 0.0

    def start_request(self, server_id: str, prefill: float) -> None:
        """Record a request that is sent to a server.

        :param prefill: prefill time that it needs, in seconds.
        """
        load = self._own.get(server_id, Load())
        self._occupied(server_id).started += 1.0
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
        self._occupied(server_id)
        if load.active <= 1:
            self._own.pop(server_id, None)
        else:
            self._own[server_id] = Load(load.pending_prefill, load.active - 1)

    def record_sent(self, server_id: str) -> None:
        """Record a request to a server with a limit."""
        self._sent.record(server_id)

    def record_rejected(self, server_id: str) -> None:
        """Record a request that a brittle server rejected."""
        self._rejected.record(server_id)

    def apply_report(
        self,
        source: Source,
        sender: str,
        sequence: int,
        loads: Mapping[str, Load],
    ) -> None:
        """Apply a report; one that was overtaken by a later one is ignored.

        :param source: node or group that the report covers.
        :param sender: node that sent it. Nodes that know different members
            may both send the sum of a group.
        :param sequence: number of the report, which grows with each report
            of the sender and may start lower after its restart.
        :param loads: loads that the source puts on servers.
        """
        now = self._clock.monotonic()
        previous = self._reports.get(source)
        if (
            previous is None
            or previous.sender != sender
            or now - previous.received_at > REPORT_LIFETIME
            or sequence > previous.sequence
        ):
            self._reports[source] = _Report(now, sender, sequence, loads)

    def group_loads(self) -> dict[str, Load]:
        """Return the loads that this node and its group put on servers."""
        nodes = (source for source in self._reports if not source.is_group)
        total = self._sum_reports(nodes)
        for server_id, load in self.own_loads().items():
            total[server_id] = _add(total.get(server_id, NO_LOAD), load)
        return total

    def own_loads(self) -> dict[str, Load]:
        """Return the loads that this node puts on servers."""
        loads = dict(self._own)
        for server_id, recent in self._sent.all().items():
            load = loads.get(server_id, NO_LOAD)
            loads[server_id] = dataclasses.replace(load, recent=recent)
        for server_id, rejected in self._rejected.all().items():
            load = loads.get(server_id, NO_LOAD)
            loads[server_id] = dataclasses.replace(load, rejected=rejected)
        return loads

    def total_loads(self, server_ids: Iterable[str]) -> dict[str, Load]:
        """Return the loads of servers, summed over all nodes."""
        now = self._clock.monotonic()
        if now - self._summed_at > SUMS_LIFETIME:
            self._drop_expired(now)
            self._others = self._sum_reports(self._reports)
            self._summed_at = now
        return {
            server_id: _add(
                self._own.get(server_id, NO_LOAD),
                self._others.get(server_id, NO_LOAD),
            )
            for server_id in server_ids
        }

    def total_recent(self, server_id: str) -> int:
        """Return the requests that all nodes sent to a server recently."""
        total = self.total_loads([server_id])[server_id].recent
        return total + self._sent.count(server_id)

    def own_active(self, server_id: str) -> int:
        """Return the number of this node's requests at a server."""
        return self._own.get(server_id, NO_LOAD).active

    def mean_duration(self, server_ids: Iterable[str]) -> float:
        """Return the mean duration of this node's requests at servers.

        :returns: seconds; 0 without requests.
        """
        seconds = started = 0.0
        for server_id in server_ids:
            if server_id in self._occupancy:
                occupancy = self._occupied(server_id)
                seconds += occupancy.seconds
                started += occupancy.started
        return seconds / started if started else 0.0

    def own_rejected(self, server_id: str) -> int:
        """Return the requests of this node that a server rejected recently."""
        return self._rejected.count(server_id)

    def total_rejected(self, server_id: str) -> int:
        """Return the requests of all nodes that it rejected recently."""
        total = self.total_loads([server_id])[server_id].rejected
        return total + self.own_rejected(server_id)

    def _occupied(self, server_id: str) -> "_Occupancy":
        """Return how a server was occupied until now."""
        now = self._clock.monotonic()
        occupancy = self._occupancy.setdefault(server_id, _Occupancy(now))
        occupancy.advance(now, self.own_active(server_id))
        return occupancy

    def _drop_expired(self, now: float) -> None:
        self._occupancy = {
            server_id: occupancy
            for server_id, occupancy in self._occupancy.items()
            if server_id in self._own
            or now - occupancy.updated_at <= OCCUPANCY_LIFETIME
        }
        self._reports = {
            source: report
            for source, report in self._reports.items()
            if now - report.received_at <= REPORT_LIFETIME
        }
        self.oldest_report = max(
            (now - report.received_at for report in self._reports.values()),
            default=0.0,
        )
        ages = [
            now - report.received_at
            for report in self._reports.values()
            if report.loads
        ]
        self.mean_report_age = sum(ages) / len(ages) if ages else 0.0

    def _sum_reports(self, sources: Iterable[Source]) -> dict[str, Load]:
        oldest = self._clock.monotonic() - REPORT_LIFETIME
        total: dict[str, Load] = {}
        for source in sources:
            report = self._reports[source]
            if report.received_at < oldest:
                continue
            for server_id, load in report.loads.items():
                total[server_id] = _add(total.get(server_id, NO_LOAD), load)
        return total


@dataclass(slots=True)
class _Occupancy:
    """Decaying sums over this node's requests at a server.

    :param seconds: seconds that requests spent there.
    :param started: number of requests that started there.
    """

    updated_at: float
    seconds: float = 0.0
    started: float = 0.0

    def advance(self, now: float, active: int) -> None:
        """Count the time since the last update.

        :param active: number of requests since then.
        """
        elapsed = now - self.updated_at
        factor = 0.5 ** (elapsed / DURATION_HALF_LIFE)
        self.seconds = self.seconds * factor + active * elapsed
        self.started *= factor
        self.updated_at = now


class _RecentCounts:
    """Numbers of recent events, by server.

    :param clock: source of monotonic time.
    :param seconds: time for which an event is recent.
    """

    def __init__(self, clock: clocks.Clock, seconds: float) -> None:
        self._clock = clock
        self._seconds = seconds
        self._times: dict[str, collections.deque[float]] = {}

    def record(self, server_id: str) -> None:
        """Record an event."""
        times = self._times.setdefault(server_id, collections.deque())
        times.append(self._clock.monotonic())

    def count(self, server_id: str) -> int:
        """Return the number of recent events of a server."""
        times = self._times.get(server_id)
        if times is None:
            return 0
        oldest = self._clock.monotonic() - self._seconds
        while times and times[0] < oldest:
            times.popleft()
        if not times:
            del self._times[server_id]
        return len(times)

    def all(self) -> dict[str, int]:
        """Return the numbers of all servers with recent events."""
        counts = {name: self.count(name) for name in list(self._times)}
        return {name: count for name, count in counts.items() if count}


def _add(first: Load, second: Load) -> Load:
    return Load(
        first.pending_prefill + second.pending_prefill,
        first.active + second.active,
        first.recent + second.recent,
        first.rejected + second.rejected,
    )
