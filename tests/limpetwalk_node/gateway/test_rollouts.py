"""Tests of the leader of roll-outs, over nodes that share a store."""

import asyncio
import time
import unittest
from unittest import mock

from aiohttp import web

from limpetwalk import clock as clocks
from limpetwalk.gateway import pooled_evidence
from limpetwalk.gateway import rollout
from limpetwalk.gateway import rollout_policy
from limpetwalk.gateway import types
from limpetwalk.gateway import version_tallies
from limpetwalk.peers import rendezvous
from limpetwalk_bench.hub import site
from limpetwalk_node.gateway import cluster_state
from limpetwalk_node.gateway import node
from limpetwalk_node.gateway import rollouts

from . import harness

ORDER = {"backend": site.ENGINE, "to": "v2", "period_s": 2}


class RolloutCase(unittest.IsolatedAsyncioTestCase):
    """A gateway with an engine of each version."""

    async def asyncSetUp(self) -> None:
        for module, name, value in (
            (rollouts, "CHECK_INTERVAL", 0.05),
            (rollouts, "REPORT_INTERVAL", 0.05),
            (rollouts, "REPORT_INTERVAL_FULL", 0.05),
            (rollouts, "LEASE_TTL", 0.3),
            (rollout_policy, "MIN_FULL_TIME", 0.1),
        ):
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.run_ = harness.RunningGateway()
        await self.run_.start({"e-1": site.ENGINE, "p-1": site.PLAIN})
        self.addAsyncCleanup(self.run_.stop)
        self.cluster_state = self.run_.gateway.cluster_state
        self.store = self.run_.site.store

    async def order(self) -> None:
        await self.run_.site.add_server("e-2", site.ENGINE, version="v2")
        await self.store.put("op", f"rollout/{site.ENGINE}", ORDER)

    def phase(self) -> rollout.Phase | None:
        stage = self.cluster_state.rollouts.stage(site.ENGINE)
        return stage.phase if stage else None

    def status(self) -> object:
        row = self.store.value("status", f"rollout/{site.ENGINE}")
        return row["state"] if row else None

    async def record_answers(
        self, version: str, good: bool, count: int
    ) -> None:
        for _ in range(count):
            self.run_.gateway.dispatcher.version_tallies.record(
                site.ENGINE, version, good
            )
        for member in self.run_.gateway.cluster_state.fleet:
            if member.entry.version == version:
                member.heard_at = time.monotonic()


class Leader(RolloutCase):
    """One node leads."""

    async def test_good_version_gets_all_requests_and_completes(self) -> None:
        await self.order()
        await self.run_.until(lambda: self.status() == "in_progress")
        await self.record_answers("v2", True, 20)
        await self.run_.until(lambda: self.status() == "complete")
        # The feed delivers the node's own stage a little later.
        await self.run_.until(lambda: self.phase() is rollout.Phase.COMPLETE)

    async def test_bad_version_is_reverted_and_gets_no_requests(self) -> None:
        await self.order()
        await self.run_.until(lambda: self.phase() is rollout.Phase.CANARY)
        await self.record_answers("v1", True, 50)
        await self.record_answers("v2", False, 5)
        await self.run_.until(lambda: self.status() == "reverted")
        await self.run_.until(lambda: self.phase() is rollout.Phase.REVERTED)
        for _ in range(20):
            async with self.run_.stream() as resp:
                await resp.read()
        self.assertEqual([], self.run_.site.servers["e-2"].received)

    async def test_slow_version_is_reverted(self) -> None:
        """The new version takes much longer to begin its answers."""
        tallies = self.run_.gateway.dispatcher.version_tallies
        self.run_.site.servers["e-1"].events = 1
        for _ in range(30):
            async with self.run_.stream() as resp:
                await resp.read()
        await self.order()
        await self.run_.until(lambda: self.phase() is rollout.Phase.CANARY)

        async def slow(req: web.Request) -> None:
            await asyncio.sleep(0.25)

        self.run_.site.servers["e-2"].behaviour = slow
        with mock.patch.object(
            self.cluster_state.rollouts, "choose_versions"
        ) as choose:
            choose.return_value = frozenset(("v2",))
            for _ in range(6):
                async with self.run_.stream() as resp:
                    await resp.read()
        report = tallies.report_json(site.ENGINE, "v2", "")
        self.assertIn('"candidate": {"failures": 6', report)
        await self.run_.until(lambda: self.status() == "reverted")

    async def test_canary_is_planned_by_the_rates_of_all_nodes(self) -> None:
        """The leader may get several times its part of the requests."""
        self.cluster_state.nodes = frozenset(("node-1", "n2", "n3"))
        leader = rollouts.RolloutLeader(
            self.run_.gateway.platform,
            self.cluster_state,
            clocks.SystemClock(),
            self.run_.gateway.journal,
            lambda service: 60.0,
        )
        rows = {}
        for name, rate in (("node-1", 20.0), ("n2", 1.0), ("n3", 3.0)):
            pool = pooled_evidence.Pool()
            pool.add(name, version_tallies.EvidenceReport(rate=rate))
            rows[f"tally/s/1.7/{name}"] = (pool.to_row(), 1)
        order = types.RolloutOrder("s", "v2", 24.0, "1.7")
        for row_count, expected in ((3, 24.0), (0, 60.0)):
            known = dict(list(rows.items())[:row_count])
            observed = leader._collect_evidence(order, None, known)
            self.assertEqual(expected, observed.rate)
            self.assertIs(row_count == 3, observed.all_reported)

    async def test_leader_continues_after_an_error(self) -> None:
        next_stage = rollout_policy.next_stage
        with mock.patch.object(rollout_policy, "next_stage") as broken:
            broken.side_effect = ZeroDivisionError
            await self.order()
            await self.run_.until(
                lambda: self.run_.lines.events("error.unexpected")
            )
            broken.side_effect = next_stage
            await self.run_.until(lambda: self.status() == "in_progress")

    async def test_odd_lease_is_taken_over(self) -> None:
        nested = b"[" * 1100 + b"]" * 1100
        for lease in (
            nested,
            b"[]",
            b'{"holder": "n2", "until": 1e300}',
            b'{"holder": "n2", "until": ' + b"9" * 400 + b"}",
            b'{"holder": "n2", "until": "later"}',
            b'{"holder": "n2", "until": null}',
        ):
            leader = rollouts.RolloutLeader(
                self.run_.gateway.platform,
                self.cluster_state,
                clocks.SystemClock(),
                self.run_.gateway.journal,
                lambda service: 60.0,
            )
            await self.store.put("limpetwalk-work", rollouts.LEASE_KEY, lease)
            with self.subTest(lease=lease[:50]):
                await leader._check()
                row = self.store.value("limpetwalk-work", rollouts.LEASE_KEY)
                self.assertEqual("node-1", row["holder"])

    async def test_odd_evidence_does_not_stop_the_leader(self) -> None:
        await self.order()
        await self.run_.until(lambda: self.status() == "in_progress")
        # The feed delivers the node's own stage a little later.
        stages = self.cluster_state.rollouts.stages
        await self.run_.until(lambda: site.ENGINE in stages)
        stage = stages[site.ENGINE]
        key = f"tally/{site.ENGINE}/{stage.order_id}/n2"
        row = {"nodes": {"n2": {"base": {"failures": "x"}, "candidate": {}}}}
        await self.store.put("limpetwalk-work", key, row)
        await self.store.put("limpetwalk-work", key + "b", b"[" * 1100)
        await self.record_answers("v2", True, 20)
        await self.run_.until(lambda: self.status() == "complete")

    async def test_version_without_servers_does_not_start(self) -> None:
        await self.store.put("op", f"rollout/{site.ENGINE}", ORDER)
        await asyncio.sleep(0.4)
        self.assertIsNone(self.status())


class SlowFeed(RolloutCase):
    """The feed of the shared rows delivers nothing for a while."""

    async def asyncSetUp(self) -> None:
        patch = mock.patch.object(
            cluster_state.ClusterState,
            "apply_shared",
            lambda self, batch: None,
        )
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()

    async def test_leader_continues_from_its_own_stage(self) -> None:
        await self.order()
        await self.run_.until(lambda: self.phase() is rollout.Phase.CANARY)
        await self.record_answers("v1", True, 50)
        await self.record_answers("v2", False, 9)
        await self.run_.until(lambda: self.phase() is rollout.Phase.REVERTED)


class LowRank(RolloutCase):
    """A leader that ranks below other nodes."""

    async def asyncSetUp(self) -> None:
        for subject, name in (
            (cluster_state.ClusterState, "apply_shared"),
            (node.Gateway, "_start_rollout_tasks"),
        ):
            patch = mock.patch.object(subject, name, lambda self, *_: None)
            patch.start()
            self.addCleanup(patch.stop)
        await super().asyncSetUp()

    async def test_leader_checks_as_often_at_any_rank(self) -> None:
        """A leader of low rank lost its lease between two checks."""
        higher_ranked = rendezvous.rank(
            rollouts.LEASE_KEY, [f"n{n}" for n in range(40)]
        )[:2]
        self.cluster_state.nodes = frozenset((*higher_ranked, "node-1"))
        leader = rollouts.RolloutLeader(
            self.run_.gateway.platform,
            self.cluster_state,
            clocks.SystemClock(),
            self.run_.gateway.journal,
            self.run_.gateway.dispatcher.rate,
        )
        self.assertGreater(leader.pause(), rollouts.CHECK_INTERVAL)
        await self.order()
        task = asyncio.create_task(leader.run())
        await self.run_.until(
            lambda: leader.pause() == rollouts.CHECK_INTERVAL
        )
        task.cancel()


class TakeOver(RolloutCase):
    """Another node holds the lease, or held it."""

    async def test_lapsed_lease_is_taken_over(self) -> None:
        lapsed = {"holder": "gone", "until": 0.0}
        await self.store.put("limpetwalk-work", rollouts.LEASE_KEY, lapsed)
        await self.order()
        await self.run_.until(lambda: self.status() == "in_progress")

    async def test_lease_in_force_is_respected(self) -> None:
        lease = {"holder": "other", "until": time.monotonic() + 10}
        await self.store.put("limpetwalk-work", rollouts.LEASE_KEY, lease)
        await self.order()
        await asyncio.sleep(0.5)
        self.assertIsNone(self.status())

    async def test_next_leader_does_not_report_an_ended_roll_out_again(
        self,
    ) -> None:
        """Each following leader used to write the last report once more."""
        await self.order()
        await self.run_.until(lambda: self.phase() is rollout.Phase.CANARY)
        await self.record_answers("v1", True, 50)
        await self.record_answers("v2", False, 5)
        await self.run_.until(lambda: self.phase() is rollout.Phase.REVERTED)
        next_leader = rollouts.RolloutLeader(
            self.run_.gateway.platform,
            self.cluster_state,
            clocks.SystemClock(),
            self.run_.gateway.journal,
            self.run_.gateway.dispatcher.rate,
        )
        before = self.store.ver
        task = asyncio.create_task(next_leader.run())
        await asyncio.sleep(0.6)
        task.cancel()
        self.assertEqual(before, self.store.ver)

    async def test_paused_leader_cannot_write_its_stage(
        self,
    ) -> None:
        await self.order()
        await self.run_.until(lambda: self.phase() is rollout.Phase.CANARY)
        lease = {"holder": "other", "until": time.monotonic() + 10}
        await self.store.put("limpetwalk-work", rollouts.LEASE_KEY, lease)
        await self.record_answers("v2", False, 9)
        await asyncio.sleep(0.5)
        self.assertIs(rollout.Phase.CANARY, self.phase())


class RestoredStore(RolloutCase):
    """The store loses stages that were published."""

    async def lose_since(self, version: int) -> None:
        """Restore the store, with what the operator wrote written again."""
        self.store.faults.status = 503
        await self.run_.until(
            lambda: self.run_.lines.events("dependency.lost")
        )
        await self.store.restore(version)
        await self.store.put("op", f"rollout/{site.ENGINE}", ORDER)
        self.store.faults.status = 0

    async def test_reverted_version_stays_reverted_and_is_reported_again(
        self,
    ) -> None:
        await self.order()
        ordered = self.store.ver
        await self.run_.until(lambda: self.phase() is rollout.Phase.CANARY)
        await self.record_answers("v1", True, 50)
        await self.record_answers("v2", False, 5)
        await self.run_.until(lambda: self.phase() is rollout.Phase.REVERTED)
        await self.lose_since(ordered)
        self.assertIsNone(self.status())
        await self.run_.until(lambda: self.status() == "reverted")
        await asyncio.sleep(0.5)
        phases = [
            line["phase"] for line in self.run_.lines.events("rollout.changed")
        ]
        self.assertEqual(["canary", "reverted"], phases)

    async def test_roll_out_continues_after_a_lost_stage(self) -> None:
        await self.order()
        ordered = self.store.ver
        await self.run_.until(lambda: self.phase() is rollout.Phase.CANARY)
        await self.lose_since(ordered)
        await self.run_.until(lambda: self.status() == "in_progress")
        await self.record_answers("v2", True, 20)
        await self.run_.until(lambda: self.status() == "complete")
