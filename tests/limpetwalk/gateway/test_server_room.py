"""Room of servers for requests of each priority."""

import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import fleet
from limpetwalk.gateway import server_load
from limpetwalk.gateway import server_room
from limpetwalk.gateway import types

from . import builders


class RoomCase(unittest.TestCase):
    """Two servers of 8 slots, and routes of three priorities."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.fleet = fleet.Fleet(self.clock)
        self.loads = server_load.ServerLoads(self.clock)
        for number in range(2):
            self.fleet.put(
                builders.server(f"s{number}"), builders.version(number + 1)
            )
        self.routes: tuple[types.Route, ...] = tuple(
            builders.route(
                prefix=f"/{priority}/",
                streaming=True,
                priority=priority,
                target_latency=target,
            )
            for priority, target in ((0, 1.0), (1, 1.5), (2, 4.0))
        )
        self.room = server_room.ServerRoom(
            self.fleet, self.loads, lambda: self.routes, self.clock
        )

    def occupy(self, server_id: str, requests: int, prefill: float) -> None:
        for _ in range(requests):
            self.loads.start_request(server_id, prefill)

    def with_room(self, priority: int) -> list[str]:
        members = list(self.fleet.usable("s"))
        return [m.id for m in self.room.with_room(members, priority)]


class Priorities(RoomCase):
    """Which priorities find room."""

    def test_last_slots_are_left_to_more_urgent_requests(self) -> None:
        self.occupy("s0", 6, 0.0)
        self.assertEqual(["s1"], self.with_room(2))
        self.assertEqual(["s0", "s1"], self.with_room(1))
        self.occupy("s0", 1, 0.0)
        self.assertEqual(["s1"], self.with_room(1))
        self.assertEqual(["s0", "s1"], self.with_room(0))

    def test_unread_prompts_keep_less_urgent_requests_off(self) -> None:
        self.occupy("s0", 1, 0.3)
        self.assertEqual(["s1"], self.with_room(1))
        self.assertEqual(["s0", "s1"], self.with_room(0))

    def test_least_loaded_server_is_left_when_none_has_room(self) -> None:
        self.occupy("s0", 9, 0.0)
        self.occupy("s1", 8, 0.0)
        self.assertEqual(["s1"], self.with_room(0))

    def test_room_falls_with_the_load_of_all_nodes(self) -> None:
        self.assertEqual(12.0, self.room.free("s", 2))
        self.loads.apply_report(
            server_load.Source("other"),
            "other",
            1,
            {"s0": server_load.Load(0.0, 5)},
        )
        self.clock.advance(2 * server_load.SUMS_LIFETIME)
        self.assertEqual(7.0, self.room.free("s", 2))

    def test_prompts_are_timed_where_requests_hardly_wait(self) -> None:
        """Estimates learnt from answers that waited grow without bound."""
        member = self.fleet.get("s0")
        assert member is not None
        self.occupy("s0", 4, 0.0)
        self.assertTrue(self.room.is_calm(member))
        self.occupy("s0", 1, 0.0)
        self.assertFalse(self.room.is_calm(member))

    def test_crashed_server_has_no_room(self) -> None:
        member = self.fleet.get("s0")
        assert member is not None
        member.health.record(True, self.clock.monotonic(), unreached=True)
        self.assertEqual(6.0, self.room.free("s", 2))

    def test_more_urgent_workspace_has_the_room_of_its_priority(self) -> None:
        self.assertEqual(0, self.room.rank("s", -1))
        self.assertEqual(3, self.room.rank("s", 9))


class Services(RoomCase):
    """Which services have an order."""

    def test_generations_of_several_priorities_are_ranked(self) -> None:
        self.assertTrue(self.room.is_ranked("s"))

    def test_plain_service_of_few_slots_is_not_held_back(self) -> None:
        """A slot of few is free again before other nodes hear of it."""
        self.routes = tuple(
            builders.route(prefix=f"/{number}/", priority=number)
            for number in range(3)
        )
        self.assertFalse(self.room.is_ranked("s"))
        self.occupy("s0", 9, 0.0)
        self.assertEqual(["s0", "s1"], self.with_room(2))

    def test_service_of_one_priority_is_not_held_back(self) -> None:
        self.routes = self.routes[:1]
        self.assertFalse(self.room.is_ranked("s"))
