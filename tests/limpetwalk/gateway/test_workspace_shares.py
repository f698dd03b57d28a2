"""Shares of workspaces, from this node's requests and others' reports."""

import unittest

import hypothesis
from hypothesis import strategies as st

from limpetwalk import clock as clocks
from limpetwalk.gateway import server_load
from limpetwalk.gateway import workspace_shares

SERVICE = "s"


def source(name: str, is_group: bool = False) -> server_load.Source:
    """Return the source of a report."""
    return server_load.Source(name, is_group)


class SharesCase(unittest.TestCase):
    """Shares at one node."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.shares = workspace_shares.WorkspaceShares(self.clock)

    def start(self, workspace: str, requests: int) -> None:
        for _ in range(requests):
            self.shares.start(SERVICE, workspace)

    def report(self, name: str, sequence: int = 1, **named: int) -> None:
        self.shares.apply_report(
            source(name),
            name,
            sequence,
            {SERVICE: workspace_shares.Usage(named)},
        )
        self.clock.advance(2 * server_load.SUMS_LIFETIME)


class OwnRequests(SharesCase):
    """Requests in progress at this node."""

    def test_only_what_is_above_an_equal_share_is_excess(self) -> None:
        self.start("flood", 12)
        self.start("a", 3)
        self.start("b", 3)
        self.assertEqual(6.0, self.shares.excess(SERVICE, "flood"))
        self.assertEqual(0.0, self.shares.excess(SERVICE, "a"))

    def test_workspace_without_requests_is_within_its_share(self) -> None:
        self.start("flood", 12)
        self.assertEqual(0.0, self.shares.excess(SERVICE, "new"))

    def test_services_are_counted_apart(self) -> None:
        self.start("flood", 12)
        self.start("a", 2)
        self.assertEqual(0.0, self.shares.excess("other", "flood"))

    def test_ended_requests_no_longer_count(self) -> None:
        self.start("a", 2)
        for _ in range(5):
            self.shares.end(SERVICE, "a")
        self.assertEqual({}, self.shares.own_usage())


class Reports(SharesCase):
    """Requests in progress at other nodes."""

    def test_flood_through_all_nodes_is_seen_at_each(self) -> None:
        self.start("flood", 1)
        self.start("a", 1)
        self.report("n2", flood=5, a=1)
        self.report("n3", flood=5, b=1)
        self.assertGreater(self.shares.excess(SERVICE, "flood"), 5)
        self.assertEqual(0.0, self.shares.excess(SERVICE, "a"))

    def test_report_of_a_node_that_was_killed_expires(self) -> None:
        self.start("a", 1)
        self.report("n2", flood=50)
        self.clock.advance(server_load.REPORT_LIFETIME)
        self.assertEqual(0.0, self.shares.excess(SERVICE, "flood"))

    def test_overtaken_report_is_ignored(self) -> None:
        self.start("a", 2)
        self.report("n2", sequence=5, a=1, b=3)
        self.report("n2", sequence=4, a=50, b=3)
        self.assertEqual(0.0, self.shares.excess(SERVICE, "a"))

    def test_absurd_number_does_not_count(self) -> None:
        self.start("a", 2)
        self.start("b", 2)
        self.report("n2", a=2**32 - 1)
        self.assertEqual(0.0, self.shares.excess(SERVICE, "a"))

    def test_report_names_few_workspaces_and_sums_the_others(self) -> None:
        for number in range(24):
            self.start(f"w{number}", 24 - number)
        usage = self.shares.own_usage()[SERVICE]
        self.assertEqual(workspace_shares.MAX_NAMED, len(usage.named))
        self.assertIn("w0", usage.named)
        total = sum(usage.named.values()) + usage.others
        self.assertEqual(24 * 25 // 2, total)

    def test_sum_of_a_group_leaves_other_groups_out(self) -> None:
        self.start("a", 1)
        self.report("n2", a=2, b=1)
        self.shares.apply_report(
            source("group", is_group=True),
            "n9",
            1,
            {SERVICE: workspace_shares.Usage({"a": 100})},
        )
        usage = self.shares.group_usage()[SERVICE]
        self.assertEqual({"a": 3, "b": 1}, dict(usage.named))


class AnyOrder(SharesCase):
    """What holds under any order of events."""

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(("start", "end", "report", "wait")),
                st.sampled_from("abcdef"),
                st.integers(0, 2**32 - 1),
            ),
            max_size=60,
        )
    )
    def test_somebody_is_always_within_the_share(
        self, steps: list[tuple[str, str, int]]
    ) -> None:
        self.setUp()
        for kind, name, value in steps:
            if kind == "start":
                self.shares.start(SERVICE, name)
            elif kind == "end":
                self.shares.end(SERVICE, name)
            elif kind == "report":
                self.report("n2", value, **{name: value})
            else:
                self.clock.advance(value % 100 / 50)
            excesses = [self.shares.excess(SERVICE, w) for w in "abcdef"]
            self.assertGreaterEqual(min(excesses), 0.0)
            self.assertIn(0.0, excesses)
            for usage in self.shares.own_usage().values():
                self.assertTrue(all(n > 0 for n in usage.named.values()))
