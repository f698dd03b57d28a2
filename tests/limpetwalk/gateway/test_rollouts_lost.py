"""Tests of roll-outs that lose their store, their nodes and old servers."""

import dataclasses
import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import rollout
from limpetwalk.gateway import rollout_policy
from limpetwalk.gateway import types
from limpetwalk.rollouts import evidence

from . import builders

Phase = rollout.Phase
BaseState = rollout.BaseState
ORDER = types.RolloutOrder("s", "v2", 24.0, "1.7")
CANARY = rollout.Stage("1.7", "v2", Phase.CANARY, 0.1, 0.0, 0.0)


class OnlyTheOrderedVersion(unittest.TestCase):
    """Requests where no server of another version is left."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.rollouts = rollout.Rollouts(self.clock)
        self.rollouts.apply_order(ORDER)

    def allowed(self, *versions: str) -> set[str]:
        """Return the versions that a request without a session may get."""
        split = self.rollouts.allowed_split("s", versions, set())
        return set(split.base)

    def apply_stage(self, **changes: object) -> None:
        changed = dataclasses.replace(CANARY, **changes)
        self.rollouts.apply_stage("s", changed.to_json(), builders.version(9))

    def test_it_serves_once_the_others_are_gone_for_good(self) -> None:
        for has_stage in (False, True):
            with self.subTest(has_stage=has_stage):
                if has_stage:
                    self.apply_stage()
                self.assertEqual({"v1"}, self.allowed("v1", "v2"))
                self.assertEqual(set(), self.allowed("v2"))
                self.clock.advance(rollout.BASE_GONE_TIME)
                self.assertEqual({"v2"}, self.allowed("v2"))
                self.assertEqual({"v1"}, self.allowed("v1", "v2"))

    def test_servers_that_restart_are_waited_for(self) -> None:
        for _ in range(3):
            self.allowed("v2")
            self.clock.advance(0.9 * rollout.BASE_GONE_TIME)
            self.assertEqual(set(), self.allowed("v2"))
            self.allowed("v1", "v2")

    def test_version_that_fails_does_not_serve(self) -> None:
        for changes in ({"phase": Phase.REVERTED}, {"share": 0.0}):
            with self.subTest(changes=changes):
                self.rollouts = rollout.Rollouts(self.clock)
                self.apply_stage(**changes)
                self.allowed("v2")
                self.clock.advance(rollout.BASE_GONE_TIME)
                self.assertEqual(set(), self.allowed("v2"))


class WithoutServers(unittest.TestCase):
    """Decisions that can't be undone need a server of the version left."""

    def next_stage(
        self,
        stage: rollout.Stage,
        now: float,
        base_state: BaseState,
        failures: int = 0,
        ready: bool = True,
    ) -> rollout.Stage | None:
        observed = rollout_policy.Evidence(
            evidence.Tally(failures=0, successes=100),
            evidence.Tally(failures=failures, successes=20),
            0,
            True,
            10.0,
        )
        return rollout_policy.next_stage(
            stage, ORDER, observed, types.Bounds(), ready, 0.0, now, base_state
        )

    def test_version_is_not_reverted_to_one_without_a_server(self) -> None:
        for phase in (Phase.CANARY, Phase.FULL):
            stage = dataclasses.replace(CANARY, phase=phase)
            for state in (BaseState.ABSENT, BaseState.GONE):
                for now, failures in ((60.0, 0), (10.0, 60), (60.0, 60)):
                    with self.subTest(phase=phase, state=state, now=now):
                        following = self.next_stage(
                            stage, now, state, failures
                        )
                        if following is not None:
                            self.assertIsNot(Phase.REVERTED, following.phase)

    def test_version_that_fails_is_halted_and_reverted_later(self) -> None:
        halted = self.next_stage(CANARY, 10.0, BaseState.GONE, failures=60)
        assert halted is not None
        self.assertEqual(0.0, halted.share)
        reverted = self.next_stage(halted, 12.0, BaseState.READY, failures=60)
        assert reverted is not None
        self.assertIs(Phase.REVERTED, reverted.phase)

    def test_last_version_goes_on_to_complete(self) -> None:
        full = self.next_stage(CANARY, 60.0, BaseState.GONE)
        assert full is not None
        self.assertIs(Phase.FULL, full.phase)
        complete = self.next_stage(full, 62.0, BaseState.GONE)
        assert complete is not None
        self.assertIs(Phase.COMPLETE, complete.phase)

    def test_version_without_a_server_is_not_completed(self) -> None:
        stage = dataclasses.replace(CANARY, phase=Phase.FULL, share=1.0)
        for now in (15.0, 60.0):
            self.assertIsNone(
                self.next_stage(stage, now, BaseState.READY, ready=False)
            )


class _Platform:
    """Store, servers and one leading node of a service.

    The platform stops the old servers at ``complete`` and the new ones at
    ``reverted``. The store may lose its last rows, and the node what it knows.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.clock = clocks.ManualClock()
        self.versions = {"v1"}
        self.bad: set[str] = set()
        self.order: types.RolloutOrder | None = None
        self.stages: list[rollout.Stage] = []
        self.counter = 1
        self.started = 0.0
        self.start_node()

    def start_node(self) -> None:
        """Start the node, which knows only what the store has."""
        self.rollouts = rollout.Rollouts(self.clock)
        self.served: dict[str, evidence.Tally] = {}
        self.counter += 1
        if self.order is not None:
            self.rollouts.apply_order(self.order)
        self.apply_stage()

    def apply_stage(self) -> None:
        if self.stages:
            self.counter += 1
            self.rollouts.apply_stage(
                "s",
                self.stages[-1].to_json(),
                builders.version(self.counter),
            )

    def give_order(self) -> None:
        """Order a new version, once the former order has ended."""
        if self.order is not None:
            stage = self.rollouts.stage("s")
            if stage is None or stage.phase not in (
                Phase.COMPLETE,
                Phase.REVERTED,
            ):
                return
        self.counter += 1
        version = builders.version(self.counter)
        target = f"v{self.counter}"
        if self.rng.random() < 0.3:
            self.bad.add(target)
        self.order = types.RolloutOrder(
            "s", target, 24.0, str(version), version
        )
        self.versions.add(target)
        self.rollouts.apply_order(self.order)
        self.started = self.clock.monotonic()

    def serve(self) -> int:
        """Serve ten requests; return how many got a server."""
        split = self.rollouts.allowed_split("s", self.versions, {"v1"})
        count = 0
        for number in range(10):
            versions = self.rollouts.choose_versions(
                split, f"{self.clock.monotonic()}-{number}", 5.0
            )
            for version in sorted(versions)[:1]:
                tally = self.served.setdefault(version, evidence.Tally())
                tally.observe(
                    version not in self.bad or self.rng.random() < 0.5
                )
                count += 1
        return count

    def decide(self) -> rollout.Stage | None:
        """Take the leader's next decision; return a stage that it writes."""
        if self.order is None:
            return None
        order = self.rollouts.orders["s"]
        candidate = self.served.get(order.target, evidence.Tally())
        base = evidence.Tally()
        for version, tally in self.served.items():
            if version != order.target:
                base.add(tally)
        following = rollout_policy.next_stage(
            self.rollouts.stage("s"),
            order,
            rollout_policy.Evidence(base, candidate, 0, True, 10.0),
            types.Bounds(),
            order.target in self.versions,
            self.rollouts.order_age("s"),
            self.clock.monotonic(),
            self.rollouts.base_state("s", self.versions),
        )
        if following is not None:
            self.stages.append(following)
            self.apply_stage()
        return following

    def enact(self, stage: rollout.Stage) -> None:
        """Stop the servers of the version that a stage leaves."""
        if stage.phase is Phase.COMPLETE:
            self.versions &= {stage.target}
        elif stage.phase is Phase.REVERTED:
            self.versions.discard(stage.target)


class LostRollouts(unittest.TestCase):
    """Orders, losses of the store's last rows and starts of all nodes."""

    def test_some_version_with_a_server_is_always_allowed(self) -> None:
        for seed in range(150):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, rng: random.Random) -> None:
        platform = _Platform(rng)
        refused = 0
        for second in range(240):
            platform.clock.advance(1.0)
            node = platform.rollouts
            event = rng.random()
            if second % 20 == 5:
                platform.give_order()
            elif event < 0.03 and platform.stages:
                lost = rng.randrange(1, 3)
                del platform.stages[-lost:]
                platform.start_node()
            elif event < 0.05:
                platform.start_node()
            written = platform.decide()
            if written is not None:
                platform.enact(written)
            self.assertTrue(platform.versions, written)
            # A node waits for other versions from its own start on.
            if platform.rollouts is not node or platform.serve():
                refused = 0
            else:
                refused += 1
            stage = platform.rollouts.stage("s")
            halted = stage is not None and not stage.may_get_all
            if not halted or platform.versions - {stage.target}:
                self.assertLessEqual(refused, rollout.BASE_GONE_TIME + 1)
