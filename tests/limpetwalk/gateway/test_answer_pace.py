"""Tests of the pace of answers as evidence of a version."""

import random
import unittest

from limpetwalk.gateway import answer_pace
from limpetwalk.gateway import rollout
from limpetwalk.gateway import rollout_policy
from limpetwalk.gateway import types
from limpetwalk.gateway import version_tallies
from limpetwalk.rollouts import evidence

ORDER = types.RolloutOrder("s", "v2", 15.0, "1.7")


class Paces(unittest.TestCase):
    """Time between the events of an answer."""

    def test_pace_is_the_mean_time_between_events(self) -> None:
        pace = answer_pace.AnswerPace()
        self.assertIsNone(pace.seconds_per_event())
        for at in (3.0, 3.1, 3.4):
            pace.record_event(at)
        self.assertAlmostEqual(0.2, pace.seconds_per_event() or 0.0)

    def test_pace_is_judged_by_those_of_the_same_model(self) -> None:
        paces = answer_pace.UsualPaces()
        self.assertIsNone(paces.is_slow("s", "m", 9.0))
        for number in range(10):
            paces.record("s", "m", 0.02 + number / 1000)
            paces.record("s", "large", 0.2)
        self.assertFalse(paces.is_slow("s", "m", 0.06))
        self.assertTrue(paces.is_slow("s", "m", 0.07))
        self.assertFalse(paces.is_slow("s", "large", 0.5))
        self.assertTrue(paces.is_slow("s", "new", 0.07))


class SlowVersion(unittest.TestCase):
    """A new version whose events come several times slower.

    Its times to the first event are hidden by those of prompts and queues.
    The times are those of a bench's day: events of an idle engine come every
    18 ms, of a busy one up to ten times slower.
    """

    NODES = 9
    RATE = 12.0

    def last_stage(self, seed: int, factor: float) -> rollout.Stage:
        """Play a roll-out up to its end, or until it gets all requests."""
        rng = random.Random(seed)
        tallies = [
            version_tallies.VersionTallies(lambda service: [])
            for _ in range(self.NODES)
        ]
        for _ in range(int(self.RATE * 6)):
            self.answer(rng, tallies, "v1", 1.0)
        current: rollout.Stage | None = None
        for tick in range(30):
            now = tick / 2
            share = current.share if current is not None else 0.0
            for _ in range(int(self.RATE / 2)):
                if rng.random() < share:
                    self.answer(rng, tallies, "v2", factor)
                else:
                    self.answer(rng, tallies, "v1", 1.0)
            following = rollout_policy.next_stage(
                current,
                ORDER,
                self.observed(tallies),
                types.Bounds(),
                True,
                0.0,
                now,
            )
            current = following or current
            if current is not None and current.phase in (
                rollout.Phase.FULL,
                rollout.Phase.REVERTED,
            ):
                return current
        assert current is not None
        return current

    def answer(
        self,
        rng: random.Random,
        tallies: list[version_tallies.VersionTallies],
        version: str,
        factor: float,
    ) -> None:
        node = rng.choice(tallies)
        node.record("s", version, True)
        load = rng.expovariate(1 / 0.02) if version == "v1" else 0.0
        node.record_pace(
            "s", version, "m", 0.018 * factor + load, version == "v2"
        )

    def observed(
        self, tallies: list[version_tallies.VersionTallies]
    ) -> rollout_policy.Evidence:
        total = version_tallies.EvidenceReport()
        for node in tallies:
            report = version_tallies.EvidenceReport.from_json(
                node.report_json("s", "v2", "")
            )
            total.base.add(report.base)
            total.candidate.add(report.candidate)
            total.base_paces.add(report.base_paces)
            total.candidate_paces.add(report.candidate_paces)
        return rollout_policy.Evidence(
            total.base,
            total.candidate,
            9,
            True,
            self.RATE,
            total.base_paces,
            total.candidate_paces,
        )

    def test_version_of_slow_answers_never_gets_all_requests(self) -> None:
        for seed in range(40):
            stage = self.last_stage(seed, 4.6)
            self.assertIs(rollout.Phase.REVERTED, stage.phase, seed)

    def test_version_of_usual_answers_gets_all_requests(self) -> None:
        for seed in range(40):
            stage = self.last_stage(seed, 1.0)
            self.assertIs(rollout.Phase.FULL, stage.phase, seed)

    def test_report_of_an_older_node_has_no_paces(self) -> None:
        report = version_tallies.EvidenceReport.from_dict(
            {
                "base": {"failures": 1, "successes": 2},
                "candidate": {},
                "old_in_flight": 3,
                "phase": "canary",
            }
        )
        self.assertEqual(3, report.old_in_flight)
        self.assertEqual(evidence.Tally(), report.candidate_paces)


if __name__ == "__main__":
    unittest.main()
