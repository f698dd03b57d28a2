"""Tests of the room for connections of callers."""

import unittest

from limpetwalk.gateway import connection_room


class _Connection:
    closed = False

    def give_way(self) -> None:
        self.closed = True


class Room(unittest.TestCase):
    """Room for two connections."""

    def setUp(self) -> None:
        self.yielded = False
        self.room = connection_room.ConnectionRoom(
            lambda: 2, lambda: self.yielded
        )
        self.first, self.second = _Connection(), _Connection()
        for conn in (self.first, self.second):
            self.assertTrue(self.room.try_add(conn))

    def test_longest_idle_connection_gives_way(self) -> None:
        self.room.record_busy(self.first)
        self.room.record_idle(self.first)
        self.assertTrue(self.room.try_add(_Connection()))
        self.assertTrue(self.second.closed)
        self.assertFalse(self.first.closed)

    def test_connection_that_waits_for_an_answer_does_not_give_way(
        self,
    ) -> None:
        self.room.record_busy(self.first)
        self.room.record_busy(self.second)
        self.assertFalse(self.room.try_add(_Connection()))
        self.assertFalse(self.first.closed or self.second.closed)

    def test_connection_with_much_behind_its_request_gives_way_first(
        self,
    ) -> None:
        self.room.record_busy(self.second)
        self.room.record_flooded(self.second)
        self.assertTrue(self.room.try_add(_Connection()))
        self.assertTrue(self.second.closed)

    def test_flooded_connection_is_idle_again_after_its_answer(self) -> None:
        self.room.record_busy(self.second)
        self.room.record_flooded(self.second)
        self.room.record_idle(self.second)
        self.assertTrue(self.room.try_add(_Connection()))
        self.assertTrue(self.first.closed)

    def test_connection_beyond_the_limit_is_closed_once_it_is_idle(
        self,
    ) -> None:
        self.room.record_busy(self.first)
        self.room.record_busy(self.second)
        self.yielded = True
        self.assertTrue(self.room.try_add(third := _Connection()))
        self.room.record_busy(third)
        self.room.record_idle(self.first)
        self.assertTrue(self.first.closed)
        self.assertFalse(third.closed)

    def test_closed_connections_leave_their_room(self) -> None:
        self.room.discard(self.first)
        self.assertTrue(self.room.try_add(_Connection()))
        self.assertFalse(self.second.closed)


class Limit(unittest.TestCase):
    """Largest number of connections."""

    def test_requests_have_descriptors_left_for_their_servers(self) -> None:
        limit = connection_room.max_connections(400, 300e6)
        self.assertLess(2 * limit, 200)

    def test_connections_leave_most_of_the_memory(self) -> None:
        limit = connection_room.max_connections(1e9, 300e6)
        taken = limit * connection_room.CONNECTION_BYTES
        self.assertLess(taken, 300e6 / 3)

    def test_tiny_limits_leave_one_connection(self) -> None:
        self.assertEqual(1, connection_room.max_connections(10, 300e6))
