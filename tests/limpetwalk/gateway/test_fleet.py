"""Backend servers as a node believes them to be."""

import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import fleet

from . import builders


class FleetCase(unittest.TestCase):
    """Fleet with a clock that the test holds."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.fleet = fleet.Fleet(self.clock)

    def usable(self) -> set[str]:
        return {each.id for each in self.fleet.usable("s")}


class Entries(FleetCase):
    """Entries come, change and go."""

    def test_leaving_and_evacuated_servers_are_not_usable(self) -> None:
        self.fleet.put(builders.server("a"), 1)
        self.fleet.put(builders.server("b", leaving=True), 2)
        self.fleet.put(builders.server("c", zone="z2"), 3)
        self.fleet.evacuated = frozenset(("z2",))
        self.assertEqual({"a"}, self.usable())

    def test_older_entry_is_ignored(self) -> None:
        self.fleet.put(builders.server("a", leaving=True), 5)
        self.assertIsNone(self.fleet.put(builders.server("a"), 4))
        self.assertEqual(set(), self.usable())

    def test_new_boot_under_an_id_starts_with_a_clean_slate(self) -> None:
        held = self.fleet.put(builders.server("a"), 1)
        assert held is not None
        held.health.note(True, self.clock.monotonic())
        again = self.fleet.put(builders.server("a", boot_ms=2), 2)
        assert again is not None
        self.assertEqual(0, again.health.failures_in_row)

    def test_whole_read_takes_out_what_it_does_not_show(self) -> None:
        self.fleet.put(builders.server("a"), 1)
        self.fleet.put(builders.server("b"), 2)
        self.assertEqual(["b"], self.fleet.retain_only({"a"}))
        self.assertEqual({"a"}, self.usable())

    def test_cold_time_counts_from_the_entry(self) -> None:
        held = self.fleet.put(builders.server("a", cold_left=2.0), 1)
        assert held is not None
        self.assertTrue(held.is_cold(self.clock.monotonic()))
        self.clock.advance(2.1)
        self.assertFalse(held.is_cold(self.clock.monotonic()))


class LapsedEntries(FleetCase):
    """Entries lapse while the store is away."""

    def test_lapsed_server_stays_until_it_had_time_to_return(self) -> None:
        self.fleet.put(builders.server("a"), 1)
        self.fleet.record_store_recovery()
        self.assertFalse(self.fleet.remove("a"))
        self.clock.advance(fleet.EXPIRY_GRACE - 0.1)
        self.assertEqual({"a"}, self.usable())
        self.clock.advance(0.2)
        self.assertEqual(set(), self.usable())

    def test_server_that_returns_stays(self) -> None:
        self.fleet.put(builders.server("a"), 1)
        self.fleet.record_store_recovery()
        self.fleet.remove("a")
        self.fleet.put(builders.server("a"), 2)
        self.clock.advance(10)
        self.assertEqual({"a"}, self.usable())

    def test_without_an_outage_a_removed_server_is_gone(self) -> None:
        self.fleet.put(builders.server("a"), 1)
        self.assertTrue(self.fleet.remove("a"))
        self.assertEqual(set(), self.usable())

    def test_leaving_server_is_gone_even_after_an_outage(self) -> None:
        self.fleet.put(builders.server("a", leaving=True), 1)
        self.fleet.record_store_recovery()
        self.assertTrue(self.fleet.remove("a"))


class Failures(unittest.TestCase):
    """What a node has seen of a server."""

    def test_failures_in_a_row_let_it_rest_longer_and_longer(self) -> None:
        held = fleet.ServerHealth()
        rests = []
        now = 0.0
        for _ in range(6):
            held.note(True, now)
            rests.append(round(max(0.0, held.backoff_until - now), 6))
            now = max(now, held.backoff_until)
        self.assertEqual(0.0, rests[0])
        self.assertEqual(sorted(rests), rests)
        self.assertLessEqual(rests[-1], fleet.MAX_BACKOFF)

    def test_refused_connection_lets_it_rest_at_once(self) -> None:
        held = fleet.ServerHealth()
        held.note(True, 0.0, unreached=True)
        self.assertEqual(fleet.FIRST_BACKOFF, held.backoff_until)

    def test_success_ends_the_row(self) -> None:
        held = fleet.ServerHealth()
        held.note(True, 0.0)
        held.note(False, 0.1)
        held.note(True, 0.2)
        self.assertLess(held.backoff_until, 0.2)

    def test_old_failures_lose_their_weight(self) -> None:
        held = fleet.ServerHealth()
        for _ in range(4):
            held.note(True, 0.0)
        early = held.failure_share(0.0)
        late = held.failure_share(10 * fleet.FAILURE_HALF_LIFE)
        self.assertGreater(early, 0.7)
        self.assertLess(late, 0.05)
