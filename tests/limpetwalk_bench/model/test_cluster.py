"""What callers get from a cluster under load, in simulated time."""

import dataclasses
import unittest

from limpetwalk_bench.model import cluster
from limpetwalk_bench.model import engines
from limpetwalk_bench.model import loads


class ManyNodes(unittest.TestCase):
    """195 nodes before 78 engines on a calm day."""

    seconds = 6.0
    seeds = (1, 2)

    def run_all(
        self, way: str, nodes_sample: bool = True
    ) -> list[cluster.Result]:
        """Run the load once for each seed with one way to report loads."""
        load = dataclasses.replace(
            loads.cluster_of(195, self.seconds), nodes_sample=nodes_sample
        )
        reporting = loads.reportings(load.nodes)[way]
        return [
            cluster.Cluster(load, reporting, seed).run() for seed in self.seeds
        ]

    def test_reports_to_groups_serve_callers_in_time(self) -> None:
        grouped = self.run_all("to groups")
        to_all = self.run_all("to all", nodes_sample=False)
        for result, former in zip(grouped, to_all, strict=True):
            self.assertGreaterEqual(result.in_time_share(), 0.99)
            late = 1 - result.in_time_share()
            self.assertLess(late, 0.7 * (1 - former.in_time_share()))
            self.assertLessEqual(result.reports, former.reports * 1.1)

    def test_nodes_do_not_all_choose_the_engine_that_looks_idle(self) -> None:
        """Nodes know of each other's requests some tenths of a second late."""
        sampled = self.run_all("to groups")
        former = self.run_all("to groups", nodes_sample=False)
        for result, before in zip(sampled, former, strict=True):
            self.assertLess(
                result.first_quantile(0.5), 0.9 * before.first_quantile(0.5)
            )

    def test_large_requests_are_served_like_the_others(self) -> None:
        for result in self.run_all("to groups"):
            sizes = sorted(outcome.size for outcome in result.outcomes)
            largest = sizes[int(0.9 * len(sizes))]
            late = [
                outcome
                for outcome in result.outcomes
                if outcome.size >= largest and not outcome.in_time
            ]
            self.assertLess(len(late), 0.05 * len(sizes) / 10)


class BrittleServers(unittest.TestCase):
    """Brittle servers that get more requests than they have room for."""

    seeds = (1, 2, 3)

    def run_all(
        self, load: cluster.Load, nodes_listen: bool = True
    ) -> list[cluster.Result]:
        """Run a load once for each seed.

        :param nodes_listen: whether the nodes heed what servers say.
        """
        load = dataclasses.replace(load, nodes_listen=nodes_listen)
        way = "to groups" if load.nodes > 24 else "to all"
        reporting = loads.reportings(load.nodes)[way]
        return [
            cluster.Cluster(load, reporting, seed).run() for seed in self.seeds
        ]

    def assert_few_falls(self, load: cluster.Load) -> None:
        """Check that servers fall no more often than the platform allows."""
        for result in self.run_all(load):
            self.assertLessEqual(result.falls, 2 + load.servers / 10)

    def assert_served_better(self, load: cluster.Load) -> None:
        """Check that more callers are served than by nodes that don't heed."""
        load_before = dataclasses.replace(
            load, nodes_sample=False, learns_speeds=False
        )
        former = self.run_all(load_before, nodes_listen=False)
        for result, before in zip(self.run_all(load), former, strict=True):
            self.assertGreater(result.served_share(), before.served_share())
            self.assertGreater(result.in_time_share(), before.in_time_share())

    def test_few_engines_of_little_memory_do_not_fall_over(self) -> None:
        for rejections in (3, 10):
            brittle = cluster.Brittleness(rejections)
            self.assert_few_falls(
                loads.overloaded(9, 5, 5.0, loads.LARGE_ENGINE, brittle)
            )

    def test_engines_before_groups_of_nodes_do_not_fall_over(self) -> None:
        for rejections in (3, 10):
            brittle = cluster.Brittleness(rejections)
            self.assert_few_falls(
                loads.overloaded(48, 16, 2.0, engines.EngineSpeed(), brittle)
            )

    def test_late_reports_do_not_let_engines_fall_over(self) -> None:
        brittle = cluster.Brittleness(3)
        load = loads.overloaded(48, 16, 3.0, engines.EngineSpeed(), brittle)
        for seed in (13, 14):
            reporting = loads.reportings(48)["to groups"]
            result = cluster.Cluster(load, reporting, seed).run()
            self.assertLessEqual(result.falls, 2 + load.servers / 10)

    def test_plain_servers_do_not_fall_over(self) -> None:
        for rejections in (3, 10):
            brittle = cluster.Brittleness(rejections)
            for rate in (150, 500):
                self.assert_few_falls(
                    loads.overloaded_plain(9, 3, rate, brittle)
                )

    def test_callers_are_served_better_under_overload(self) -> None:
        brittle = cluster.Brittleness(5)
        self.assert_served_better(
            loads.overloaded(48, 16, 2.0, engines.EngineSpeed(), brittle)
        )
        self.assert_served_better(loads.overloaded_plain(9, 3, 300, brittle))

    def test_callers_are_served_without_overload(self) -> None:
        load = loads.overloaded(
            48, 16, 0.8, engines.EngineSpeed(), cluster.Brittleness(5)
        )
        for result in self.run_all(load):
            self.assertGreaterEqual(result.in_time_share(), 0.99)
            self.assertEqual(0, result.falls)


class PausingServers(unittest.TestCase):
    """Servers of a plain service that want no requests for 2 s."""

    seeds = (1, 2, 3)
    servers = 6

    def run_all(
        self, paused: int, nodes_listen: bool = True
    ) -> list[cluster.Result]:
        """Run the load once for each seed.

        :param paused: number of servers that pause.
        :param nodes_listen: whether the nodes heed what servers say.
        """
        load = dataclasses.replace(
            loads.pausing(9, self.servers, 200.0, paused),
            nodes_listen=nodes_listen,
        )
        assert load.pause is not None
        self.pause = load.pause
        reporting = loads.reportings(load.nodes)["to all"]
        return [
            cluster.Cluster(load, reporting, seed).run() for seed in self.seeds
        ]

    def served(self, result: cluster.Result) -> float:
        """Return the share that was served of requests sent meanwhile."""
        sent = result.paused(self.pause)
        return sum(o.first is not None for o in sent) / len(sent)

    def test_paused_servers_are_left_alone(self) -> None:
        for paused in (1, 3, 6):
            for result in self.run_all(paused):
                self.assertLessEqual(
                    max(result.unwanted.values(), default=0), 2
                )

    def test_callers_get_the_other_servers(self) -> None:
        for paused in (1, 3):
            for result in self.run_all(paused):
                self.assertEqual(1.0, self.served(result))

    def test_callers_are_refused_at_once_if_all_servers_pause(self) -> None:
        for result in self.run_all(self.servers):
            for outcome in result.paused(self.pause):
                self.assertTrue(outcome.refused_after)
                self.assertLess(max(outcome.refused_after), 0.02)

    def test_callers_that_come_back_are_served(self) -> None:
        former = self.run_all(self.servers, nodes_listen=False)
        for result, before in zip(
            self.run_all(self.servers), former, strict=True
        ):
            self.assertGreater(self.served(result), self.served(before))
            self.assertGreater(self.served(result), 0.95)
            self.assertLess(result.first_after(self.pause), 0.1)


class UnevenServers(unittest.TestCase):
    """85 nodes before engines of which some are slower than others."""

    seeds = (1, 2, 3)

    def late(
        self, factors: tuple[float, ...], excess: float, learns: bool
    ) -> dict[str, float]:
        """Return the share of late requests by kind.

        :param factors: factors of the engines' times, in turn.
        :param excess: load as a multiple of the usual one.
        :param learns: whether the nodes heed the engines' speeds, and compare
            few engines when they know little of each other's requests.
        """
        load = loads.cluster_of(85, 14.0)
        load = dataclasses.replace(
            load,
            time_factors=factors,
            nodes_sample=learns,
            learns_speeds=learns,
            kinds=tuple(
                dataclasses.replace(kind, rate=kind.rate * excess)
                for kind in load.kinds
            ),
        )
        reporting = loads.reportings(load.nodes)["to groups"]
        results = [
            cluster.Cluster(load, reporting, seed).run() for seed in self.seeds
        ]
        return {
            kind.name: 1
            - sum(result.in_time_share(kind.name) for result in results)
            / len(results)
            for kind in load.kinds
        }

    def assert_fewer_late(
        self, factors: tuple[float, ...], excess: float
    ) -> None:
        """Check that fewer callers wait too long than by the former choice."""
        late = self.late(factors, excess, learns=True)
        former = self.late(factors, excess, learns=False)
        for kind, share in late.items():
            self.assertLessEqual(share, former[kind] + 0.01, kind)
        self.assertLess(sum(late.values()), 0.8 * sum(former.values()))

    def test_engines_of_several_speeds_serve_more_callers_in_time(
        self,
    ) -> None:
        self.assert_fewer_late((0.6, 1.0, 1.6), 1.8)

    def test_callers_do_not_wait_for_slow_engines(self) -> None:
        self.assert_fewer_late((1.0, 1.0, 1.0, 3.0), 1.3)

    def test_even_engines_serve_no_fewer_callers(self) -> None:
        late = self.late((1.0,), 1.5, learns=True)
        former = self.late((1.0,), 1.5, learns=False)
        for kind, share in late.items():
            self.assertLessEqual(share, former[kind] + 0.005, kind)
