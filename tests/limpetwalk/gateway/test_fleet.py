"""Backend servers and their health, as known to a node."""

import dataclasses
import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import fleet

from . import builders


class FleetCase(unittest.TestCase):
    """Fleet with a manual clock."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.fleet = fleet.Fleet(self.clock)

    def usable(self) -> set[str]:
        return {member.id for member in self.fleet.usable("s")}


class Entries(FleetCase):
    """Entries are added, updated and removed."""

    def test_later_states_of_a_server_are_recognized(self) -> None:
        entry = builders.server("a", boot_ms=5, sequence=7)
        self.fleet.put(entry, builders.version(1))
        for changes, outdated in (
            ({"sequence": 6}, True),
            ({"sequence": 7}, False),
            ({"sequence": 8}, False),
            ({"boot_ms": 4, "sequence": 9}, True),
            ({"boot_ms": 6, "sequence": 0}, False),
        ):
            with self.subTest(changes):
                other = dataclasses.replace(entry, **changes)
                self.assertIs(outdated, self.fleet.is_outdated(other))
        self.fleet.remove("a")
        self.assertTrue(self.fleet.is_outdated(entry))
        later = dataclasses.replace(entry, sequence=8)
        self.assertFalse(self.fleet.is_outdated(later))

    def test_entry_of_a_later_era_is_newer_whatever_its_counter(self) -> None:
        self.fleet.put(builders.server("a"), builders.version(90))
        leaving = builders.server("a", leaving=True)
        self.fleet.put(leaving, builders.version(20, era=2))
        self.assertEqual([], list(self.fleet.usable("s")))

    def test_leaving_and_evacuated_servers_are_not_usable(self) -> None:
        self.fleet.put(builders.server("a"), builders.version(1))
        self.fleet.put(builders.server("b", leaving=True), builders.version(2))
        self.fleet.put(builders.server("c", zone="z2"), builders.version(3))
        self.fleet.evacuated = frozenset(("z2",))
        self.assertEqual({"a"}, self.usable())

    def test_entry_of_a_start_or_a_copy_proves_no_server(self) -> None:
        member = self.fleet.put(builders.server("a"), builders.version(1))
        assert member is not None
        self.fleet.retain_only({"a"})
        for _ in range(2):
            self.clock.advance(0.1)
            self.assertEqual(set(), self.fleet.proven_versions("s"))
            member.heard_at = self.clock.monotonic()
            self.assertEqual({"v1"}, self.fleet.proven_versions("s"))
            self.clock.advance(0.1)
            self.fleet.doubt_entries()
        self.clock.advance(fleet.ENTRY_PROOF_TIME)
        self.assertEqual({"v1"}, self.fleet.proven_versions("s"))

    def test_older_entry_is_ignored(self) -> None:
        self.fleet.put(builders.server("a", leaving=True), builders.version(5))
        self.assertIsNone(
            self.fleet.put(builders.server("a"), builders.version(4))
        )
        self.assertEqual(set(), self.usable())

    def test_new_boot_with_the_same_id_has_no_recorded_failures(self) -> None:
        member = self.fleet.put(builders.server("a"), builders.version(1))
        assert member is not None
        member.health.record(True, self.clock.monotonic())
        restarted = self.fleet.put(
            builders.server("a", boot_ms=2), builders.version(2)
        )
        assert restarted is not None
        self.assertEqual(0, restarted.health.failures_in_row)

    def test_full_read_removes_missing_servers(self) -> None:
        self.fleet.put(builders.server("a"), builders.version(1))
        self.fleet.put(builders.server("b"), builders.version(2))
        self.assertEqual(["b"], self.fleet.retain_only({"a"}))
        self.assertEqual({"a"}, self.usable())

    def test_cold_time_counts_from_the_entry(self) -> None:
        member = self.fleet.put(
            builders.server("a", cold_left=2.0), builders.version(1)
        )
        assert member is not None
        self.assertTrue(member.is_cold(self.clock.monotonic()))
        self.clock.advance(2.1)
        self.assertFalse(member.is_cold(self.clock.monotonic()))


class ExpiredEntries(FleetCase):
    """Entries expire during an outage of the store."""

    def test_expired_server_stays_until_it_had_time_to_register(self) -> None:
        self.fleet.put(builders.server("a"), builders.version(1))
        self.fleet.record_store_recovery()
        self.assertFalse(self.fleet.remove("a"))
        self.clock.advance(fleet.EXPIRY_GRACE - 0.1)
        self.assertEqual({"a"}, self.usable())
        self.clock.advance(0.2)
        self.assertEqual(set(), self.usable())

    def test_server_that_registers_again_stays(self) -> None:
        self.fleet.put(builders.server("a"), builders.version(1))
        self.fleet.record_store_recovery()
        self.fleet.remove("a")
        self.fleet.put(builders.server("a"), builders.version(2))
        self.clock.advance(10)
        self.assertEqual({"a"}, self.usable())

    def test_server_is_removed_at_once_without_an_outage(self) -> None:
        self.fleet.put(builders.server("a"), builders.version(1))
        self.assertTrue(self.fleet.remove("a"))
        self.assertEqual(set(), self.usable())

    def test_leaving_server_is_removed_even_after_an_outage(self) -> None:
        self.fleet.put(builders.server("a", leaving=True), builders.version(1))
        self.fleet.record_store_recovery()
        self.assertTrue(self.fleet.remove("a"))


class Failures(unittest.TestCase):
    """Health of a server after failures."""

    def test_backoff_grows_with_consecutive_failures(self) -> None:
        health = fleet.ServerHealth()
        backoffs = []
        now = 0.0
        for _ in range(6):
            health.record(True, now)
            backoffs.append(round(max(0.0, health.backoff_until - now), 6))
            now = max(now, health.backoff_until)
        self.assertEqual(0.0, backoffs[0])
        self.assertEqual(sorted(backoffs), backoffs)
        self.assertLessEqual(backoffs[-1], fleet.MAX_BACKOFF)

    def test_refused_connection_starts_the_backoff_at_once(self) -> None:
        health = fleet.ServerHealth()
        health.record(True, 0.0, unreached=True)
        self.assertEqual(fleet.FIRST_BACKOFF, health.backoff_until)

    def test_success_resets_the_consecutive_failures(self) -> None:
        health = fleet.ServerHealth()
        health.record(True, 0.0)
        health.record(False, 0.1)
        health.record(True, 0.2)
        self.assertLess(health.backoff_until, 0.2)

    def test_weight_of_old_failures_decays(self) -> None:
        health = fleet.ServerHealth()
        for _ in range(4):
            health.record(True, 0.0)
        early = health.failure_share(0.0)
        late = health.failure_share(10 * fleet.FAILURE_HALF_LIFE)
        self.assertGreater(early, 0.7)
        self.assertLess(late, 0.05)
