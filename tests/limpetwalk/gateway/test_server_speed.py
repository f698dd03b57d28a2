"""Speeds of servers, learnt from the times of their answers."""

import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import server_load
from limpetwalk.gateway import server_speed

KIND = ("event", "s", "m")


class SpeedCase(unittest.TestCase):
    """Nodes that tell each other what they learn."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.rng = random.Random(1)
        self.nodes = [server_speed.LearntSpeeds(self.clock) for _ in range(20)]
        self.sequence = 0

    def report(self) -> None:
        """Let each node report its own sums to the others."""
        self.sequence += 1
        for number, sender in enumerate(self.nodes):
            name = f"n{number}"
            for receiver in self.nodes:
                if receiver is not sender:
                    receiver.apply_report(
                        server_load.Source(name),
                        name,
                        self.sequence,
                        sender.own_sums(),
                    )

    def answer(
        self, seconds: float, factors: dict[str, float], deviation: float
    ) -> None:
        """Let servers answer one node after another, 3 times a second each.

        :param factors: times that the servers need, against each other.
        :param deviation: standard deviation of the logarithms of the times.
        """
        for _ in range(int(seconds * 3)):
            for server, factor in factors.items():
                noise = self.rng.lognormvariate(0.0, deviation)
                node = self.rng.choice(self.nodes)
                node.record(server, KIND, 0.05 * factor * noise)
            self.clock.advance(1 / 3)
            self.report()

    def factors(self, servers: dict[str, float]) -> dict[str, float]:
        """Return the factors that one node knows."""
        return {name: self.nodes[0].time_factor(name) for name in servers}


class Learning(SpeedCase):
    """Speeds of servers that nodes seldom ask."""

    even = {f"s{number}": 1.0 for number in range(9)}
    uneven = {
        f"s{number}": factor
        for number, factor in enumerate((0.6, 1.0, 1.6) * 3)
    }

    def test_speeds_that_no_node_could_learn_alone_are_known(self) -> None:
        self.answer(12.0, self.uneven, 0.3)
        known = self.factors(self.uneven)
        for server, factor in self.uneven.items():
            if factor == 1.0:
                self.assertEqual(1.0, known[server])
            else:
                self.assertLess(abs(known[server] / factor - 1), 0.35, server)

    def test_even_servers_with_noise_stay_even(self) -> None:
        for _ in range(10):
            self.answer(3.0, self.even, 0.3)
            self.assertEqual(self.even, self.factors(self.even))

    def test_much_noise_moves_no_factor_far(self) -> None:
        for _ in range(10):
            self.answer(3.0, self.even, 0.8)
            for factor in self.factors(self.even).values():
                self.assertLess(factor, 1.6)
                self.assertGreater(factor, 1 / 1.6)

    def test_server_that_turns_slow_is_known_within_two_seconds(self) -> None:
        self.answer(12.0, self.even, 0.3)
        self.answer(2.0, self.even | {"s0": 3.0}, 0.3)
        known = self.factors(self.even)
        self.assertGreater(known.pop("s0"), 1.5)
        self.assertEqual({1.0}, set(known.values()))

    def test_server_that_is_not_asked_counts_as_even_again(self) -> None:
        self.answer(12.0, self.even | {"s0": 3.0}, 0.3)
        self.assertGreater(self.nodes[0].time_factor("s0"), 2.0)
        others = {name: 1.0 for name in self.even if name != "s0"}
        self.answer(15.0, others, 0.3)
        self.assertEqual(1.0, self.nodes[0].time_factor("s0"))

    def test_load_of_all_servers_is_not_the_speed_of_any(self) -> None:
        self.answer(9.0, self.even, 0.2)
        slower = 1.0
        for _ in range(8):
            slower *= 1.1
            self.answer(3.0, dict.fromkeys(self.even, slower), 0.2)
        known = self.factors(self.even).values()
        self.assertLess(max(known) / min(known), 1.35)

    def test_models_are_not_compared_with_each_other(self) -> None:
        node = self.nodes[0]
        for _ in range(30):
            node.record("s0", ("event", "s", "small"), 0.01)
            node.record("s1", ("event", "s", "large"), 0.1)
        self.assertEqual(1.0, node.time_factor("s0"))
        self.assertEqual(1.0, node.time_factor("s1"))

    def test_single_answer_that_hung_makes_no_server_slow(self) -> None:
        node = self.nodes[0]
        for _ in range(20):
            for server in self.even:
                node.record(server, KIND, 0.05)
        self.clock.advance(30.0)
        node.record("s0", KIND, 60.0)
        self.assertLess(node.time_factor("s0"), 2.0)

    def test_expected_time_explains_long_prompts(self) -> None:
        node = self.nodes[0]
        for _ in range(30):
            node.record("s0", KIND, 0.1, 0.1)
            node.record("s1", KIND, 2.0, 2.0)
        self.assertEqual(1.0, node.time_factor("s0"))
        self.assertEqual(1.0, node.time_factor("s1"))

    def test_times_that_say_nothing_are_left_out(self) -> None:
        node = self.nodes[0]
        for _ in range(9):
            node.record("s0", KIND, 0.0)
            node.record("s0", KIND, 1.0, 0.0)
        self.assertEqual({}, node.own_sums())


class Reports(SpeedCase):
    """Sums that nodes report to each other."""

    slow = {"s0": server_speed.SpeedSum(10.0, 10.0)}

    def setUp(self) -> None:
        super().setUp()
        self.node = self.nodes[0]

    def test_late_report_is_ignored(self) -> None:
        source = server_load.Source("n1")
        self.node.apply_report(source, "n1", 2, self.slow)
        self.node.apply_report(source, "n1", 1, {})
        self.assertGreater(self.node.time_factor("s0"), 2.0)

    def test_repeated_report_counts_once(self) -> None:
        source = server_load.Source("n1")
        self.node.apply_report(source, "n1", 1, self.slow)
        first = self.node.time_factor("s0")
        self.node.apply_report(source, "n1", 2, self.slow)
        self.clock.advance(server_speed.SUMS_LIFETIME * 1.01)
        self.assertAlmostEqual(first, self.node.time_factor("s0"), places=1)

    def test_silent_node_no_longer_counts(self) -> None:
        self.node.apply_report(server_load.Source("n1"), "n1", 1, self.slow)
        self.clock.advance(server_speed.REPORT_LIFETIME + 0.1)
        self.assertEqual(1.0, self.node.time_factor("s0"))

    def test_odd_report_breaks_no_choice(self) -> None:
        odd = {
            "s0": server_speed.SpeedSum(1e30, 1e-30),
            "s1": server_speed.SpeedSum(-1e30, 1e-30),
        }
        self.node.apply_report(server_load.Source("n1"), "n1", 1, odd)
        self.assertAlmostEqual(
            server_speed.MAX_RATIO, self.node.time_factor("s0")
        )
        self.assertGreater(self.node.time_factor("s1"), 0.3)

    def test_kinds_are_bounded(self) -> None:
        for number in range(server_speed.MAX_KINDS + 10):
            self.node.record("s0", ("head", "s", str(number)), 0.1)
        self.assertEqual(server_speed.MAX_KINDS, len(self.node._usual))

    def test_sum_of_a_group_leaves_other_groups_out(self) -> None:
        group = server_load.Source("n9", is_group=True)
        self.node.apply_report(group, "n9", 1, {"far": self.slow["s0"]})
        self.node.apply_report(server_load.Source("n1"), "n1", 1, self.slow)
        for _ in range(server_speed.MIN_SAMPLES + 2):
            self.node.record("s1", KIND, 0.05)
        self.assertEqual({"s0", "s1"}, set(self.node.group_sums()))
        self.assertGreater(self.node.time_factor("far"), 2.0)

    def test_servers_that_are_not_asked_leave_the_reports(self) -> None:
        for _ in range(9):
            self.node.record("s0", KIND, 0.05)
        self.assertIn("s0", self.node.own_sums())
        self.clock.advance(60.0)
        self.assertEqual({}, self.node.own_sums())
