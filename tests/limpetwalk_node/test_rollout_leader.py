"""Tests of the leader of a roll-out."""

import dataclasses

from limpetwalk.conf import rollout_edits
from limpetwalk.peers import messages
from limpetwalk_node.rollouts import rollout_halt
from limpetwalk_node.rollouts import rollout_rows

from . import rollouts


class HaltTest(rollouts.RolloutCase):
    async def observe_failing_candidate(self, names):
        for name in names:
            self.nodes[name].observe(rollouts.BASE, 20)
            self.nodes[name].observe(rollouts.CANDIDATE, 4, 1)

    async def test_evidence_of_several_nodes_halts(self):
        await self.run_step()
        await self.observe_failing_candidate([rollouts.NODES_BY_RANK[2]])
        await self.run_step()
        self.assertIs(await self.state(), rollouts.State.RUNNING)
        await self.observe_failing_candidate(
            [
                name
                for name in rollouts.NAMES
                if name != rollouts.NODES_BY_RANK[2]
            ]
        )
        await self.run_step()
        self.assertIs(await self.state(), rollouts.State.HALTED)
        self.assertEqual(self.first.halts, 1)
        head = await self.store.read()
        self.assertEqual(head.author, f"rollout-lead/{rollouts.FIRST}")

    async def test_good_candidate_is_not_halted(self):
        await self.run_step()
        for _ in range(10):
            for node in self.nodes.values():
                node.observe(rollouts.BASE, 20)
                node.observe(rollouts.CANDIDATE, 5)
            await self.run_step()
        self.assertIs(await self.state(), rollouts.State.RUNNING)

    async def test_another_node_continues_from_the_row(self):
        await self.run_step()
        await self.observe_failing_candidate(rollouts.NODES_BY_RANK[2:4])
        await self.run_step()
        sums = self.stored_pool().sums
        self.assertEqual(sums["2"].requests, 10)
        # The senders learn that their windows are in the stored row.
        await self.run_step()
        self.live.remove(rollouts.FIRST)
        await self.run_step(12.0)
        self.assertIn(rollouts.SECOND, self.leaders())
        self.nodes[rollouts.NODES_BY_RANK[2]].observe(rollouts.CANDIDATE, 4, 1)
        await self.run_step()
        self.assertEqual(self.stored_pool().sums["2"].requests, 15)
        self.assertIs(await self.state(), rollouts.State.RUNNING)
        await self.observe_failing_candidate(rollouts.NODES_BY_RANK[2:6])
        await self.run_step()
        self.assertEqual(self.stored_pool().sums, {})
        self.assertIs(await self.state(), rollouts.State.HALTED)
        self.assertEqual(self.second.halts, 1)

    async def test_windows_not_in_the_row_reach_the_next_leader(self):
        await self.run_step()
        self.nodes[rollouts.NODES_BY_RANK[2]].observe(rollouts.CANDIDATE, 7)
        await self.nodes[rollouts.NODES_BY_RANK[2]].recorder.flush()
        self.live.remove(rollouts.FIRST)
        await self.run_step(12.0)
        await self.run_step()
        self.assertEqual(self.stored_pool().sums["2"].requests, 7)

    async def test_paused_leader_whose_lease_expired_does_not_halt(self):
        await self.run_step()
        await self.observe_failing_candidate(rollouts.NAMES)
        for name in rollouts.NAMES:
            await self.nodes[name].recorder.flush()
        self.live.remove(rollouts.FIRST)
        await self.run_step(12.0)
        row = self.rows.get(rollout_rows.row_key(rollouts.NAME))
        generation = (await self.store.read()).generation
        # The paused node resumes and still considers itself the leader.
        self.first.leader._leaderships[
            rollouts.NAME
        ].renewed_at = self.clock.monotonic()
        await self.first.leader.run_round()
        self.assertEqual(
            self.rows.get(rollout_rows.row_key(rollouts.NAME)), row
        )
        self.assertEqual(self.first.halts, 0)
        self.assertEqual((await self.store.read()).generation, generation)
        self.assertNotIn(rollouts.FIRST, self.leaders())

    async def test_two_leaders_halt_once(self):
        await self.run_step()
        stale = self.first.leader._leaderships[rollouts.NAME]
        self.live.remove(rollouts.FIRST)
        await self.run_step(12.0)
        await self.observe_failing_candidate(rollouts.NAMES)
        for message in self.windows():
            self.first.leader.add_window("x", message)
        stale.renewed_at = self.clock.monotonic() + 100
        self.live.append(rollouts.FIRST)
        self.nodes[rollouts.FIRST].hub.candidates = lambda: []
        await self.first.leader.run_round()
        self.assertIs(await self.state(), rollouts.State.RUNNING)
        self.assertEqual(self.first.halts, 0)

    def windows(self):
        for version, good, bad in (("1", 200, 0), ("2", 40, 20)):
            yield messages.Evidence(
                rollouts.NAME, version, 1, good, bad, 0, 0.0, 0.0
            )

    async def test_lost_write_answer_counts_once(self):
        await self.run_step()
        self.nodes[rollouts.NODES_BY_RANK[2]].observe(rollouts.CANDIDATE, 7)
        self.first.table.faults.lose_answers = 2
        await self.run_step()
        await self.run_step()
        await self.run_step()
        self.assertEqual(self.stored_pool().sums["2"].requests, 7)
        self.assertEqual(self.first.table.faults.lose_answers, 0)
        self.assertEqual(
            self.first.leader._leaderships[rollouts.NAME].lease.fencing, 1
        )

    async def test_store_down_and_back(self):
        await self.run_step()
        for node in self.nodes.values():
            node.table.faults.unavailable = True
        await self.observe_failing_candidate(rollouts.NAMES)
        await self.run_step()
        await self.run_step(30.0)
        self.assertIs(await self.state(), rollouts.State.RUNNING)
        for node in self.nodes.values():
            node.table.faults.unavailable = False
        await self.run_step()
        self.assertIs(await self.state(), rollouts.State.HALTED)

    async def test_operator_who_pauses_at_the_same_moment_wins(self):
        await self.run_step()
        await self.observe_failing_candidate(rollouts.NAMES)
        paused = []

        async def pause(operation):
            if operation == "transact" and not paused:
                paused.append(operation)
                await self.operate(rollouts.Action.PAUSE)

        self.first.table.faults.after = pause
        await self.run_step(2.0)
        self.assertTrue(paused)
        await self.follow()
        await self.run_step()
        self.assertIs(await self.state(), rollouts.State.PAUSED)
        self.assertEqual(self.first.halts, 0)

    async def test_operator_who_restarts_at_the_same_moment_wins(self):
        await self.run_step()
        await self.observe_failing_candidate(rollouts.NAMES)
        edited = []

        async def restart(operation):
            if operation == "transact" and not edited:
                edited.append(operation)
                await self.operate(rollouts.Action.HALT)
                await self.operate(rollouts.Action.START)

        self.first.table.faults.after = restart
        await self.run_step(2.0)
        self.assertTrue(edited)
        self.assertIs(await self.state(), rollouts.State.RUNNING)
        self.assertEqual(self.first.halts, 0)

    async def test_only_a_running_roll_out_is_halted(self):
        rollout = self.applied.snapshot.rollouts[rollouts.NAME]
        edit = rollout_halt.GuardHalt(rollout, "failures")
        running = await self.store.load_document(await self.store.read())
        self.assertNotEqual(edit.apply(running).ok_value, running)
        for action in (
            rollouts.Action.PAUSE,
            rollouts.Action.HALT,
            rollouts.Action.FINISH,
        ):
            operator_edit = rollout_edits.ChangeRollout(rollouts.NAME, action)
            edited = operator_edit.apply(running).ok_value
            with self.subTest(action):
                self.assertEqual(edit.apply(edited).ok_value, edited)
        other = dataclasses.replace(rollout, candidate="3")
        edit = rollout_halt.GuardHalt(other, "failures")
        self.assertEqual(edit.apply(running).ok_value, running)

    async def test_evidence_before_an_operators_halt_is_dropped(self):
        await self.run_step()
        self.nodes[rollouts.NODES_BY_RANK[2]].observe(rollouts.CANDIDATE, 9)
        await self.run_step()
        self.assertEqual(self.stored_pool().sums["2"].requests, 9)
        for action in (rollouts.Action.HALT, rollouts.Action.START):
            await self.operate(action)
            await self.follow()
            await self.run_step()
        self.nodes[rollouts.NODES_BY_RANK[2]].observe(rollouts.CANDIDATE, 2)
        await self.run_step()
        self.assertEqual(self.stored_pool().sums["2"].requests, 2)

    async def test_restart_after_a_halt_ignores_earlier_evidence(self):
        await self.run_step()
        await self.observe_failing_candidate(rollouts.NAMES)
        await self.run_step()
        await self.run_step()
        await self.follow()
        await self.run_step()
        await self.operate(rollouts.Action.START)
        await self.follow()
        await self.run_step()
        await self.run_step()
        self.assertIs(await self.state(), rollouts.State.RUNNING)

    async def test_stop_releases_the_lease(self):
        await self.run_step()
        await self.first.leader.stop()
        self.live.remove(rollouts.FIRST)
        await self.run_step(1.0)
        self.assertEqual(self.leaders(), [rollouts.SECOND])
