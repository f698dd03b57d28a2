"""Tests of servers that fall over when they reject too many requests."""

import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import brittle_servers
from limpetwalk.gateway import fleet
from limpetwalk.gateway import server_load
from limpetwalk.gateway import stated_values
from limpetwalk.gateway import types

from . import builders


class BrittleCase(unittest.TestCase):
    """Some servers of one service, each with eight slots."""

    nodes = frozenset({"n0"})
    demand = 10.0
    slots = 8

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.loads = server_load.ServerLoads(self.clock)
        self.changes: list[tuple[str, float | None]] = []
        self.brittle = brittle_servers.BrittleServers(
            lambda: self.nodes,
            self.loads,
            self.clock,
            lambda server: self.demand,
            random.Random(3),
            lambda *change: self.changes.append(change),
        )
        self.members = [self.member(f"s{number}") for number in range(2)]

    def member(self, server_id: str) -> fleet.Member:
        entry = builders.server(server_id, slots=self.slots)
        return fleet.Member(entry, types.Version(1, 1))

    def send(self, server_id: str = "s0", count: int = 1) -> None:
        """Send requests that stay at a server."""
        for _ in range(count):
            self.loads.start_request(server_id, 0.0)

    def reject(self, server_id: str = "s0") -> None:
        """Send a request that a server rejects."""
        self.send(server_id)
        self.brittle.record_rejection(server_id)
        self.loads.end_request(server_id)

    def report(self, load: server_load.Load) -> None:
        """Apply the report of another node on the first server."""
        sequence = int(self.clock.monotonic() * 1000)
        self.loads.apply_report(
            server_load.Source("n1"), "n1", sequence, {"s0": load}
        )
        self.clock.advance(2 * server_load.SUMS_LIFETIME)

    def chosen(self, *members: fleet.Member) -> list[str]:
        """Return the servers that may get a request."""
        with_room = self.brittle.with_room(members or self.members)
        return [member.id for member in with_room]

    def room(self) -> int:
        """Return how many requests the first server gets."""
        before = count = self.loads.own_active("s0")
        while self.chosen(self.members[0]):
            self.send()
            count += 1
        for _ in range(count - before):
            self.loads.end_request("s0")
        return count


class OneNode(BrittleCase):
    """A node that knows all that its servers have."""

    def test_servers_that_are_not_brittle_get_everything(self) -> None:
        self.send(count=50)
        self.assertEqual(["s0", "s1"], self.chosen())
        self.assertFalse(self.brittle.record_rejection("s0"))

    def test_brittle_server_gets_what_it_has_slots_for(self) -> None:
        self.brittle.record_answer("s0", "3")
        self.assertEqual(8, self.room())

    def test_other_servers_take_what_one_has_no_room_for(self) -> None:
        self.brittle.record_answer("s0", "3")
        self.brittle.record_answer("s1", "3")
        self.send("s0", 8)
        self.assertEqual(["s1"], self.chosen())
        self.send("s1", 8)
        self.assertEqual([], self.chosen())

    def test_room_shrinks_with_a_rejection_and_grows_again(self) -> None:
        self.brittle.record_answer("s0", "9")
        self.assertEqual(8, self.room())
        self.send(count=4)
        self.reject()
        self.assertEqual([], self.chosen(self.members[0]))
        self.clock.advance(1.1)
        self.brittle.record_answer("s0", "9")
        self.assertEqual(4, self.room())
        self.clock.advance(8.0)
        self.brittle.record_answer("s0", "9")
        self.assertEqual(8, self.room())

    def test_server_that_rejected_gets_nothing_until_it_is_old(self) -> None:
        self.brittle.record_answer("s0", "2")
        self.chosen()
        self.reject()
        self.assertEqual([], self.chosen(self.members[0]))
        self.clock.advance(0.9)
        self.assertEqual([], self.chosen(self.members[0]))
        self.clock.advance(0.2)
        self.assertEqual(["s0"], self.chosen(self.members[0]))

    def test_few_requests_at_a_time_try_what_was_not_accepted(self) -> None:
        self.brittle.record_answer("s0", "2")
        self.send(count=3)
        self.chosen(self.members[0])
        self.send()
        probe = self.brittle.start_probe("s0")
        self.assertEqual([], self.chosen(self.members[0]))
        self.brittle.end_probe(probe, accepted=True)
        self.assertEqual(["s0"], self.chosen(self.members[0]))

    def test_requests_within_what_was_accepted_are_no_probes(self) -> None:
        self.brittle.record_answer("s0", "2")
        self.send(count=4)
        self.chosen(self.members[0])
        self.loads.end_request("s0")
        self.loads.end_request("s0")
        self.send()
        self.assertIsNone(self.brittle.start_probe("s0"))
        self.assertEqual(["s0"], self.chosen(self.members[0]))

    def test_probe_that_ended_unanswered_proves_nothing(self) -> None:
        self.brittle.record_answer("s0", "2")
        self.chosen(self.members[0])
        self.send()
        self.brittle.end_probe(self.brittle.start_probe("s0"), accepted=False)
        self.assertIsNotNone(self.brittle.start_probe("s0"))

    def test_server_that_has_not_answered_is_like_the_others(self) -> None:
        self.brittle.record_answer("s0", "3")
        self.send("s1", 8)
        self.assertEqual(["s0"], self.chosen())

    def test_new_server_starts_with_the_room_of_the_others(self) -> None:
        self.brittle.record_answer("s0", "9")
        self.chosen()
        self.send("s0", 3)
        self.reject("s0")
        self.reject("s0")
        new = self.member("s2")
        self.send("s2", 6)
        self.assertEqual([], self.chosen(self.members[0], new))

    def test_answer_that_states_nothing_ends_it(self) -> None:
        self.brittle.record_answer("s0", "3")
        self.send(count=20)
        self.brittle.record_answer("s0", None)
        self.assertEqual(["s0"], self.chosen(self.members[0]))
        self.assertEqual([("s0", 3.0), ("s0", None)], self.changes)

    def test_statement_that_nothing_confirms_ends(self) -> None:
        self.brittle.record_answer("s0", "3")
        self.send(count=20)
        self.clock.advance(stated_values.LIFETIME + 0.1)
        self.assertEqual(["s0", "s1"], self.chosen())


class TwoNodes(BrittleCase):
    """A node that hears of another by reports."""

    nodes = frozenset({"n0", "n1"})

    def setUp(self) -> None:
        super().setUp()
        self.brittle.record_answer("s0", "5")

    def test_requests_of_the_other_node_take_room(self) -> None:
        self.report(server_load.Load(active=8))
        self.assertEqual([], self.chosen(self.members[0]))

    def test_rejections_of_the_other_node_count(self) -> None:
        self.chosen()
        self.report(server_load.Load(active=1, rejected=2))
        self.assertEqual([], self.chosen(self.members[0]))

    def test_room_is_learnt_from_rejections_of_the_other_node(self) -> None:
        self.chosen()
        self.report(server_load.Load(active=4, rejected=1))
        self.chosen()
        self.clock.advance(1.0)
        self.report(server_load.Load(active=4))
        self.assertEqual([], self.chosen(self.members[0]))

    def test_room_is_left_for_what_is_not_heard_of_yet(self) -> None:
        self.demand = 200.0
        chosen = [self.chosen(self.members[0]) for _ in range(1000)]
        # About 15 requests of the other node may be under way.
        self.assertLess(sum(map(len, chosen)), 400)
        self.assertGreater(sum(map(len, chosen)), 100)


class Durations(unittest.TestCase):
    """How long requests stay at a server."""

    def test_mean_duration_of_requests(self) -> None:
        clock = clocks.ManualClock()
        loads = server_load.ServerLoads(clock)
        self.assertEqual(0.0, loads.mean_duration(["s0"]))
        for _ in range(200):
            loads.start_request("s0", 0.0)
            clock.advance(0.05)
            loads.end_request("s0")
            clock.advance(0.05)
        self.assertAlmostEqual(0.05, loads.mean_duration(["s0"]), delta=0.005)


if __name__ == "__main__":
    unittest.main()
