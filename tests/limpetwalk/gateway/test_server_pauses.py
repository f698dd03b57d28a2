"""Tests of servers that want nothing for a while."""

import datetime
import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import fleet
from limpetwalk.gateway import return_time
from limpetwalk.gateway import server_pauses
from limpetwalk.gateway import types

from . import builders

NOW = datetime.datetime(2026, 12, 5, 12, 0, 0, tzinfo=datetime.UTC)


class RetryAfter(unittest.TestCase):
    """Contents of the header, also odd ones."""

    def test_each_form_is_read_or_names_no_time(self) -> None:
        for values, seconds in (
            (["2"], 2.0),
            (["1.5"], 1.5),
            ([" 3 "], 3.0),
            (["Sat, 05 Dec 2026 12:00:07 GMT"], 7.0),
            (["Sat, 05 Dec 2026 11:59:00 GMT"], None),
            (["Sat, 05 Dec 2026 12:00:07 -0000"], None),
            (["0"], None),
            (["-4"], None),
            (["1000000"], 1e6),
            (["1e400"], None),
            (["nan"], None),
            (["inf"], None),
            (["soon"], None),
            ([""], None),
            ([], None),
            (["1", "4"], 4.0),
            (["4", "soon"], 4.0),
        ):
            with self.subTest(values=values):
                self.assertEqual(
                    seconds, server_pauses.parse_retry_after(values, NOW)
                )


class Pauses(unittest.TestCase):
    """Times for which servers want nothing."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.pauses = server_pauses.ServerPauses(self.clock, random.Random(1))

    def test_pause_lasts_for_its_time_and_ends(self) -> None:
        self.pauses.record("a", 2.0)
        self.clock.advance(1.99)
        self.assertTrue(self.pauses.is_paused("a"))
        self.assertFalse(self.pauses.is_paused("b"))
        self.clock.advance(0.3)
        self.assertFalse(self.pauses.is_paused("a"))

    def test_long_pause_is_believed_for_a_minute(self) -> None:
        self.assertEqual(server_pauses.MAX_PAUSE, self.pauses.record("a", 1e6))
        self.clock.advance(server_pauses.MAX_PAUSE + server_pauses.MAX_JITTER)
        self.assertFalse(self.pauses.is_paused("a"))

    def test_shorter_pause_does_not_end_a_longer_one(self) -> None:
        self.pauses.record("a", 9.0)
        self.pauses.record("a", 1.0)
        self.clock.advance(5.0)
        self.assertTrue(self.pauses.is_paused("a"))

    def test_callers_return_after_the_first_server_and_spread(self) -> None:
        members = [
            fleet.Member(builders.server(name), types.Version())
            for name in ("a", "b")
        ]
        for member, seconds in zip(members, (6.0, 2.0), strict=True):
            self.pauses.record(member.entry.start, seconds)
        rng = random.Random(3)
        times = [
            return_time.retry_after(
                members,
                30.0,
                self.clock.monotonic(),
                rng,
                lambda member: self.pauses.until(member.entry.start),
            )
            for _ in range(100)
        ]
        self.assertGreaterEqual(min(times), 2.0)
        self.assertLess(max(times), 4.0)
        self.assertGreater(max(times) - min(times), 0.5)
