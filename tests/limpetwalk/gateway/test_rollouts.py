"""Roll-outs: which version answers, and when one goes on or back."""

import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import rollout
from limpetwalk.gateway import rollout_policy
from limpetwalk.gateway import types
from limpetwalk.rollouts import evidence

ORDER = types.RolloutOrder("s", "v2", 24.0, 7)
BOUNDS = types.Bounds()
# Seconds from a request to the lead's sight of its outcome.
LAG = 1.5
BOTH = ("v1", "v2")


def stage(phase: rollout.Phase, share: float = 0.1) -> rollout.Stage:
    return rollout.Stage(7, "v2", phase, share, 0.0, 0.0)


class Versions(unittest.TestCase):
    """Which versions may get work."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.rollouts = rollout.Rollouts(self.clock)

    def take(self, held: rollout.Stage, version: int = 1) -> None:
        self.rollouts.apply_stage("s", held.to_json(), version)

    def allowed(self) -> rollout.Split:
        return self.rollouts.allowed_split("s", BOTH, {"v1"})

    def test_unknown_version_waits_for_an_order(self) -> None:
        self.assertEqual(frozenset(("v1",)), self.allowed().base)
        self.assertEqual(frozenset(), self.allowed().candidate)

    def test_ordered_version_waits_for_its_first_stage(self) -> None:
        self.rollouts.apply_order(ORDER)
        self.assertEqual(frozenset(), self.allowed().candidate)

    def test_reverted_version_gets_nothing_even_without_its_order(
        self,
    ) -> None:
        self.rollouts.apply_order(ORDER)
        self.take(stage(rollout.Phase.REVERTED))
        self.rollouts.remove_order("rollout/s")
        split = self.allowed()
        self.assertEqual(frozenset(("v1",)), split.base)
        self.assertEqual(frozenset(), split.candidate)

    def test_new_order_makes_the_old_stage_void(self) -> None:
        self.take(stage(rollout.Phase.FULL))
        self.rollouts.apply_order(types.RolloutOrder("s", "v3", 24.0, 9))
        self.assertIsNone(self.rollouts.stage("s"))

    def test_older_stage_is_ignored(self) -> None:
        self.take(stage(rollout.Phase.REVERTED), 5)
        self.take(stage(rollout.Phase.CANARY), 4)
        held = self.rollouts.stage("s")
        assert held is not None
        self.assertIs(rollout.Phase.REVERTED, held.phase)

    def test_unreadable_stage_is_ignored(self) -> None:
        for text in ("", "[]", "{}", '{"phase": "x"}'):
            self.assertIsNone(self.rollouts.apply_stage("s", text, 9))

    def test_share_of_new_sessions_is_kept_and_nodes_agree(self) -> None:
        other = rollout.Rollouts(self.clock)
        split = rollout.Split(frozenset(("v1",)), frozenset(("v2",)), 0.1)
        drawn = 0
        for number in range(3000):
            mine = self.rollouts.choose_versions(split, f"c{number}", 5.0)
            self.assertEqual(
                mine, other.choose_versions(split, f"c{number}", 5.0)
            )
            drawn += mine == split.candidate
        self.assertAlmostEqual(0.1, drawn / 3000, delta=0.02)

    def test_session_keeps_its_version_while_it_goes_on(self) -> None:
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
    """Stages that follow from evidence."""

    def decide(
        self,
        held: rollout.Stage | None,
        now: float,
        failures: int = 0,
        successes: int = 0,
        old: int = 0,
        heard: bool = True,
        ready: bool = True,
        base: int = 200,
        rate: float = 10.0,
    ) -> rollout.Stage | None:
        found = rollout_policy.Evidence(
            evidence.Tally(failures=2, successes=base),
            evidence.Tally(failures=failures, successes=successes),
            old,
            heard,
            rate,
        )
        return rollout_policy.next_stage(
            held, ORDER, found, BOUNDS, ready, 0.0, now
        )

    def test_starts_small_once_a_server_is_there(self) -> None:
        self.assertIsNone(self.decide(None, 0.0, ready=False))
        first = self.decide(None, 0.0)
        assert first is not None
        self.assertIs(rollout.Phase.CANARY, first.phase)
        self.assertLess(first.share, BOUNDS.exposure_share)

    def test_busy_service_tries_a_smaller_share(self) -> None:
        shares = []
        for rate in (1.0, 10.0, 30.0, 200.0):
            first = self.decide(None, 0.0, rate=rate)
            assert first is not None
            shares.append(first.share)
        self.assertEqual(sorted(shares, reverse=True), shares)
        self.assertEqual(shares[0], shares[1])
        self.assertLess(shares[3], shares[2])
        # It still shows as many answers as the proof wants.
        tried = shares[3] * 200.0 * ORDER.period
        self.assertGreaterEqual(tried, rollout_policy.SUFFICIENT_SUCCESSES)

    def test_sessions_stay_through_the_first_half(self) -> None:
        held = stage(rollout.Phase.CANARY)
        self.assertIsNone(self.decide(held, 12.0, successes=10, base=10))

    def test_all_work_only_when_it_fits_to_the_end(self) -> None:
        """Ten requests a second, of which 104 in all may be exposed."""
        held = stage(rollout.Phase.CANARY)
        for now, expected in ((13.0, None), (20.0, rollout.Phase.FULL)):
            base = int(now * 10)
            following = self.decide(held, now, successes=10, base=base)
            phase = following.phase if following else None
            self.assertIs(expected, phase, now)

    def test_doubt_is_enough_where_exposure_nears_its_bound(self) -> None:
        following = self.decide(stage(rollout.Phase.FULL), 15.0, 4, 30)
        assert following is not None
        self.assertIs(rollout.Phase.REVERTED, following.phase)

    def test_doubtful_version_does_not_get_all_work(self) -> None:
        held = stage(rollout.Phase.CANARY)
        self.assertIsNone(self.decide(held, 22.0, 1, 5))
        self.assertIsNone(self.decide(held, 15.0, 0, 3))

    def test_failures_take_it_back_at_any_phase(self) -> None:
        for phase in (rollout.Phase.CANARY, rollout.Phase.FULL):
            following = self.decide(stage(phase), 3.0, 4, 6)
            assert following is not None
            self.assertIs(rollout.Phase.REVERTED, following.phase)

    def test_complete_only_when_nothing_runs_on_the_old_version(
        self,
    ) -> None:
        held = stage(rollout.Phase.FULL)
        self.assertIsNone(self.decide(held, 10.0, 0, 50, old=3))
        self.assertIsNone(self.decide(held, 10.0, 0, 50, heard=False))
        self.assertIsNone(self.decide(held, 0.5, 0, 50))
        following = self.decide(held, 10.0, 0, 50)
        assert following is not None
        self.assertIs(rollout.Phase.COMPLETE, following.phase)
        late = self.decide(held, 23.0, 0, 50, old=3)
        assert late is not None
        self.assertIs(rollout.Phase.COMPLETE, late.phase)

    def test_ended_roll_outs_stay_ended(self) -> None:
        for phase in (rollout.Phase.COMPLETE, rollout.Phase.REVERTED):
            self.assertIsNone(self.decide(stage(phase), 5.0, 50, 0))

    def test_exposure_to_a_bad_version_stays_bounded(self) -> None:
        """Plays 200 roll-outs of a version that fails at several rates."""
        for rate in (5, 10, 40):
            for fault_from, failing in (
                (0.0, 0.34),
                (3.0, 0.5),
                (13.0, 0.34),
                (99.0, 0.0),
            ):
                for seed in range(40):
                    rng = random.Random(seed)
                    played = self.play(rng, rate, fault_from, failing)
                    exposed, total, _ = played
                    allowed = BOUNDS.exposure_share * total
                    allowed += BOUNDS.exposure_extra
                    self.assertLessEqual(
                        exposed, allowed, (rate, fault_from, seed)
                    )

    def test_bad_versions_are_not_reported_complete(self) -> None:
        """Plays 480 roll-outs of versions that fail from their start.

        The old version stops at the report, so there is no way back.
        """
        for rate in (5, 10, 14, 40):
            for failing in (0.3, 0.5, 1.0):
                for seed in range(40):
                    _, _, held = self.play(
                        random.Random(seed), rate, 0.0, failing
                    )
                    assert held is not None
                    self.assertIsNot(
                        rollout.Phase.COMPLETE,
                        held.phase,
                        (rate, failing, seed),
                    )

    def test_few_try_a_version_whose_fault_is_hard_to_tell(self) -> None:
        """A slow version got a request 6.7 s after its 50th bad answer."""
        for rate in (5, 10, 14, 29, 40, 200):
            for told in (1.0, 0.6):
                first = self.decide(None, 0.0, rate=rate * told)
                assert first is not None
                tried = first.share * rate * ORDER.period
                self.assertLess(tried, 50, (rate, told))

    def test_doubtful_version_is_taken_back_at_the_end(self) -> None:
        held = stage(rollout.Phase.CANARY)
        self.assertIsNone(self.decide(held, 22.0, 3, 17))
        following = self.decide(held, 23.0, 3, 17)
        assert following is not None
        self.assertIs(rollout.Phase.REVERTED, following.phase)

    def test_two_failures_of_six_do_not_complete(self) -> None:
        """The day that showed it: three good answers until the last second."""
        held = self.decide(stage(rollout.Phase.FULL), 23.0, 2, 4)
        assert held is not None
        self.assertIs(rollout.Phase.REVERTED, held.phase)

    def test_good_versions_get_all_work_in_time(self) -> None:
        """Plays 200 roll-outs of a version that never fails."""
        for rate in (5, 10, 14, 40, 200):
            for seed in range(40):
                _, _, held = self.play(random.Random(seed), rate, 99.0, 0.0)
                assert held is not None
                self.assertIs(rollout.Phase.COMPLETE, held.phase, (rate, seed))

    def play(
        self, rng: random.Random, rate: int, fault_from: float, failing: float
    ) -> tuple[int, int, rollout.Stage | None]:
        """Return requests at the new version, all of them, and the stage.

        The lead sees evidence ``LAG`` late: a node tells it after 0.6 s at
        most once the new version gets more work, the lead looks each 0.5 s,
        and an answer takes some tenths of a second.
        """
        held: rollout.Stage | None = None
        told: list[tuple[float, bool]] = []
        exposed = total = 0
        base: list[float] = []
        for tick in range(int(ORDER.period * 10)):
            now = tick / 10
            share = held.share if held else 0.0
            for _ in range(
                int(rate * (tick + 1) / 10) - int(rate * tick / 10)
            ):
                total += 1
                if rng.random() < share:
                    exposed += 1
                    bad = now >= fault_from and rng.random() < failing
                    told.append((now + LAG, bad))
                else:
                    base.append(now + LAG)
            if tick % 5:
                continue
            seen = [bad for at, bad in told if at <= now]
            failures = sum(seen)
            following = self.decide(
                held,
                now,
                failures,
                len(seen) - failures,
                9,
                base=sum(at <= now for at in base),
                rate=rate,
            )
            held = following or held
        return exposed, total, held

    def test_good_version_is_hardly_ever_taken_back(self) -> None:
        """Plays 200 roll-outs of a version that fails as the old one does."""
        reverted = 0
        for seed in range(200):
            rng = random.Random(seed)
            held: rollout.Stage | None = stage(rollout.Phase.CANARY)
            failures = successes = 0
            for _ in range(150):
                if rng.random() < 0.01:
                    failures += 1
                else:
                    successes += 1
                held = self.decide(held, 5.0, failures, successes) or held
            assert held is not None
            reverted += held.phase is rollout.Phase.REVERTED
        self.assertLessEqual(reverted, 200 * rollout_policy.ALPHA)
