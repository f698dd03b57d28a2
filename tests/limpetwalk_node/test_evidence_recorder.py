"""Tests of the recorder of roll-out evidence."""

from limpetwalk.conf import snapshot
from limpetwalk_node.rollouts import evidence_recorder
from tests.limpetwalk.peers import fakes

from . import rollouts


class RecorderTest(rollouts.RolloutCase):
    async def test_window_whose_reply_is_lost_counts_once(self):
        await self.run_step()
        node = self.nodes[rollouts.NODES_BY_RANK[2]]
        node.hub.loses_replies = True
        node.observe(rollouts.CANDIDATE, 7)
        await self.run_step()
        node.hub.loses_replies = False
        await self.run_step()
        self.assertEqual(self.stored_pool().sums["2"].requests, 7)
        self.assertGreater(self.first.count("evidence_duplicates"), 0)
        self.assertEqual(node.count("evidence_windows", outcome="stored"), 1)

    async def test_windows_without_a_leader_are_bounded(self):
        node = self.nodes[rollouts.NODES_BY_RANK[2]]
        for _ in range(evidence_recorder.MAX_WINDOWS + 3):
            node.observe(rollouts.CANDIDATE, 1)
            await node.recorder.flush()
        self.assertEqual(node.count("evidence_windows", outcome="lost"), 3)

    async def test_windows_of_a_paused_roll_out_are_dropped(self):
        node = self.nodes[rollouts.NODES_BY_RANK[2]]
        node.observe(rollouts.CANDIDATE, 1)
        await node.recorder.flush()
        await self.operate(rollouts.Action.PAUSE)
        await self.follow()
        await node.recorder.flush()
        self.assertEqual(node.count("evidence_windows", outcome="ended"), 1)

    async def test_ratings_add_to_counted_answers(self):
        await self.run_step()
        node = self.nodes[rollouts.NODES_BY_RANK[2]]
        node.observe(rollouts.CANDIDATE, 1)
        node.recorder.rated(rollouts.CANDIDATE, 0.5)
        node.recorder.finished(snapshot.ModelVersion("strong", "5"))
        await self.run_step()
        tally = self.stored_pool().sums["2"]
        self.assertEqual(
            (tally.requests, tally.rated, tally.mean), (1, 1, 0.5)
        )


class LinkTest(rollouts.RolloutCase):
    async def test_evidence_is_sent_between_real_hubs(self):
        instances = fakes.FakeInstances()
        hubs = {
            name: fakes.make_hub(name, instances)
            for name in (rollouts.FIRST, rollouts.SECOND)
        }
        for hub in hubs.values():
            await hub.start()
            self.addAsyncCleanup(hub.stop)
            instances.add(hub)
        await fakes.until(lambda: all(hub.live() for hub in hubs.values()))
        first, second = (
            rollouts.Node(name, self, hubs[name]) for name in hubs
        )
        await first.leader.run_round()
        await second.leader.run_round()
        self.assertEqual(second.leader._leaderships, {})
        second.observe(rollouts.BASE, 100)
        second.observe(rollouts.CANDIDATE, 20, 10)
        await second.recorder.flush()
        await first.leader.run_round()
        self.assertIs(await self.state(), rollouts.State.HALTED)
        self.assertEqual(first.halts, 1)
