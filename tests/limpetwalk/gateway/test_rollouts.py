"""Roll-outs: versions that serve, and decisions to advance or revert."""

import dataclasses
import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import rollout
from limpetwalk.gateway import rollout_policy
from limpetwalk.gateway import types
from limpetwalk.rollouts import evidence

from . import builders

ORDER = types.RolloutOrder("s", "v2", 24.0, "1.7")
BOUNDS = types.Bounds()
# Seconds from a request until the leader knows its outcome.
EVIDENCE_LAG = 1.5
# Last part of a roll-out in which traffic may be another, seconds.
LAST_SECONDS = 2.5
BOTH = ("v1", "v2")


def stage(phase: rollout.Phase, share: float = 0.1) -> rollout.Stage:
    return rollout.Stage("1.7", "v2", phase, share, 0.0, 0.0)


class Versions(unittest.TestCase):
    """Versions that may get requests."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.rollouts = rollout.Rollouts(self.clock)

    def apply_stage(self, stage_: rollout.Stage, counter: int = 1) -> None:
        self.rollouts.apply_stage(
            "s", stage_.to_json(), builders.version(counter)
        )

    def allowed(self) -> rollout.Split:
        return self.rollouts.allowed_split("s", BOTH, {"v1"})

    def test_unknown_version_waits_for_an_order(self) -> None:
        self.assertEqual(frozenset(("v1",)), self.allowed().base)
        self.assertEqual(frozenset(), self.allowed().candidate)

    def test_ordered_version_waits_for_its_first_stage(self) -> None:
        self.rollouts.apply_order(ORDER)
        self.assertEqual(frozenset(), self.allowed().candidate)

    def test_reverted_version_gets_no_requests_even_without_its_order(
        self,
    ) -> None:
        self.rollouts.apply_order(ORDER)
        self.apply_stage(stage(rollout.Phase.REVERTED))
        self.rollouts.remove_order("rollout/s")
        split = self.allowed()
        self.assertEqual(frozenset(("v1",)), split.base)
        self.assertEqual(frozenset(), split.candidate)

    def test_new_order_invalidates_the_old_stage(self) -> None:
        self.apply_stage(stage(rollout.Phase.FULL))
        self.rollouts.apply_order(types.RolloutOrder("s", "v3", 24.0, "1.9"))
        self.assertIsNone(self.rollouts.stage("s"))

    def test_older_stage_is_ignored(self) -> None:
        self.apply_stage(stage(rollout.Phase.REVERTED), 5)
        self.apply_stage(stage(rollout.Phase.CANARY), 4)
        current = self.rollouts.stage("s")
        assert current is not None
        self.assertIs(rollout.Phase.REVERTED, current.phase)

    def order(self, counter: int, era: int = 1) -> types.RolloutOrder:
        version = builders.version(counter, era)
        return types.RolloutOrder("s", "v2", 24.0, str(version), version)

    def test_order_that_was_written_again_continues(self) -> None:
        self.rollouts.apply_order(self.order(7))
        self.apply_stage(stage(rollout.Phase.REVERTED), 8)
        for counter in (7, 9):
            self.rollouts.apply_order(self.order(counter, era=2))
        # The row of the copy comes first, and counts as the repetition.
        self.assertIsNone(self.rollouts.stage("s"))
        self.rollouts = rollout.Rollouts(self.clock)
        self.rollouts.apply_order(self.order(7))
        self.apply_stage(stage(rollout.Phase.REVERTED), 8)
        for _ in range(2):
            # Each full read of the table has the row.
            self.rollouts.apply_order(self.order(9, era=2))
            self.assertIsNotNone(self.rollouts.stage("s"))

    def test_removed_order_of_the_copy_does_not_begin_again(self) -> None:
        self.rollouts.apply_order(self.order(7))
        self.apply_stage(stage(rollout.Phase.REVERTED), 8)
        self.rollouts.remove_order("rollout/s")
        self.rollouts.apply_order(self.order(7, era=2), restored=True)
        self.assertIsNotNone(self.rollouts.stage("s"))

    def test_version_that_is_ordered_again_begins_anew(self) -> None:
        self.rollouts.apply_order(self.order(7))
        self.apply_stage(stage(rollout.Phase.REVERTED), 8)
        self.rollouts.remove_order("rollout/s")
        self.rollouts.apply_order(self.order(30, era=2))
        self.assertIsNone(self.rollouts.stage("s"))

    def test_new_node_matches_an_order_that_was_written_again(self) -> None:
        self.rollouts.apply_order(self.order(4, era=2))
        self.apply_stage(stage(rollout.Phase.CANARY), 8)
        self.assertEqual("1.7", self.rollouts.orders["s"].order_id)
        later = dataclasses.replace(
            stage(rollout.Phase.CANARY), order_id="2.4", since=99.0
        )
        self.apply_stage(later, 9)
        self.assertEqual("2.4", self.rollouts.orders["s"].order_id)

    def test_stage_that_a_restored_store_lost_holds_and_is_to_be_written(
        self,
    ) -> None:
        canary = stage(rollout.Phase.CANARY)
        reverted = dataclasses.replace(
            canary, phase=rollout.Phase.REVERTED, since=canary.since + 3
        )
        self.apply_stage(canary, 8)
        self.apply_stage(reverted, 12)
        self.rollouts.record_restoration(builders.version(10, era=2))
        self.rollouts.apply_stage(
            "s", canary.to_json(), builders.version(8, era=2)
        )
        self.assertEqual(reverted, self.rollouts.stage("s"))
        self.assertEqual({"s"}, self.rollouts.lost_stages)
        self.assertEqual(
            builders.version(8, era=2), self.rollouts.stage_versions["s"]
        )
        self.rollouts.apply_stage(
            "s", reverted.to_json(), builders.version(11, era=2)
        )
        self.assertEqual(set(), self.rollouts.lost_stages)

    def test_unreadable_stage_is_ignored(self) -> None:
        for text in ("", "[]", "{}", '{"phase": "x"}'):
            self.assertIsNone(
                self.rollouts.apply_stage("s", text, builders.version(9))
            )

    def test_nodes_choose_alike_and_keep_the_share_of_sessions(self) -> None:
        other = rollout.Rollouts(self.clock)
        split = rollout.Split(frozenset(("v1",)), frozenset(("v2",)), 0.1)
        candidates = 0
        for number in range(3000):
            versions = self.rollouts.choose_versions(split, f"c{number}", 5.0)
            self.assertEqual(
                versions, other.choose_versions(split, f"c{number}", 5.0)
            )
            candidates += versions == split.candidate
        self.assertAlmostEqual(0.1, candidates / 3000, delta=0.02)

    def test_session_keeps_its_version_while_it_lasts(self) -> None:
        split = rollout.Split(frozenset(("v1",)), frozenset(("v2",)), 0.999)
        self.rollouts.record_session("c", "v1", 5.0)
        self.clock.advance(4.9)
        self.assertEqual(
            split.base, self.rollouts.choose_versions(split, "c", 5.0)
        )
        self.clock.advance(0.2)
        self.assertEqual(
            split.candidate, self.rollouts.choose_versions(split, "c", 5.0)
        )


class Decisions(unittest.TestCase):
    """Next stages by the evidence."""

    def next_stage(
        self,
        current: rollout.Stage | None,
        now: float,
        failures: int = 0,
        successes: int = 0,
        old: int = 0,
        all_reported: bool = True,
        ready: bool = True,
        base: int = 200,
        rate: float = 10.0,
        order_age: float = 0.0,
    ) -> rollout.Stage | None:
        observed = rollout_policy.Evidence(
            evidence.Tally(failures=2, successes=base),
            evidence.Tally(failures=failures, successes=successes),
            old,
            all_reported,
            rate,
        )
        return rollout_policy.next_stage(
            current, ORDER, observed, BOUNDS, ready, order_age, now
        )

    def test_first_stage_waits_for_the_rates_of_all_nodes(self) -> None:
        self.assertIsNone(self.next_stage(None, 1.0, all_reported=False))
        for options in ({"all_reported": True}, {"order_age": 2.0}):
            first = self.next_stage(
                None, 1.0, **{"all_reported": False, **options}
            )
            self.assertIsNotNone(first, options)

    def test_starts_with_a_small_share_once_a_server_is_ready(self) -> None:
        self.assertIsNone(self.next_stage(None, 0.0, ready=False))
        first = self.next_stage(None, 0.0)
        assert first is not None
        self.assertIs(rollout.Phase.CANARY, first.phase)
        self.assertLess(first.share, BOUNDS.exposure_share)

    def test_busy_service_starts_with_a_smaller_share(self) -> None:
        shares = []
        for rate in (1.0, 10.0, 30.0, 200.0):
            first = self.next_stage(None, 0.0, rate=rate)
            assert first is not None
            shares.append(first.share)
        self.assertEqual(sorted(shares, reverse=True), shares)
        self.assertEqual(shares[0], shares[1])
        self.assertLess(shares[3], shares[2])
        # It is still large enough for the successes that are required.
        exposed = shares[3] * 200.0 * ORDER.period
        self.assertGreaterEqual(exposed, rollout_policy.SUFFICIENT_SUCCESSES)

    def test_sessions_keep_their_version_in_the_first_half(self) -> None:
        current = stage(rollout.Phase.CANARY)
        self.assertIsNone(
            self.next_stage(current, 12.0, successes=10, base=10)
        )

    def test_all_requests_only_when_exposure_stays_bounded(self) -> None:
        """Ten requests per second, which may rise to 18 until the end."""
        current = stage(rollout.Phase.CANARY)
        full = rollout.Phase.FULL
        for now, expected in ((13.0, None), (20.0, None), (21.5, full)):
            base = int(now * 10)
            following = self.next_stage(current, now, successes=10, base=base)
            phase = following.phase if following else None
            self.assertIs(expected, phase, now)

    def test_doubtful_version_is_reverted_near_the_exposure_bound(
        self,
    ) -> None:
        following = self.next_stage(stage(rollout.Phase.FULL), 15.0, 4, 30)
        assert following is not None
        self.assertIs(rollout.Phase.REVERTED, following.phase)

    def test_doubtful_version_does_not_get_all_requests(self) -> None:
        current = stage(rollout.Phase.CANARY)
        self.assertIsNone(self.next_stage(current, 22.0, 1, 5))
        # A version with few requests may get some more, in the same phase.
        following = self.next_stage(current, 15.0, 0, 3)
        assert following is not None
        self.assertIs(rollout.Phase.CANARY, following.phase)
        limit = rollout_policy.MAX_RAISED_FRACTION * BOUNDS.exposure_share
        self.assertLessEqual(following.share, limit)
        self.assertIsNone(self.next_stage(following, 15.5, 0, 3))

    def test_single_failure_is_no_doubt_where_the_old_one_fails_too(
        self,
    ) -> None:
        current = stage(rollout.Phase.CANARY, share=0.1)
        observed = rollout_policy.Evidence(
            evidence.Tally(failures=8, successes=312),
            evidence.Tally(failures=1, successes=7),
            0,
            True,
            13.0,
        )
        later = rollout_policy.next_stage(
            current, ORDER, observed, BOUNDS, True, 0.0, 22.0
        )
        assert later is not None
        self.assertIs(rollout.Phase.FULL, later.phase)

    def test_failures_revert_it_in_any_phase(self) -> None:
        for phase in (rollout.Phase.CANARY, rollout.Phase.FULL):
            following = self.next_stage(stage(phase), 3.0, 4, 6)
            assert following is not None
            self.assertIs(rollout.Phase.REVERTED, following.phase)

    def test_complete_only_when_the_old_version_is_idle(
        self,
    ) -> None:
        current = stage(rollout.Phase.FULL)
        self.assertIsNone(self.next_stage(current, 10.0, 0, 50, old=3))
        self.assertIsNone(
            self.next_stage(current, 10.0, 0, 50, all_reported=False)
        )
        self.assertIsNone(self.next_stage(current, 0.5, 0, 50))
        following = self.next_stage(current, 10.0, 0, 50)
        assert following is not None
        self.assertIs(rollout.Phase.COMPLETE, following.phase)
        late = self.next_stage(current, 23.0, 0, 50, old=3)
        assert late is not None
        self.assertIs(rollout.Phase.COMPLETE, late.phase)

    def test_ended_roll_outs_stay_ended(self) -> None:
        for phase in (rollout.Phase.COMPLETE, rollout.Phase.REVERTED):
            self.assertIsNone(self.next_stage(stage(phase), 5.0, 50, 0))

    def test_exposure_to_a_bad_version_stays_bounded(self) -> None:
        """Simulate 480 roll-outs with several failure and request rates."""
        for rate in (5, 10, 40):
            for fault_from, failing in (
                (0.0, 0.34),
                (3.0, 0.5),
                (13.0, 0.34),
                (99.0, 0.0),
            ):
                for seed in range(40):
                    rng = random.Random(seed)
                    result = self.simulate(rng, rate, fault_from, failing)
                    exposed, total, _ = result
                    allowed = BOUNDS.exposure_share * total
                    allowed += BOUNDS.exposure_extra
                    self.assertLessEqual(
                        exposed, allowed, (rate, fault_from, seed)
                    )

    def test_exposure_stays_bounded_if_traffic_rises_at_the_end(self) -> None:
        for rate in (10, 24, 40):
            for seed in range(40):
                exposed, total, _ = self.simulate(
                    random.Random(seed), rate, 99.0, 0.0, last_factor=1.75
                )
                allowed = BOUNDS.exposure_share * total
                allowed += BOUNDS.exposure_extra
                self.assertLessEqual(exposed, allowed, (rate, seed))

    def test_rising_traffic_reverts_no_good_version(self) -> None:
        """Guard against planning so little that nothing can be proved."""
        for rate in (5, 10, 14, 24, 40, 200):
            for seed in range(40):
                _, _, current = self.simulate(
                    random.Random(seed), rate, 99.0, 0.0, last_factor=1.75
                )
                assert current is not None
                self.assertIs(
                    rollout.Phase.COMPLETE, current.phase, (rate, seed)
                )

    def test_share_rises_if_few_requests_came(self) -> None:
        """Guard against evidence that comes too late for a decision.

        A good version once had 13 successes when all requests went to it two
        seconds before the end, and was reverted.
        """
        current = stage(rollout.Phase.CANARY, share=0.02)
        raised = self.next_stage(current, 15.0, 0, 6, rate=40.0)
        assert raised is not None
        self.assertIs(rollout.Phase.CANARY, raised.phase)
        self.assertGreater(raised.share, current.share)
        # What is on its way isn't asked for again.
        self.assertIsNone(self.next_stage(raised, 15.5, 0, 6, rate=40.0))
        expected = raised.share * 40.0 * 5.0 + 6
        self.assertLessEqual(expected, rollout_policy.CANARY_REQUESTS)

    def test_share_rises_only_of_versions_that_may_be_good(self) -> None:
        current = stage(rollout.Phase.CANARY, share=0.02)
        cases = (
            ("doubtful", current, 2, 4),
            ("halted", stage(rollout.Phase.CANARY, share=0.0), 0, 4),
            ("as planned", stage(rollout.Phase.CANARY, 0.04), 0, 15),
        )
        for name, before, failures, successes in cases:
            following = self.next_stage(
                before, 15.0, failures, successes, rate=40.0
            )
            self.assertIsNone(following, name)

    def test_bad_versions_are_not_reported_complete(self) -> None:
        """Simulate 480 roll-outs of versions that fail from their start.

        The old version is stopped once the roll-out is reported complete, so
        it can't be reverted any more.
        """
        for rate in (5, 10, 14, 40):
            for failing in (0.3, 0.5, 1.0):
                for seed in range(40):
                    _, _, current = self.simulate(
                        random.Random(seed), rate, 0.0, failing
                    )
                    assert current is not None
                    self.assertIsNot(
                        rollout.Phase.COMPLETE,
                        current.phase,
                        (rate, failing, seed),
                    )

    def test_canary_gets_fewer_than_fifty_requests(self) -> None:
        """Guard against a slow fault that is detected too late.

        A slow version once got a request 6.7 s after its 50th bad response.
        """
        for rate in (5, 10, 14, 29, 40, 200):
            for known_share in (1.0, 0.6):
                first = self.next_stage(None, 0.0, rate=rate * known_share)
                assert first is not None
                exposed = first.share * rate * ORDER.period
                self.assertLess(exposed, 50, (rate, known_share))

    def test_doubtful_version_is_reverted_at_the_end(self) -> None:
        current = stage(rollout.Phase.CANARY)
        self.assertIsNone(self.next_stage(current, 22.0, 3, 17))
        following = self.next_stage(current, 23.0, 3, 17)
        assert following is not None
        self.assertIs(rollout.Phase.REVERTED, following.phase)

    def test_two_failures_of_six_do_not_complete(self) -> None:
        """Guard against completing a version with too few successes.

        A version once had only three successes until the last second.
        """
        current = self.next_stage(stage(rollout.Phase.FULL), 23.0, 2, 4)
        assert current is not None
        self.assertIs(rollout.Phase.REVERTED, current.phase)

    def test_good_versions_complete_in_time(self) -> None:
        """Simulate 200 roll-outs of a version that never fails."""
        for rate in (5, 10, 14, 40, 200):
            for seed in range(40):
                _, _, current = self.simulate(
                    random.Random(seed), rate, 99.0, 0.0
                )
                assert current is not None
                self.assertIs(
                    rollout.Phase.COMPLETE, current.phase, (rate, seed)
                )

    def simulate(
        self,
        rng: random.Random,
        rate: int,
        fault_from: float,
        failing: float,
        last_factor: float = 1.0,
    ) -> tuple[int, int, rollout.Stage | None]:
        """Simulate a roll-out.

        The leader gets evidence ``EVIDENCE_LAG`` late: a node reports it
        within 0.6 s once the new version gets all requests, the leader checks
        every 0.5 s, and a response takes some tenths of a second.

        :param last_factor: factor on the rate in the last seconds.
        :returns: the requests at the new version, all requests, and the last
            stage.
        """
        current: rollout.Stage | None = None
        outcomes: list[tuple[float, bool]] = []
        exposed = total = 0
        base_times: list[float] = []
        for tick in range(int(ORDER.period * 10)):
            now = tick / 10
            share = current.share if current else 0.0
            is_last = now >= ORDER.period - LAST_SECONDS
            per_tick = rate * (last_factor if is_last else 1.0) / 10
            for _ in range(int(per_tick * (tick + 1)) - int(per_tick * tick)):
                total += 1
                if rng.random() < share:
                    exposed += 1
                    bad = now >= fault_from and rng.random() < failing
                    outcomes.append((now + EVIDENCE_LAG, bad))
                else:
                    base_times.append(now + EVIDENCE_LAG)
            if tick % 5:
                continue
            observed = [bad for at, bad in outcomes if at <= now]
            failures = sum(observed)
            following = self.next_stage(
                current,
                now,
                failures,
                len(observed) - failures,
                9,
                base=sum(at <= now for at in base_times),
                rate=rate,
            )
            current = following or current
        return exposed, total, current

    def test_good_version_is_rarely_reverted(self) -> None:
        """Simulate 200 roll-outs of a version that fails like the old one."""
        reverted = 0
        for seed in range(200):
            rng = random.Random(seed)
            current: rollout.Stage | None = stage(rollout.Phase.CANARY)
            failures = successes = 0
            for _ in range(150):
                if rng.random() < 0.01:
                    failures += 1
                else:
                    successes += 1
                current = (
                    self.next_stage(current, 5.0, failures, successes)
                    or current
                )
            assert current is not None
            reverted += current.phase is rollout.Phase.REVERTED
        self.assertLessEqual(reverted, 200 * rollout_policy.ALPHA)
