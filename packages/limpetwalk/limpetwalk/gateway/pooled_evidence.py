"""Evidence of roll-outs, collected by one node of each group.

Serves clusters of many nodes, whose rows of evidence would come too rarely if
each node wrote its own. The members of a group send their reports to a
collector, which writes one row. The counts of a report only grow while its
node runs, so that of two reports the one with more requests is the later.
"""

from dataclasses import dataclass
from dataclasses import field
import json

from . import json_decoder
from . import version_tallies


@dataclass(slots=True)
class Pool:
    """Reports of some nodes about one order."""

    _reports: dict[str, version_tallies.EvidenceReport] = field(
        default_factory=dict
    )

    def add(self, node: str, report: version_tallies.EvidenceReport) -> None:
        """Add the report of a node, unless a later one is known."""
        known = self._reports.get(node)
        if known is None or _requests(report) >= _requests(known):
            self._reports[node] = report

    def add_json(self, node: str, text: str) -> None:
        """Add a report from its JSON; an unreadable one counts as empty."""
        self.add(node, version_tallies.EvidenceReport.from_json(text))

    def add_row(self, text: str) -> None:
        """Add the reports of a row; an unreadable one adds nothing."""
        try:
            nodes = json_decoder.decode(text)["nodes"]
            entries = list(nodes.items())
        except (AttributeError, KeyError, TypeError, ValueError):
            return
        for node, report in entries:
            self.add(node, version_tallies.EvidenceReport.from_dict(report))

    def to_row(self) -> str:
        """Return the row with all reports."""
        return json.dumps(
            {
                "nodes": {
                    node: report.to_dict()
                    for node, report in sorted(self._reports.items())
                }
            }
        )

    @property
    def nodes(self) -> int:
        """Number of nodes that have reported."""
        return len(self._reports)

    def nodes_in_phase(self, phase: str) -> frozenset[str]:
        """Return the nodes that know a phase."""
        return frozenset(
            node
            for node, report in self._reports.items()
            if report.phase == phase
        )

    def total(self) -> version_tallies.EvidenceReport:
        """Return the sum of all reports, without a phase."""
        total = version_tallies.EvidenceReport()
        for report in self._reports.values():
            total.base.add(report.base)
            total.candidate.add(report.candidate)
            total.base_paces.add(report.base_paces)
            total.candidate_paces.add(report.candidate_paces)
            total.old_in_flight += report.old_in_flight
            total.rate += report.rate
        return total


def _requests(report: version_tallies.EvidenceReport) -> int:
    return report.base.requests + report.candidate.requests
