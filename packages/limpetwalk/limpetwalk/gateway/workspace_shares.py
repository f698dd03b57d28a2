"""Equal shares of workspaces in a service that is short of room.

Serves a workspace that sends many times its usual load. Shares only order
requests that wait anyway, so what one workspace doesn't use, others may.
"""

import collections
from collections.abc import Mapping
from dataclasses import dataclass

from .. import clock as clocks

# Workspaces that a report names; the others are reported as a sum.
MAX_NAMED = 8
# Largest number of requests that a report may name for one workspace. It is
# more than a node holds, so larger ones are errors.
MAX_REQUESTS = 10_000
# Seconds after which a node's report no longer counts.
REPORT_LIFETIME = 1.5


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
    sequence: int
    usage: Mapping[str, Usage]


class WorkspaceShares:
    """Requests of each workspace in progress, at this node and at others."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own: dict[str, collections.Counter[str]] = {}
        self._reports: dict[str, _Report] = {}

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
        result = {}
        for service, usage in self._own.items():
            if usage:
                named = dict(usage.most_common(MAX_NAMED))
                others = usage.total() - sum(named.values())
                result[service] = Usage(named, others)
        return result

    def apply_report(
        self, sender: str, sequence: int, usage: Mapping[str, Usage]
    ) -> None:
        """Apply another node's report; an overtaken one is ignored."""
        now = self._clock.monotonic()
        previous = self._reports.get(sender)
        if (
            previous is None
            or now - previous.received_at > REPORT_LIFETIME
            or sequence > previous.sequence
        ):
            self._reports[sender] = _Report(now, sequence, usage)

    def excess(self, service: str, workspace: str) -> float:
        """Return by how many requests a workspace is above its share.

        :returns: 0 within its share.
        """
        usage, others = self._total(service)
        used = usage[workspace]
        if not used:
            return 0.0
        share = (usage.total() + others) / len(usage)
        return max(0.0, used - share)

    def _total(self, service: str) -> tuple[collections.Counter[str], int]:
        """Return the requests by workspace, and those without a name."""
        oldest = self._clock.monotonic() - REPORT_LIFETIME
        total = collections.Counter(self._own.get(service, {}))
        others = 0
        for sender, report in list(self._reports.items()):
            if report.received_at < oldest:
                del self._reports[sender]
                continue
            usage = report.usage.get(service)
            if usage is None:
                continue
            largest = sorted(
                usage.named.items(), key=lambda item: item[1], reverse=True
            )
            for name, requests in largest[:MAX_NAMED]:
                total[name] += _valid(requests)
            others += _valid(usage.others)
        return total, others


def _valid(requests: int) -> int:
    """Return a reported number of requests, or 0 if it can't be right."""
    return requests if 0 <= requests <= MAX_REQUESTS else 0
