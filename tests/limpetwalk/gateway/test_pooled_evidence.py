"""Tests of evidence that one node of a group collects."""

import json
import unittest

from limpetwalk.gateway import pooled_evidence
from limpetwalk.gateway import version_tallies
from limpetwalk.rollouts import evidence


def report(
    successes: int, failures: int = 0, phase: str = "canary"
) -> version_tallies.EvidenceReport:
    """Return a report on the new version."""
    return version_tallies.EvidenceReport(
        candidate=evidence.Tally(failures=failures, successes=successes),
        old_in_flight=1,
        phase=phase,
    )


class Pooling(unittest.TestCase):
    """Reports of the nodes of a cluster, in the rows of collectors."""

    def setUp(self) -> None:
        self.pool = pooled_evidence.Pool()

    def row(self, **reports: version_tallies.EvidenceReport) -> str:
        """Return the row of a collector."""
        pool = pooled_evidence.Pool()
        for node, node_report in reports.items():
            pool.add(node, node_report)
        return pool.to_row()

    def test_rows_of_collectors_add_up(self) -> None:
        self.pool.add_row(self.row(a=report(1), b=report(2, 1)))
        self.pool.add_row(self.row(c=report(4)))
        total = self.pool.total()
        self.assertEqual(
            (7, 1, 3),
            (
                total.candidate.successes,
                total.candidate.failures,
                total.old_in_flight,
            ),
        )

    def test_node_in_the_rows_of_two_collectors_counts_once(self) -> None:
        later, earlier = report(5, 1), report(2)
        for rows in ((later, earlier), (earlier, later)):
            pool = pooled_evidence.Pool()
            for node_report in rows:
                pool.add_row(self.row(a=node_report))
            self.assertEqual(5, pool.total().candidate.successes)

    def test_nodes_in_a_phase(self) -> None:
        self.pool.add_row(self.row(a=report(1), b=report(1, phase="full")))
        self.assertEqual({"b"}, set(self.pool.nodes_in_phase("full")))

    def test_unreadable_rows_and_reports_add_nothing(self) -> None:
        for text in ("", "[]", "{}", '{"nodes": 3}', '{"nodes": {"a": 1}}'):
            self.pool.add_row(text)
        self.assertEqual(0, self.pool.total().candidate.requests)

    def test_odd_reports_cost_no_other_report(self) -> None:
        huge = 10**400
        for path, value in (
            (("candidate", "failures"), "many"),
            (("candidate", "successes"), -1),
            (("base", "successes"), huge),
            (("base", "total"), "1"),
            (("base_paces", "failures"), None),
            (("candidate_paces", "squares"), huge),
            (("old_in_flight",), huge),
            (("rate",), huge),
            (("rate",), "nan"),
        ):
            document = json.loads(self.row(odd=report(3), sound=report(2)))
            *parts, name = path
            part = document["nodes"]["odd"]
            for key in parts:
                part = part[key]
            part[name] = value
            pool = pooled_evidence.Pool()
            pool.add_row(json.dumps(document))
            with self.subTest(path=path):
                self.assertEqual(2, pool.total().candidate.successes)

    def test_deeply_nested_evidence_adds_nothing(self) -> None:
        nested = "[" * 1100 + "]" * 1100
        self.pool.add_row(self.row(a=report(1)))
        self.pool.add_row(f'{{"nodes": {nested}}}')
        self.pool.add_json("b", nested)
        self.assertEqual(1, self.pool.total().candidate.successes)

    def test_later_report_of_another_build_keeps_unknown_fields_out(
        self,
    ) -> None:
        document = json.loads(self.row(a=report(3)))
        document["nodes"]["a"]["added"] = 1
        document["more"] = {}
        self.pool.add_row(json.dumps(document))
        self.assertEqual(3, self.pool.total().candidate.successes)
