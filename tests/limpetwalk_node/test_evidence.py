"""Tests of the evidence of roll-outs."""

from limpetwalk.conf import snapshot
from limpetwalk_node.rollouts import evidence_recorder
from tests.limpetwalk.peers import fakes

from . import rollouts


class RecorderTest(rollouts.RolloutCase):
    async def test_window_whose_reply_is_lost_counts_once(self):
        await self.step()
        node = self.nodes[rollouts.RANKED[2]]
        node.hub.loses_replies = True
        node.see(rollouts.CANDIDATE, 7)
        await self.step()
        node.hub.loses_replies = False
        await self.step()
        self.assertEqual(self.row().sums["2"].requests, 7)
        self.assertGreater(self.first.count("evidence_duplicates"), 0)
        self.assertEqual(node.count("evidence_windows", outcome="stored"), 1)

    async def test_windows_without_a_lead_are_bounded(self):
        node = self.nodes[rollouts.RANKED[2]]
        for _ in range(evidence_recorder.MAX_WINDOWS + 3):
            node.see(rollouts.CANDIDATE, 1)
            await node.recorder.round()
        self.assertEqual(node.count("evidence_windows", outcome="lost"), 3)

    async def test_windows_of_a_paused_roll_out_are_dropped(self):
        node = self.nodes[rollouts.RANKED[2]]
        node.see(rollouts.CANDIDATE, 1)
        await node.recorder.round()
        await self.operate(rollouts.Action.PAUSE)
        await self.follow()
        await node.recorder.round()
        self.assertEqual(node.count("evidence_windows", outcome="ended"), 1)

    async def test_ratings_add_to_counted_answers(self):
        await self.step()
        node = self.nodes[rollouts.RANKED[2]]
        node.see(rollouts.CANDIDATE, 1)
        node.recorder.rated(rollouts.CANDIDATE, 0.5)
        node.recorder.finished(snapshot.ModelVersion("strong", "5"))
        await self.step()
        tally = self.row().sums["2"]
        self.assertEqual(
            (tally.requests, tally.rated, tally.mean), (1, 1, 0.5)
        )


class LinkTest(rollouts.RolloutCase):
    async def test_evidence_goes_over_the_links_of_real_hubs(self):
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
        await first.lead.tick()
        await second.lead.tick()
        self.assertEqual(second.lead._runs, {})
        second.see(rollouts.BASE, 100)
        second.see(rollouts.CANDIDATE, 20, 10)
        await second.recorder.round()
        await first.lead.tick()
        self.assertIs(await self.state(), rollouts.State.HALTED)
        self.assertEqual(first.halts, 1)
