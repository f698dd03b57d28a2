"""Tests of the waits for changes of the store's tables."""

import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import store_watch

from . import builders


class Waits(unittest.TestCase):
    """Waits of the nodes of one cluster."""

    usual = 4.0

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()

    def waits(self, size: int, heard: int | None = None) -> list[float]:
        """Return the wait of each node that has heard its peers."""
        peers = {
            f"n{number:03d}": peer_groups.Peer(("", 0), f"z{number % 3}")
            for number in range(size)
        }
        waits = []
        for name in peers:
            news = store_watch.PeerNews(self.clock)
            for peer in list(peers)[:heard]:
                news.record(peer, ())
            exchange = peer_groups.plan(name, peers)
            plan = store_watch.WatchPlan(
                name, lambda e=exchange: e, lambda: size, news
            )
            waits.append(plan.wait("servers", self.usual))
        return waits

    def test_all_nodes_of_a_small_cluster_wait_as_usual(self) -> None:
        self.assertEqual({self.usual}, set(self.waits(9)))

    def test_few_watchers_call_often_in_a_large_cluster(self) -> None:
        for size in (80, 195):
            waits = self.waits(size)
            watchers = waits.count(self.usual * store_watch.WATCHER_SHARE)
            self.assertGreaterEqual(watchers, 6)
            self.assertLessEqual(watchers, size**0.5 * 1.3)
            calls = sum(60 / wait for wait in waits)
            self.assertLess(calls, 0.5 * size * 60 / self.usual)

    def test_node_that_hears_nobody_waits_as_usual(self) -> None:
        self.assertEqual({self.usual}, set(self.waits(80, heard=2)))

    def test_lost_watcher_is_replaced(self) -> None:
        peers = {
            f"n{number:03d}": peer_groups.Peer(("", 0), "z")
            for number in range(80)
        }
        exchange = peer_groups.plan("n000", peers)
        group = sorted(exchange.members | {"n000"})

        def watchers(lost: set[str]) -> list[str]:
            found = []
            for name in set(group) - lost:
                news = store_watch.PeerNews(self.clock)
                for peer in set(peers) - lost:
                    news.record(peer, ())
                plan = store_watch.WatchPlan(
                    name,
                    lambda name=name: peer_groups.plan(name, peers),
                    lambda: 80,
                    news,
                )
                if plan.wait("op", self.usual) < self.usual:
                    found.append(name)
            return found

        first = watchers(set())
        self.assertEqual(1, len(first))
        second = watchers(set(first))
        self.assertEqual(1, len(second))
        self.assertNotEqual(first, second)


class News(unittest.TestCase):
    """Reports of peers on a table."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.news = store_watch.PeerNews(self.clock)
        self.heard: list[tuple[int, bool]] = []
        self.news.listen(
            "op", lambda version, outage: self.heard.append((version, outage))
        )

    def report(self, peer: str, version: int, unavailable: bool) -> None:
        state = store_watch.TableState(
            "op", builders.version(version), unavailable
        )
        self.news.record(peer, [state])

    def test_outage_counts_once_several_peers_report_it(self) -> None:
        self.report("a", 5, True)
        self.report("a", 5, True)
        self.report("b", 5, True)
        self.report("c", 5, True)
        self.assertEqual(
            [
                (builders.version(5), outage)
                for outage in (False, False, True, False)
            ],
            self.heard,
        )

    def test_outage_that_begins_again_counts_again(self) -> None:
        for peer in ("a", "b"):
            self.report(peer, 5, True)
        for peer in ("a", "b"):
            self.report(peer, 5, False)
        for peer in ("a", "b"):
            self.report(peer, 5, True)
        self.assertEqual(2, sum(outage for _, outage in self.heard))

    def test_report_of_an_unknown_table_is_ignored(self) -> None:
        state = store_watch.TableState("other", builders.version(5), False)
        self.news.record("a", [state])
        self.assertEqual([], self.heard)

    def test_silent_peer_is_no_longer_heard(self) -> None:
        self.report("a", 5, False)
        self.clock.advance(store_watch.PEER_SILENCE + 0.1)
        self.report("b", 5, False)
        self.assertEqual({"b"}, set(self.news.heard()))
