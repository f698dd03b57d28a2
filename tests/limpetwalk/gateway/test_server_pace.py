"""Tests of the pace of servers that started or recovered."""

import bisect
import collections
import random
import unittest

import hypothesis
from hypothesis import strategies

from limpetwalk import clock as clocks
from limpetwalk.gateway import fleet
from limpetwalk.gateway import placement
from limpetwalk.gateway import prefill_time
from limpetwalk.gateway import prefix_cache
from limpetwalk.gateway import server_load
from limpetwalk.gateway import server_pace
from limpetwalk.gateway import types

from . import builders

BOUNDS = types.Bounds()
COLD_SECONDS = 3.0
STEP = 0.9


class Node:
    """Node that paces the servers of the service ``s``.

    :param nodes: names of the nodes that it knows.
    :param rate: requests per second that a cold server tolerates.
    :param demand: requests per second to the service.
    """

    def __init__(
        self,
        clock: clocks.ManualClock,
        name: str = "n0",
        nodes: frozenset[str] = frozenset(("n0",)),
        rate: float = 9.0,
        cold_seconds: float = COLD_SECONDS,
        demand: float = 0.0,
        seed: int = 7,
    ) -> None:
        self.clock = clock
        self.nodes = nodes
        self.fleet = fleet.Fleet(clock)
        self.loads = server_load.ServerLoads(clock)
        self.changes: list[tuple[str, str, float]] = []
        service = types.Service("s", cold_seconds, rate)
        self.pace = server_pace.PacedServers(
            name,
            lambda: self.nodes,
            lambda: BOUNDS,
            lambda _: service,
            self.fleet.members,
            self.loads,
            lambda _: demand,
            lambda _: False,
            clock,
            random.Random(seed),
            lambda server, state, limit: self.changes.append(
                (server, state.value, limit)
            ),
        )
        self.placer = placement.Placer(
            "z1",
            self.fleet,
            prefix_cache.PrefixCacheTracker(clock, 9.0),
            self.loads,
            prefill_time.PrefillTimes(),
            clock,
            self.pace.may_send,
            self.pace.with_room,
        )

    def put(self, server: str, cold_left: float = 0.0) -> fleet.Member:
        """Add a server, or another state of it."""
        version = builders.version(int(self.clock.monotonic() * 1000))
        member = self.fleet.put(
            builders.server(server, cold_left=cold_left), version
        )
        assert member is not None
        return member

    def send(self, member: fleet.Member) -> None:
        """Send a request."""
        self.pace.record_sent(member)
        self.loads.start_request(member.id, 0.0)

    def states(self) -> list[str]:
        """Return the states of servers that were reported, in order."""
        return [state for _, state, _ in self.changes]


class PaceCase(unittest.TestCase):
    """Node that knows a started server and one that serves all along."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.node = Node(self.clock)
        self.warm = self.node.put("warm")
        self.new = self.node.put("new", COLD_SECONDS)
        self.assertTrue(self.node.pace.may_send(self.new))

    def has_room(self) -> bool:
        members = [self.warm, self.new]
        return self.new in self.node.pace.with_room(members)

    def fill(self) -> int:
        """Send what the server may hold, and return how much it holds."""
        while self.has_room():
            self.node.send(self.new)
        return self.node.loads.own_active("new")

    def warm_up(self) -> None:
        self.clock.advance(COLD_SECONDS)
        self.assertTrue(self.node.pace.may_send(self.new))


class Growth(PaceCase):
    """What a server may hold while its answers keep their times."""

    def test_first_requests_are_few(self) -> None:
        self.assertEqual(2, self.fill())

    def test_it_doubles_with_each_usual_answer_time(self) -> None:
        held = []
        for _ in range(4):
            held.append(self.fill())
            self.clock.advance(STEP)
        self.assertEqual([2, 4, 8, 16], held)

    def test_it_does_not_grow_while_it_is_unused(self) -> None:
        for _ in range(5):
            self.has_room()
            self.clock.advance(STEP)
        self.assertEqual(2, self.fill())

    def test_answers_of_short_requests_show_that_it_is_used(self) -> None:
        self.node.pace.record_answer(self.new, 0.04, 0.08)
        self.clock.advance(STEP)
        self.assertEqual(4, self.fill())

    def test_it_is_full_at_twice_the_mean_of_the_others(self) -> None:
        for _ in range(10):
            self.node.loads.start_request("warm", 0.0)
        self.warm_up()
        held = []
        for _ in range(5):
            if not self.node.pace.count:
                break
            held.append(self.fill())
            self.clock.advance(STEP)
            self.has_room()
        self.assertEqual([2, 4, 8, 16], held)
        self.assertEqual(["cold", "growing", "full"], self.node.states())

    def test_service_that_is_idle_is_not_paced_for_ever(self) -> None:
        self.warm_up()
        for _ in range(12):
            self.has_room()
            self.clock.advance(STEP)
        self.assertEqual(0, self.node.pace.count)

    def test_requests_of_other_nodes_count(self) -> None:
        self.node.loads.apply_report(
            server_load.Source("n1"),
            "n1",
            1,
            {"new": server_load.Load(active=2)},
        )
        self.assertFalse(self.has_room())

    def test_all_servers_may_serve_when_none_has_room(self) -> None:
        self.fill()
        self.assertEqual([self.new], self.node.pace.with_room([self.new]))

    def test_a_crowd_of_nodes_draws_for_what_is_left(self) -> None:
        """Nodes hear of each other's requests late."""
        taken = 0
        for number in range(100):
            node = Node(self.clock, demand=300.0, seed=number)
            node.put("warm")
            new = node.put("new", COLD_SECONDS)
            node.pace.may_send(new)
            new.cold_until = self.clock.monotonic()
            node.pace.may_send(new)
            taken += new in node.pace.with_room([*node.fleet])
        self.assertLessEqual(taken, 8)


class Trouble(PaceCase):
    """What a server may hold when its answers don't keep their times."""

    def grow(self) -> None:
        for _ in range(3):
            self.fill()
            self.clock.advance(STEP)
        self.assertEqual(16, self.fill())

    def assert_halved(self) -> None:
        self.clock.advance(1.5)
        self.assertFalse(self.has_room())
        self.assertEqual(("new", "back", 8.0), self.node.changes[-1])

    def test_failures_halve_it(self) -> None:
        self.grow()
        self.node.pace.record_failure(self.new)
        self.assert_halved()

    def test_slow_heads_halve_it(self) -> None:
        self.grow()
        self.node.pace.record_answer(self.new, 3.0, 0.2)
        self.assert_halved()

    def test_heads_as_slow_as_elsewhere_do_not(self) -> None:
        """Load makes the answers of all servers slow."""
        for _ in range(100):
            self.node.pace.record_answer(self.warm, 3.0, 0.2)
        self.node.pace.record_answer(self.new, 3.0, 0.2)
        self.clock.advance(4.0)
        self.assertEqual(4, self.fill())

    def test_trouble_of_another_node_halves_it(self) -> None:
        self.grow()
        self.node.loads.apply_report(
            server_load.Source("n1"),
            "n1",
            1,
            {"new": server_load.Load(rejected=1)},
        )
        self.has_room()
        self.assert_halved()

    def test_other_nodes_are_told(self) -> None:
        self.node.pace.record_failure(self.new)
        self.assertEqual(1, self.node.loads.own_loads()["new"].rejected)

    def test_repeated_trouble_leaves_the_first_requests(self) -> None:
        for _ in range(8):
            self.node.pace.record_failure(self.new)
            self.has_room()
            self.clock.advance(1.5)
        self.assertEqual(2, self.fill())
        self.assertEqual(["cold", "back", "growing"], self.node.states())


class Starts(PaceCase):
    """What makes a server one that started or recovered."""

    def assert_paced(self, *states: str) -> None:
        self.assertTrue(self.node.pace.may_send(self.warm))
        self.assertEqual(list(states), self.node.states()[1:])

    def test_server_that_serves_all_along_is_not_paced(self) -> None:
        self.assert_paced()

    def test_server_after_a_backoff(self) -> None:
        self.warm.health.record(True, self.clock.monotonic(), unreached=True)
        self.node.pace.may_send(self.warm)
        self.assert_paced()
        self.clock.advance(1.0)
        self.assert_paced("growing")

    def test_server_after_a_pause_or_a_drain(self) -> None:
        self.warm.was_away = True
        self.assert_paced("growing")

    def test_zone_after_its_evacuation(self) -> None:
        self.node.fleet.evacuated = frozenset(("z1",))
        self.assertIsNone(self.node.placer.choose(placement.Need("s")))
        self.node.fleet.evacuated = frozenset()
        self.assert_paced("growing")

    def test_server_that_becomes_cold_while_it_serves(self) -> None:
        self.node.put("warm", COLD_SECONDS)
        self.assert_paced("cold")

    def test_server_that_becomes_cold_while_it_grows(self) -> None:
        self.warm.was_away = True
        self.assert_paced("growing")
        self.node.put("warm", COLD_SECONDS)
        self.assert_paced("growing", "cold")

    def test_service_without_a_cold_time_is_not_paced(self) -> None:
        for rate, seconds in ((0.0, 3.0), (9.0, 0.0)):
            node = Node(self.clock, rate=rate, cold_seconds=seconds)
            member = node.put("a", COLD_SECONDS)
            node.pace.may_send(member)
            member.cold_until = self.clock.monotonic()
            member.was_away = True
            self.assertTrue(node.pace.may_send(member))
            self.assertEqual(0, node.pace.count)


def peak_per_second(sent: list[float]) -> int:
    """Return the most requests that were sent in one second."""
    sent = sorted(sent)
    return max(
        (
            bisect.bisect_left(sent, at + 1.0) - number
            for number, at in enumerate(sent)
        ),
        default=0,
    )


def allowed(rate: float) -> float:
    """Return the requests per second that a cold server may get."""
    return rate * BOUNDS.cold_factor + BOUNDS.cold_extra


class ColdBound(unittest.TestCase):
    """Requests of many nodes to the same cold server."""

    def test_all_nodes_together_stay_within_the_rate(self) -> None:
        for count in (1, 9, 74, 380):
            for rate in (2.0, 9.0, 40.0):
                clock = clocks.ManualClock()
                names = frozenset(f"n{number}" for number in range(count))
                nodes = [Node(clock, name, names, rate) for name in names]
                cold = [node.put("cold", 5.0) for node in nodes]
                sent: list[float] = []
                for _ in range(300):
                    for node, member in zip(nodes, cold, strict=True):
                        if node.pace.may_send(member):
                            node.pace.record_sent(member)
                            sent.append(clock.monotonic())
                    clock.advance(0.01)
                peak = peak_per_second(sent)
                self.assertLessEqual(peak, allowed(rate), (count, rate))
                self.assertGreater(peak, 0, (count, rate))

    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(
        stayed=strategies.integers(1, 60),
        joined=strategies.integers(0, 20),
        died=strategies.integers(0, 20),
        rate=strategies.floats(0.0, 60.0),
        seed=strategies.integers(0, 2**32),
    )
    def test_nodes_that_join_and_die_do_not_break_it(
        self, stayed: int, joined: int, died: int, rate: float, seed: int
    ) -> None:
        """Each node hears of the others at another time, or never."""
        rng = random.Random(seed)
        clock = clocks.ManualClock()
        names = [f"n{rng.random()}" for _ in range(stayed + joined + died)]
        before = frozenset(names[: stayed + died])
        after = frozenset(names[:stayed] + names[stayed + died :])
        nodes = []
        for name in names:
            view = before if name in before else after
            node = Node(clock, name, view, rate)
            ends = clock.monotonic() + rng.uniform(0.0, 4.0)
            dies = name not in after and rng.random() < 0.5
            nodes.append((node, node.put("cold", 9.0), ends, dies))
        sent: list[float] = []
        for _ in range(40):
            now = clock.monotonic()
            for node, member, changes_at, dies in nodes:
                if now >= changes_at:
                    if dies:
                        continue
                    node.nodes = after
                if rng.random() < 0.9 and node.pace.may_send(member):
                    node.pace.record_sent(member)
                    sent.append(now)
            clock.advance(rng.uniform(0.01, 0.2))
        self.assertLessEqual(peak_per_second(sent), allowed(rate))


class Crowd(unittest.TestCase):
    """Many nodes and a server that starts, by the choices of the placer."""

    NODES = 40
    SERVERS = 20
    NEW = 10
    DEMAND = 60.0
    DURATION = 1.5
    REPORT_INTERVAL = 0.4
    TICK = 0.02

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.rng = random.Random(1)
        names = frozenset(f"n{number}" for number in range(self.NODES))
        self.nodes = [
            Node(self.clock, name, names, demand=self.DEMAND, seed=number)
            for number, name in enumerate(sorted(names))
        ]
        for node in self.nodes:
            for number in range(self.SERVERS):
                node.put(f"s{number}")
        self.running: list[tuple[float, Node, fleet.Member]] = []
        self.sent: list[tuple[float, str]] = []
        self.held: list[collections.Counter[str]] = []

    def exchange_reports(self) -> None:
        reports = [node.loads.own_loads() for node in self.nodes]
        totals: dict[str, int] = {}
        for report in reports:
            for server, load in report.items():
                totals[server] = totals.get(server, 0) + load.active
        for node, report in zip(self.nodes, reports, strict=True):
            others = {
                server: server_load.Load(
                    active=total
                    - report.get(server, server_load.NO_LOAD).active
                )
                for server, total in totals.items()
            }
            node.loads.apply_report(
                server_load.Source("others", True),
                "n",
                int(self.clock.monotonic() * 1000),
                others,
            )

    def run_for(self, seconds: float) -> None:
        """Serve requests."""
        per_report = round(self.REPORT_INTERVAL / self.TICK)
        for tick in range(round(seconds / self.TICK)):
            now = self.clock.monotonic()
            if tick % per_report == 0:
                self.exchange_reports()
            ended = [entry for entry in self.running if entry[0] <= now]
            self.running = [entry for entry in self.running if entry[0] > now]
            for _, node, member in ended:
                node.loads.end_request(member.id)
                node.pace.record_answer(member, 0.1, 0.1)
            while self.rng.random() > 1.0 / (1.0 + self.DEMAND * self.TICK):
                self.send_request(now)
            self.held.append(
                collections.Counter(entry[2].id for entry in self.running)
            )
            self.clock.advance(self.TICK)

    def send_request(self, now: float) -> None:
        node = self.rng.choice(self.nodes)
        choice = node.placer.choose(placement.Need("s"))
        assert choice is not None
        node.send(choice.member)
        self.running.append((now + self.DURATION, node, choice.member))
        self.sent.append((now, choice.member.id))

    def share(self, since: float) -> float:
        """Return the new servers' part of their fair share of requests."""
        servers = [server for at, server in self.sent if at >= since]
        new = sum(server.startswith("new") for server in servers)
        return new / self.NEW * (self.SERVERS + self.NEW) / len(servers)

    def peaks(self) -> tuple[int, int]:
        """Return the most requests that a new and an old server held."""
        new = old = 0
        for held in self.held:
            for server, count in held.items():
                if server.startswith("new"):
                    new = max(new, count)
                else:
                    old = max(old, count)
        return new, old

    def test_servers_that_start_are_neither_flooded_nor_idle(self) -> None:
        self.run_for(4.0)
        for node in self.nodes:
            for number in range(self.NEW):
                node.put(f"new{number}", COLD_SECONDS)
        self.held.clear()
        cold_at = self.clock.monotonic()
        self.run_for(COLD_SECONDS)
        warm_at = self.clock.monotonic()
        cold_share = self.share(cold_at)
        self.run_for(0.5)
        crowd = self.share(warm_at)
        self.run_for(COLD_SECONDS - 0.5)
        warm_share = self.share(warm_at)
        new, old = self.peaks()
        figures = (cold_share, crowd, warm_share, new, old)
        for number in range(self.NEW):
            sent = [
                at
                for at, server in self.sent
                if server == f"new{number}" and at < warm_at
            ]
            self.assertLessEqual(peak_per_second(sent), allowed(9.0))
        self.assertGreater(cold_share, 0.25, figures)
        self.assertLess(crowd, 1.8, figures)
        self.assertGreater(warm_share, 0.6, figures)
        self.assertLessEqual(new, old, figures)
