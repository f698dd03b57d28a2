"""Equal shares of workspaces in a service that is short of room.

Serves a workspace that sends many times its usual load. Shares only order
requests that wait anyway, so what one workspace doesn't use, others may.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import math

from .. import clock as clocks
from . import server_load

# Workspaces that a report names; the others are reported as a sum.
MAX_NAMED = 8
# Largest number of requests that a report may name for one workspace. It is
# more than a node holds, so larger ones are errors.
MAX_REQUESTS = 10_000


@dataclass(frozen=True, slots=True)
class Usage:
    """Requests of workspaces in progress at one node, for one service.

    :param named: requests of its largest workspaces.
    :param others: requests of all others together.
    """

    named: Mapping[str, int]
    others: int = 0


@dataclass(slots=True)
class _Report:
    received_at: float
    sender: str
    sequence: int
    usage: Mapping[str, Usage]


class WorkspaceShares:
    """Requests of each workspace in progress, at this node and at others."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own: dict[str, collections.Counter[str]] = {}
        self._reports: dict[server_load.Source, _Report] = {}
        self._others: dict[str, Usage] = {}
        self._summed_at = -math.inf

    def start(self, service: str, workspace: str) -> None:
        """Record a request that proceeds."""
        self._own.setdefault(service, collections.Counter())[workspace] += 1

    def end(self, service: str, workspace: str) -> None:
        """Record the end of a request."""
        usage = self._own.get(service)
        if usage is None or usage[workspace] <= 0:
            return
        usage[workspace] -= 1
        if not usage[workspace]:
            del usage[workspace]

    def own_usage(self) -> dict[str, Usage]:
        """Return the requests in progress at this node, by service."""
        return {
            service: _bounded(usage)
            for service, usage in self._own.items()
            if usage
        }

    def group_usage(self) -> dict[str, Usage]:
        """Return the requests in progress at this node and its group."""
        nodes = [source for source in self._reports if not source.is_group]
        total = self._sum_reports(nodes)
        for service, usage in self._own.items():
            known = total.get(service, Usage({}))
            summed = collections.Counter(known.named)
            summed.update(usage)
            total[service] = _bounded(summed, known.others)
        return total

    def apply_report(
        self,
        source: server_load.Source,
        sender: str,
        sequence: int,
        usage: Mapping[str, Usage],
    ) -> None:
        """Apply a report; one that was overtaken by a later one is ignored.

        :param source: node or group that the report covers.
        :param sender: node that sent it.
        """
        now = self._clock.monotonic()
        previous = self._reports.get(source)
        if (
            previous is None
            or previous.sender != sender
            or now - previous.received_at > server_load.REPORT_LIFETIME
            or sequence > previous.sequence
        ):
            self._reports[source] = _Report(now, sender, sequence, usage)

    def excess(self, service: str, workspace: str) -> float:
        """Return by how many requests a workspace is above its share.

        :returns: 0 within its share.
        """
        own: Mapping[str, int] = self._own.get(service, {})
        others = self._other_nodes().get(service, Usage({}))
        used = own.get(workspace, 0) + others.named.get(workspace, 0)
        if not used:
            return 0.0
        total = sum(own.values()) + sum(others.named.values()) + others.others
        share = total / len(own.keys() | others.named.keys())
        return max(0.0, used - share)

    def _other_nodes(self) -> dict[str, Usage]:
        now = self._clock.monotonic()
        if now - self._summed_at > server_load.SUMS_LIFETIME:
            self._others = self._sum_reports(list(self._reports))
            self._summed_at = now
        return self._others

    def _sum_reports(
        self, sources: Iterable[server_load.Source]
    ) -> dict[str, Usage]:
        oldest = self._clock.monotonic() - server_load.REPORT_LIFETIME
        named: dict[str, collections.Counter[str]] = {}
        others: collections.Counter[str] = collections.Counter()
        for source in sources:
            report = self._reports[source]
            if report.received_at < oldest:
                del self._reports[source]
                continue
            for service, usage in report.usage.items():
                counts = named.setdefault(service, collections.Counter())
                for name, requests in usage.named.items():
                    counts[name] += _valid(requests)
                others[service] += _valid(usage.others)
        return {
            service: Usage(counts, others[service])
            for service, counts in named.items()
        }


def _bounded(usage: Mapping[str, int], others: int = 0) -> Usage:
    """Return usage that names the largest workspaces only."""
    counts = collections.Counter(usage)
    named = dict(counts.most_common(MAX_NAMED))
    return Usage(named, others + counts.total() - sum(named.values()))


def _valid(requests: int) -> int:
    """Return a reported number of requests, or 0 if it can't be right."""
    return requests if 0 <= requests <= MAX_REQUESTS else 0
