"""Tests of limits that servers name for all nodes together."""

import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import server_limits
from limpetwalk.gateway import server_load
from limpetwalk.gateway import stated_values


class Nodes:
    """Nodes that know the same limits.

    :param count: number of nodes.
    :param rate: requests per second that they would send.
    """

    def __init__(self, count: int, rate: float = 1.0) -> None:
        self.clock = clocks.ManualClock()
        self.changes: list[tuple[str, float | None]] = []
        names = frozenset(f"n{number}" for number in range(count))
        rng = random.Random(7)
        self.loads = [server_load.ServerLoads(self.clock) for _ in names]
        self.limits = [
            server_limits.ServerLimits(
                name,
                lambda: names,
                loads,
                self.clock,
                lambda server: rate,
                rng,
                lambda *change: self.changes.append(change),
            )
            for name, loads in zip(sorted(names), self.loads, strict=True)
        ]

    def exchange_reports(self) -> None:
        """Let each node know what the others have sent."""
        reports = [loads.own_loads() for loads in self.loads]
        sums: dict[str, server_load.Load] = {}
        for report in reports:
            for server, load in report.items():
                total = sums.get(server, server_load.NO_LOAD).recent
                sums[server] = server_load.Load(recent=total + load.recent)
        for number, loads in enumerate(self.loads):
            others = {
                server: server_load.Load(
                    recent=load.recent
                    - reports[number].get(server, server_load.NO_LOAD).recent
                )
                for server, load in sums.items()
            }
            sequence = int(self.clock.monotonic() * 1000)
            loads.apply_report(
                server_load.Source("others", True), "n", sequence, others
            )

    def tell(self, server: str, text: str | None) -> None:
        """Let an answer of a server reach each node."""
        for limits in self.limits:
            limits.record_answer(server, text)


class SharedLimit(unittest.TestCase):
    """Many nodes that would send far more than a server takes."""

    COUNTS = (1, 9, 24, 195)

    def sent(
        self, count: int, rate: float, wanted: float, senders: int
    ) -> list[float]:
        """Return when requests were sent.

        :param wanted: requests per second that the nodes would send.
        :param senders: number of nodes that have requests.
        """
        nodes = Nodes(count, wanted)
        rng = random.Random(5)
        sent: list[float] = []
        step = 0.01
        for turn in range(2500):
            if turn % 30 == 0:
                nodes.exchange_reports()
            if turn % 100 == 0:
                nodes.tell("s", str(rate))
            due = int(wanted * step) + (rng.random() < wanted * step % 1)
            for limits in rng.choices(nodes.limits[:senders], k=due):
                if limits.may_send("s"):
                    limits.record_sent("s")
                    sent.append(nodes.clock.monotonic())
            nodes.clock.advance(step)
        return sent

    def most(self, sent: list[float]) -> int:
        """Return the largest number of requests within 4 s."""
        return max(
            sum(1 for at in sent if start <= at < start + 4.0)
            for start in sent
        )

    def test_all_nodes_together_stay_within_the_limit(self) -> None:
        for count in self.COUNTS:
            for rate in (0.5, 2.1, 8.0):
                for excess in (3, 20):
                    sent = self.sent(count, rate, excess * rate, count)
                    self.assertLessEqual(
                        self.most(sent), 4 * rate * 1.5 + 5, (count, rate)
                    )

    def test_most_of_the_limit_is_used(self) -> None:
        for count in self.COUNTS:
            for rate in (2.1, 8.0):
                sent = self.sent(count, rate, 3 * rate, count)
                self.assertGreater(len(sent), 0.8 * 25 * rate, (count, rate))

    def test_few_nodes_may_use_the_parts_of_the_others(self) -> None:
        for count in (9, 24):
            sent = self.sent(count, 3.0, 9.0, 2)
            self.assertLessEqual(self.most(sent), 4 * 3 * 1.5 + 5)
            self.assertGreater(len(sent), 0.8 * 25 * 3.0, count)


class AllLimited(unittest.TestCase):
    """All servers have limits, and all nodes want those with room left.

    A report reaches nodes of other groups after up to 0.8 s.
    """

    SERVERS = [f"s-{number}" for number in range(12)]

    def sent(self, count: int, rate: float) -> dict[str, list[float]]:
        """Return when each server got a request."""
        wanted = 3 * rate * len(self.SERVERS)
        nodes = Nodes(count, wanted)
        rng = random.Random(3)
        sent: dict[str, list[float]] = {name: [] for name in self.SERVERS}
        step = 0.01
        for turn in range(1500):
            if turn % (80 if count > 24 else 30) == 0:
                nodes.exchange_reports()
            if turn % 100 == 0:
                for server in self.SERVERS:
                    nodes.tell(server, str(rate))
            due = int(wanted * step) + (rng.random() < wanted * step % 1)
            for node in rng.choices(range(count), k=due):
                self.send(nodes, node, sent)
            nodes.clock.advance(step)
        return sent

    def send(
        self, nodes: Nodes, node: int, sent: dict[str, list[float]]
    ) -> None:
        """Send a request to the least used server that may get it."""
        limits, loads = nodes.limits[node], nodes.loads[node]
        for server in sorted(self.SERVERS, key=loads.total_recent):
            if limits.may_send(server):
                limits.record_sent(server)
                sent[server].append(nodes.clock.monotonic())
                return

    def test_no_server_gets_far_more_than_its_limit(self) -> None:
        for count in (9, 24, 62, 195):
            for rate in (1.7, 3.2):
                for server, times in self.sent(count, rate).items():
                    most = max(
                        sum(1 for at in times if start <= at < start + 4.0)
                        for start in times
                    )
                    self.assertLessEqual(
                        most, 4 * rate * 1.5 + 5, (count, rate, server)
                    )

    def test_most_of_the_limits_is_used(self) -> None:
        for count in (9, 24, 62):
            used = sum(map(len, self.sent(count, 3.2).values()))
            allowed = 15.0 * 3.2 * len(self.SERVERS)
            self.assertGreater(used, 0.7 * allowed, count)


class Knowledge(unittest.TestCase):
    """What a node believes about a limit, and for how long."""

    def setUp(self) -> None:
        self.nodes = Nodes(2)
        self.first, self.second = self.nodes.limits

    def test_answer_without_a_limit_ends_it(self) -> None:
        self.first.record_answer("s", "2.5")
        self.assertEqual(2.5, self.first.value("s"))
        self.first.record_answer("s", None)
        self.assertIsNone(self.first.value("s"))
        self.assertEqual([("s", 2.5), ("s", None)], self.nodes.changes)

    def test_servers_without_a_limit_get_everything(self) -> None:
        self.assertTrue(all(self.first.may_send("s") for _ in range(50)))

    def test_node_that_was_not_told_learns_it_from_a_report(self) -> None:
        self.first.record_answer("s", "2")
        self.second.merge(self.first.observed(max_hops=0), hops=1)
        self.assertEqual(2.0, self.second.value("s"))

    def test_only_new_observations_are_reported(self) -> None:
        for number in range(78):
            self.first.record_answer(f"s-{number}", "2")
        self.nodes.clock.advance(1.1)
        self.first.record_answer("s-5", "2")
        reported = self.first.observed(max_hops=0)
        self.assertEqual(["s-5"], [limit.server for limit in reported])
        self.assertEqual(2.0, self.first.value("s-6"))

    def test_newer_observation_wins(self) -> None:
        self.first.record_answer("s", "2")
        report = self.first.observed(max_hops=0)
        self.nodes.clock.advance(1.0)
        self.second.record_answer("s", "4")
        self.second.record_answer("s", None)
        self.second.merge(
            [
                stated_values.Observed(
                    limit.server, limit.value, limit.age + 1.0
                )
                for limit in report
            ],
            hops=1,
        )
        self.assertIsNone(self.second.value("s"))

    def test_reports_do_not_keep_a_limit_alive(self) -> None:
        """A report looks younger than it is by the time that it took."""
        self.first.record_answer("s", "2")
        for _ in range(150):
            self.second.merge(self.first.observed(max_hops=0), hops=1)
            self.first.merge(self.second.observed(max_hops=0), hops=1)
            self.nodes.clock.advance(0.1)
        self.assertIsNone(self.first.value("s"))
        self.assertIsNone(self.second.value("s"))

    def test_limit_that_nothing_confirms_ends(self) -> None:
        self.first.record_answer("s", "0")
        self.nodes.clock.advance(stated_values.LIFETIME + 0.1)
        self.assertIsNone(self.first.value("s"))
        self.assertEqual([], self.first.observed(max_hops=0))

    def test_malformed_limits_are_ignored(self) -> None:
        for text in ("", "fast", "nan", "inf", "-1", "1,5"):
            self.first.record_answer("s", text)
            self.assertIsNone(self.first.value("s"), text)

    def test_limit_of_zero_still_lets_the_server_be_asked(self) -> None:
        self.nodes.tell("s", "0")
        sent = 0
        for turn in range(160):
            limits = self.nodes.limits[turn % 2]
            self.nodes.tell("s", "0")
            self.nodes.exchange_reports()
            if limits.may_send("s"):
                limits.record_sent("s")
                sent += 1
            self.nodes.clock.advance(0.05)
        self.assertEqual(2, sent)


if __name__ == "__main__":
    unittest.main()
