"""Choice of a server, and the estimates that it uses."""

import collections
import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import fleet
from limpetwalk.gateway import placement
from limpetwalk.gateway import prefill_time
from limpetwalk.gateway import prefix_cache
from limpetwalk.gateway import server_load
from limpetwalk.gateway import types

from . import builders


class Speeds:
    """Speeds of servers that are known."""

    def __init__(self, factors: dict[str, float]) -> None:
        self.factors = factors

    def time_factor(self, server_id: str) -> float:
        return self.factors.get(server_id, 1.0)


class Node:
    """Placer of one node, with the state that its choice depends on."""

    def __init__(
        self,
        clock: clocks.ManualClock,
        zone: str = "z1",
        rng: random.Random | None = None,
        unseen: float = 0.0,
    ) -> None:
        self.speeds = Speeds({})
        self.fleet = fleet.Fleet(clock)
        self.memory = prefix_cache.PrefixCacheTracker(clock, 9.0)
        self.loads = server_load.ServerLoads(clock)
        self.prefill_times = prefill_time.PrefillTimes()
        self.placer = placement.Placer(
            zone,
            self.fleet,
            self.memory,
            self.loads,
            self.prefill_times,
            clock,
            lambda member: not member.is_cold(clock.monotonic()),
            unseen=lambda service: unseen,
            rng=rng,
            speeds=self.speeds,
        )

    def choose(self, **options: object) -> placement.Choice:
        need = placement.Need("s", **options)  # type: ignore
        choice = self.placer.choose(need)
        assert choice is not None
        return choice


class PlacementCase(unittest.TestCase):
    """Node with four servers in two zones."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.node = Node(self.clock)
        for number in range(4):
            zone = f"z{number % 2 + 1}"
            self.node.fleet.put(
                builders.server(f"s{number}", zone=zone), number + 1
            )

    def member(self, server_id: str) -> fleet.Member:
        member = self.node.fleet.get(server_id)
        assert member is not None
        return member


class PlainCalls(PlacementCase):
    """Requests without a prompt."""

    def test_calls_spread_over_the_own_zone_first(self) -> None:
        first = self.node.choose().member
        self.assertEqual("z1", first.entry.zone)
        self.node.loads.start_request(first.id, 0.0)
        second = self.node.choose().member
        self.assertNotEqual(first.id, second.id)

    def test_load_of_other_nodes_counts(self) -> None:
        busy = {f"s{number}": server_load.Load(0.0, 5) for number in (0, 2, 3)}
        self.node.loads.apply_report(
            server_load.Source("other"), "other", 1, busy
        )
        self.assertEqual("s1", self.node.choose().member.id)

    def test_failing_server_is_avoided(self) -> None:
        for server_id in ("s0", "s1", "s2"):
            for _ in range(2):
                self.member(server_id).health.record(
                    True, self.clock.monotonic()
                )
        for _ in range(20):
            self.assertEqual("s3", self.node.choose().member.id)

    def test_one_is_chosen_when_all_are_backing_off(self) -> None:
        for member in list(self.node.fleet):
            for _ in range(3):
                member.health.record(True, self.clock.monotonic())
        self.assertIsNotNone(self.node.choose())

    def test_tried_servers_are_not_chosen_again(self) -> None:
        tried = {"s0", "s1", "s2"}
        self.assertEqual("s3", self.node.choose(avoided=tried).member.id)
        self.assertIsNone(
            self.node.placer.choose(
                placement.Need("s", avoided=tried | {"s3"})
            )
        )

    def test_cold_server_is_not_chosen_without_a_part_of_its_rate(
        self,
    ) -> None:
        for number in range(3):
            self.node.fleet.put(
                builders.server(f"s{number}", cold_left=5.0), 10 + number
            )
        self.assertEqual("s3", self.node.choose().member.id)


class Generations(PlacementCase):
    """Requests that share parts of their prompts."""

    shared = builders.prompt(("a", 2500), ("b", 3800), ("own", 100))

    def test_nodes_choose_the_same_server_without_coordination(self) -> None:
        other = Node(self.clock)
        for number in range(4):
            other.fleet.put(
                builders.server(f"s{number}", zone=f"z{number % 2 + 1}"), 1
            )
        for key in range(20):
            prompt = builders.prompt(("a", 2500), (f"b{key}", 3800), ("o", 9))
            self.assertEqual(
                self.node.choose(model="m", prompt=prompt).member.id,
                other.choose(model="m", prompt=prompt).member.id,
            )

    def test_prompts_are_spread_over_the_servers(self) -> None:
        counts = collections.Counter(
            self.node.choose(
                model="m",
                prompt=builders.prompt(
                    ("a", 2500), (f"b{key}", 3800), ("o", 9)
                ),
            ).member.id
            for key in range(400)
        )
        self.assertEqual(4, len(counts))
        self.assertLess(max(counts.values()), 160)

    def test_cached_server_is_not_chosen_when_its_queue_costs_more(
        self,
    ) -> None:
        self.node.prefill_times.record("m", 1000, 0.18)
        warm = self.node.choose(model="m", prompt=self.shared).member
        self.node.memory.record_read(warm.id, "m", self.shared)
        again = self.node.choose(model="m", prompt=self.shared)
        self.assertEqual(warm.id, again.member.id)
        self.assertLess(again.prefill_seconds, 0.1)
        self.node.loads.start_request(warm.id, 5.0)
        other = self.node.choose(model="m", prompt=self.shared)
        self.assertNotEqual(warm.id, other.member.id)

    def test_burst_of_many_nodes_is_spread_by_load_reports(self) -> None:
        """Simulate a burst of one prompt over nine nodes that report loads."""
        nodes = [Node(self.clock) for _ in range(9)]
        for node in nodes:
            for number in range(5):
                node.fleet.put(
                    builders.server(f"s{number}"), builders.version(1)
                )
            node.prefill_times.record("m", 1000, 0.18)
        prefill: collections.Counter[str] = collections.Counter()
        for turn in range(90):
            node = nodes[turn % 9]
            choice = node.choose(
                model="m", prompt=builders.prompt(("hot", 4000), ("o", 500))
            )
            node.loads.start_request(choice.member.id, choice.prefill_seconds)
            prefill[choice.member.id] += choice.prefill_seconds
            self.clock.advance(0.04)
            for sender, other in enumerate(nodes):
                for receiver in nodes:
                    if receiver is not other:
                        receiver.loads.apply_report(
                            server_load.Source(f"n{sender}"),
                            f"n{sender}",
                            turn,
                            other.loads.own_loads(),
                        )
        self.assertEqual(5, len(prefill))
        mean = sum(prefill.values()) / 5
        self.assertLess(max(prefill.values()), 1.5 * mean)

    def test_few_servers_are_compared_when_many_requests_are_unseen(
        self,
    ) -> None:
        unseen = 0.0
        placer = placement.Placer(
            "z3",
            self.node.fleet,
            self.node.memory,
            self.node.loads,
            self.node.prefill_times,
            self.clock,
            lambda member: True,
            unseen=lambda service: unseen,
            rng=random.Random(5),
        )
        need = placement.Need("s", model="m")
        for server_id in ("s0", "s1", "s2"):
            self.node.loads.start_request(server_id, 5.0)
        for unseen, fewest, most in ((1.0, 200, 200), (40.0, 72, 128)):
            chosen = collections.Counter(
                placer.choose(need).member.id  # type: ignore
                for _ in range(200)
            )
            self.assertLessEqual(fewest, chosen["s3"])
            self.assertLessEqual(chosen["s3"], most)

    def test_only_matching_versions_and_models_are_chosen(self) -> None:
        self.node.fleet.put(
            builders.server("s9", version="v2", models=("m",)), 50
        )
        choice = self.node.choose(versions=frozenset(("v2",)), model="m")
        self.assertEqual("s9", choice.member.id)
        self.assertIsNone(
            self.node.placer.choose(
                placement.Need("s", frozenset(("v2",)), "other")
            )
        )

    def test_server_that_has_loaded_no_model_gets_no_prompts(self) -> None:
        self.node.fleet.put(builders.server("s9", version="v2", models=()), 50)
        for model, chosen in (("m", False), ("", True)):
            choice = self.node.placer.choose(
                placement.Need("s", frozenset(("v2",)), model)
            )
            self.assertEqual(chosen, choice is not None, model)


class UnevenServers(PlacementCase):
    """Servers of which some are slower than others."""

    def setUp(self) -> None:
        super().setUp()
        self.node.prefill_times.record("m", 1000, 0.18)

    def choose_after(self, server_id: str, seconds: float) -> str:
        """Return the choice of a prompt when one server has a queue."""
        self.node.loads.start_request(server_id, seconds)
        prompt = builders.prompt(("own", 1000))
        return self.node.choose(model="m", prompt=prompt).member.id

    def test_prompts_go_to_the_faster_servers(self) -> None:
        self.node.speeds.factors.update(s0=3.0, s1=3.0, s2=3.0)
        self.assertEqual("s3", self.choose_after("s3", 0.1))
        self.assertNotEqual("s3", self.choose_after("s3", 0.3))

    def test_expected_first_byte_counts_the_speed(self) -> None:
        prompt = builders.prompt(("own", 1000))
        usual = self.node.choose(model="m", prompt=prompt)
        self.node.speeds.factors.update(s0=2.0, s1=2.0, s2=2.0, s3=2.0)
        slow = self.node.choose(model="m", prompt=prompt)
        self.assertAlmostEqual(
            2 * usual.first_byte_seconds, slow.first_byte_seconds
        )
        # Loads are told to nodes that may know other speeds.
        self.assertEqual(usual.prefill_seconds, slow.prefill_seconds)

    def test_calls_go_to_the_faster_servers(self) -> None:
        for server_id in ("s0", "s1", "s2", "s3"):
            self.node.loads.start_request(server_id, 0.0)
        self.clock.advance(0.05)
        self.node.speeds.factors.update(s0=2.0, s2=2.0)
        counts = collections.Counter()
        for _ in range(12):
            member = self.node.choose().member
            self.node.loads.start_request(member.id, 0.0)
            counts[member.id] += 1
        self.assertGreater(
            counts["s1"] + counts["s3"], 2 * (counts["s0"] + counts["s2"])
        )

    def test_wait_for_a_slot_counts(self) -> None:
        self.node.fleet.put(builders.server("s0", slots=1), 10)
        for server_id in ("s0", "s2"):
            for _ in range(3):
                self.node.loads.start_request(server_id, 0.0)
        for server_id in ("s1", "s3"):
            for _ in range(5):
                self.node.loads.start_request(server_id, 0.0)
        self.clock.advance(1.0)
        for _ in range(9):
            self.assertEqual("s2", self.node.choose().member.id)
            self.clock.advance(0.01)

    def test_nodes_do_not_all_choose_the_same_idle_engine(self) -> None:
        self.node.speeds.factors.update(s1=1.1, s2=1.1, s3=1.1)
        chosen = collections.Counter()
        for number in range(90):
            node = Node(self.clock, rng=random.Random(number), unseen=90.0)
            node.speeds.factors.update(self.node.speeds.factors)
            for server in range(4):
                node.fleet.put(builders.server(f"s{server}"), 1)
            choice = node.choose(
                model="m", prompt=builders.prompt((f"own{number}", 1000))
            )
            chosen[choice.member.id] += 1
        self.assertEqual(3, len(chosen))
        self.assertLess(max(chosen.values()), 70)

    def test_comparing_few_servers_draws_few_prompts_to_other_zones(
        self,
    ) -> None:
        chosen = collections.Counter()
        for number in range(90):
            node = Node(self.clock, rng=random.Random(number), unseen=90.0)
            for server in range(12):
                node.fleet.put(
                    builders.server(f"s{server}", zone=f"z{server % 3 + 1}"),
                    1,
                )
            choice = node.choose(
                model="m", prompt=builders.prompt((f"own{number}", 1000))
            )
            chosen[choice.member.entry.zone] += 1
        self.assertGreater(chosen["z1"], 60)


class LoadReports(unittest.TestCase):
    """Loads that nodes report to each other."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.loads = server_load.ServerLoads(self.clock)

    def report(
        self, sequence: int, loads: dict[str, server_load.Load]
    ) -> None:
        """Apply a report of node ``n``."""
        self.loads.apply_report(server_load.Source("n"), "n", sequence, loads)

    def test_late_report_is_ignored(self) -> None:
        self.report(2, {"s": server_load.Load(1.0, 1)})
        self.report(1, {"s": server_load.Load(9.0, 9)})
        self.assertEqual(
            1.0, self.loads.total_loads(["s"])["s"].pending_prefill
        )

    def test_silent_node_no_longer_counts(self) -> None:
        self.report(2, {"s": server_load.Load(1.0, 1)})
        self.clock.advance(server_load.REPORT_LIFETIME + 0.1)
        self.assertEqual(0, self.loads.total_loads(["s"])["s"].active)

    def test_reports_of_a_restarted_node_are_applied(self) -> None:
        self.report(200, {"s": server_load.Load(1.0, 1)})
        self.clock.advance(server_load.REPORT_LIFETIME + 0.1)
        self.report(1, {"s": server_load.Load(3.0, 1)})
        self.assertEqual(
            3.0, self.loads.total_loads(["s"])["s"].pending_prefill
        )

    def test_load_of_a_request_is_removed_when_it_ends(self) -> None:
        self.loads.start_request("s", 2.0)
        self.loads.start_request("s", 1.0)
        self.loads.finish_prefill("s", 2.0)
        self.loads.end_request("s")
        self.assertEqual(server_load.Load(1.0, 1), self.loads.own_loads()["s"])
        self.loads.finish_prefill("s", 1.0)
        self.loads.end_request("s")
        self.assertEqual({}, self.loads.own_loads())


class PrefillTimes(unittest.TestCase):
    """Estimates of the prefill time of models."""

    def test_estimate_follows_the_fast_responses(self) -> None:
        times = prefill_time.PrefillTimes()
        for latency in (0.58, 2.0, 0.6, 5.0, 0.58, 1.0):
            times.record("m", 5000, latency)
        self.assertAlmostEqual(
            0.5, times.prefill_seconds("m", 5000), delta=0.2
        )

    def test_short_and_cached_prompts_do_not_spoil_the_estimate(self) -> None:
        times = prefill_time.PrefillTimes()
        times.record("m", 10, 3.0)
        self.assertEqual(
            prefill_time.DEFAULT_SECONDS_PER_TOKEN,
            times.seconds_per_token("m"),
        )
        times.record("m", 5000, 0.01)
        self.assertGreater(times.seconds_per_token("m"), 0.0)


class PrefixCache(unittest.TestCase):
    """Prompt parts that servers have read."""

    def test_only_leading_parts_count(self) -> None:
        clock = clocks.ManualClock()
        memory = prefix_cache.PrefixCacheTracker(clock, 9.0)
        memory.record_read("s", "m", builders.prompt(("a", 10), ("b", 20)))
        for parts, cached in (
            ((("a", 10), ("b", 20), ("c", 5)), 30),
            ((("a", 10), ("x", 20), ("b", 20)), 10),
            ((("b", 20), ("a", 10)), 30),
            ((("x", 1), ("a", 10)), 0),
        ):
            prompt = builders.prompt(*parts)
            self.assertEqual(cached, memory.cached_tokens("s", "m", prompt))
        prompt = builders.prompt(("a", 10))
        self.assertEqual(0, memory.cached_tokens("s", "other", prompt))
        clock.advance(9.1)
        self.assertEqual(0, memory.cached_tokens("s", "m", prompt))

    def test_memory_is_bounded(self) -> None:
        memory = prefix_cache.PrefixCacheTracker(clocks.ManualClock(), 9.0)
        for number in range(prefix_cache.MAX_REMEMBERED + 10):
            memory.record_read("s", "m", builders.prompt((str(number), 1)))
        first = builders.prompt(("0", 1))
        self.assertEqual(0, memory.cached_tokens("s", "m", first))


class Types(unittest.TestCase):
    """Keys of prompts that share parts."""

    def test_last_shared_part_is_the_key(self) -> None:
        self.assertEqual(
            "b", builders.prompt(("a", 1), ("b", 1), ("c", 1)).shared_key
        )
        self.assertEqual("a", builders.prompt(("a", 1)).shared_key)
        self.assertEqual("", types.Prompt().shared_key)
