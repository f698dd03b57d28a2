"""Tests of the lead of a roll-out."""

import dataclasses

from limpetwalk.conf import rollout_edits
from limpetwalk.peers import messages
from limpetwalk_node.rollouts import rollout_halt
from limpetwalk_node.rollouts import rollout_rows

from . import rollouts


class HaltTest(rollouts.RolloutCase):
    async def observe_bad(self, names):
        for name in names:
            self.nodes[name].see(rollouts.BASE, 20)
            self.nodes[name].see(rollouts.CANDIDATE, 4, 1)

    async def test_evidence_of_several_nodes_halts(self):
        await self.step()
        await self.observe_bad([rollouts.RANKED[2]])
        await self.step()
        self.assertIs(await self.state(), rollouts.State.RUNNING)
        await self.observe_bad(
            [name for name in rollouts.NAMES if name != rollouts.RANKED[2]]
        )
        await self.step()
        self.assertIs(await self.state(), rollouts.State.HALTED)
        self.assertEqual(self.first.halts, 1)
        head = await self.store.read()
        self.assertEqual(head.author, f"rollout-lead/{rollouts.FIRST}")

    async def test_good_candidate_goes_on(self):
        await self.step()
        for _ in range(10):
            for node in self.nodes.values():
                node.see(rollouts.BASE, 20)
                node.see(rollouts.CANDIDATE, 5)
            await self.step()
        self.assertIs(await self.state(), rollouts.State.RUNNING)

    async def test_another_node_goes_on_from_the_row(self):
        await self.step()
        await self.observe_bad(rollouts.RANKED[2:4])
        await self.step()
        before = self.row().sums
        self.assertEqual(before["2"].requests, 10)
        # The senders learn that the row holds their windows.
        await self.step()
        self.live.remove(rollouts.FIRST)
        await self.step(12.0)
        self.assertIn(rollouts.SECOND, self.leading())
        self.nodes[rollouts.RANKED[2]].see(rollouts.CANDIDATE, 4, 1)
        await self.step()
        self.assertEqual(self.row().sums["2"].requests, 15)
        self.assertIs(await self.state(), rollouts.State.RUNNING)
        await self.observe_bad(rollouts.RANKED[2:6])
        await self.step()
        self.assertEqual(self.row().sums, {})
        self.assertIs(await self.state(), rollouts.State.HALTED)
        self.assertEqual(self.second.halts, 1)

    async def test_windows_not_in_the_row_reach_the_next_lead(self):
        await self.step()
        self.nodes[rollouts.RANKED[2]].see(rollouts.CANDIDATE, 7)
        await self.nodes[rollouts.RANKED[2]].recorder.round()
        self.live.remove(rollouts.FIRST)
        await self.step(12.0)
        await self.step()
        self.assertEqual(self.row().sums["2"].requests, 7)

    async def test_paused_lead_whose_lease_lapsed_does_not_halt(self):
        await self.step()
        await self.observe_bad(rollouts.NAMES)
        for name in rollouts.NAMES:
            await self.nodes[name].recorder.round()
        self.live.remove(rollouts.FIRST)
        await self.step(12.0)
        row = self.rows.get(rollout_rows.key_of(rollouts.NAME))
        generation = (await self.store.read()).generation
        # It wakes and still takes itself for the lead.
        self.first.lead._runs[
            rollouts.NAME
        ].renewed_at = self.clock.monotonic()
        await self.first.lead.tick()
        self.assertEqual(
            self.rows.get(rollout_rows.key_of(rollouts.NAME)), row
        )
        self.assertEqual(self.first.halts, 0)
        self.assertEqual((await self.store.read()).generation, generation)
        self.assertNotIn(rollouts.FIRST, self.leading())

    async def test_two_leads_halt_once(self):
        await self.step()
        stale = self.first.lead._runs[rollouts.NAME]
        self.live.remove(rollouts.FIRST)
        await self.step(12.0)
        await self.observe_bad(rollouts.NAMES)
        for message in self.windows():
            self.first.lead.take("x", message)
        stale.renewed_at = self.clock.monotonic() + 100
        self.live.append(rollouts.FIRST)
        self.nodes[rollouts.FIRST].hub.candidates = lambda: []
        await self.first.lead.tick()
        self.assertIs(await self.state(), rollouts.State.RUNNING)
        self.assertEqual(self.first.halts, 0)

    def windows(self):
        for version, good, bad in (("1", 200, 0), ("2", 40, 20)):
            yield messages.Evidence(
                rollouts.NAME, version, 1, good, bad, 0, 0.0, 0.0
            )

    async def test_lost_write_answer_counts_once(self):
        await self.step()
        self.nodes[rollouts.RANKED[2]].see(rollouts.CANDIDATE, 7)
        self.first.table.faults.lose_answers = 2
        await self.step()
        await self.step()
        await self.step()
        self.assertEqual(self.row().sums["2"].requests, 7)
        self.assertEqual(self.first.table.faults.lose_answers, 0)
        self.assertEqual(self.first.lead._runs[rollouts.NAME].lease.fencing, 1)

    async def test_store_down_and_back(self):
        await self.step()
        for node in self.nodes.values():
            node.table.faults.unavailable = True
        await self.observe_bad(rollouts.NAMES)
        await self.step()
        await self.step(30.0)
        self.assertIs(await self.state(), rollouts.State.RUNNING)
        for node in self.nodes.values():
            node.table.faults.unavailable = False
        await self.step()
        self.assertIs(await self.state(), rollouts.State.HALTED)

    async def test_operator_who_pauses_at_the_same_moment_wins(self):
        await self.step()
        await self.observe_bad(rollouts.NAMES)
        paused = []

        async def pause(operation):
            if operation == "transact" and not paused:
                paused.append(operation)
                await self.operate(rollouts.Action.PAUSE)

        self.first.table.faults.after = pause
        await self.step(2.0)
        self.assertTrue(paused)
        await self.follow()
        await self.step()
        self.assertIs(await self.state(), rollouts.State.PAUSED)
        self.assertEqual(self.first.halts, 0)

    async def test_operator_who_starts_anew_at_the_same_moment_wins(self):
        await self.step()
        await self.observe_bad(rollouts.NAMES)
        moved = []

        async def start_anew(operation):
            if operation == "transact" and not moved:
                moved.append(operation)
                await self.operate(rollouts.Action.HALT)
                await self.operate(rollouts.Action.START)

        self.first.table.faults.after = start_anew
        await self.step(2.0)
        self.assertTrue(moved)
        self.assertIs(await self.state(), rollouts.State.RUNNING)
        self.assertEqual(self.first.halts, 0)

    async def test_only_a_running_roll_out_is_halted(self):
        rollout = self.applied.snapshot.rollouts[rollouts.NAME]
        edit = rollout_halt.GuardHalt(rollout, "failures")
        running = await self.store.document(await self.store.read())
        self.assertNotEqual(edit.apply(running).ok_value, running)
        for action in (
            rollouts.Action.PAUSE,
            rollouts.Action.HALT,
            rollouts.Action.FINISH,
        ):
            move = rollout_edits.MoveRollout(rollouts.NAME, action)
            moved = move.apply(running).ok_value
            with self.subTest(action):
                self.assertEqual(edit.apply(moved).ok_value, moved)
        other = dataclasses.replace(rollout, candidate="3")
        edit = rollout_halt.GuardHalt(other, "failures")
        self.assertEqual(edit.apply(running).ok_value, running)

    async def test_evidence_before_an_operators_halt_is_dropped(self):
        await self.step()
        self.nodes[rollouts.RANKED[2]].see(rollouts.CANDIDATE, 9)
        await self.step()
        self.assertEqual(self.row().sums["2"].requests, 9)
        for action in (rollouts.Action.HALT, rollouts.Action.START):
            await self.operate(action)
            await self.follow()
            await self.step()
        self.nodes[rollouts.RANKED[2]].see(rollouts.CANDIDATE, 2)
        await self.step()
        self.assertEqual(self.row().sums["2"].requests, 2)

    async def test_halted_and_started_anew_is_judged_anew(self):
        await self.step()
        await self.observe_bad(rollouts.NAMES)
        await self.step()
        await self.step()
        await self.follow()
        await self.step()
        await self.operate(rollouts.Action.START)
        await self.follow()
        await self.step()
        await self.step()
        self.assertIs(await self.state(), rollouts.State.RUNNING)

    async def test_stop_releases_the_lease(self):
        await self.step()
        await self.first.lead.stop()
        self.live.remove(rollouts.FIRST)
        await self.step(1.0)
        self.assertEqual(self.leading(), [rollouts.SECOND])
