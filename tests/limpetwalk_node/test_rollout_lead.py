"""Tests of the evidence of roll-outs and of their lead."""

import dataclasses
import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import leases
from limpetwalk import metrics as measures
from limpetwalk import registry
from limpetwalk.conf import compile as compiler
from limpetwalk.conf import editor
from limpetwalk.conf import head as heads
from limpetwalk.conf import rollout_edits
from limpetwalk.conf import snapshot
from limpetwalk.peers import base as peers
from limpetwalk.peers import messages
from limpetwalk.peers import rendezvous
from limpetwalk.platform import memory
from limpetwalk_node import evidence
from limpetwalk_node import rollout_halt
from limpetwalk_node import rollout_lead
from limpetwalk_node import rollout_rows
from tests.limpetwalk.conf import sites
from tests.limpetwalk.peers import fakes

registry.load_plugins(["limpetwalk.rollouts.guard"])

NAME = "cheap-2"
BASE = snapshot.ModelVersion("cheap", "1")
CANDIDATE = snapshot.ModelVersion("cheap", "2")
NAMES = [f"n{i}" for i in range(6)]
RANKED = rendezvous.rank(rollout_lead.role_of(NAME), NAMES)
FIRST, SECOND = RANKED[:2]
Action = rollout_edits.RolloutAction
State = snapshot.RolloutState


class FakeHub:
    """Links between the nodes of a case, without sockets."""

    def __init__(self, name, case):
        self.name = name
        self.case = case
        self.handlers = {}
        self.loses_replies = False

    def candidates(self):
        return [
            peers.Peer(name, "", "z1", 1, leaving=False)
            for name in self.case.live
            if name != self.name
        ]

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    async def request(self, peer, message, timeout):
        if peer not in self.case.live:
            raise exceptions.PeerUnavailable(peer)
        handler = self.case.nodes[peer].hub.handlers[type(message)]
        reply = await handler(self.name, message)
        if self.loses_replies:
            raise exceptions.PeerUnavailable(peer)
        return reply


class Node:
    """Recorder and lead of one node."""

    def __init__(self, name, case, hub=None):
        self.hub = hub or FakeHub(name, case)
        self.table = memory.MemoryTable(case.rows)
        self.metrics = measures.Metrics()
        self.store = heads.HeadStore(self.table, case.objects, case.clock)
        self.applied = case.applied
        self.lead = rollout_lead.RolloutLead(
            self.hub,
            leases.LeaseKeeper(self.table, case.clock, f"{name}/boot"),
            self.table,
            self.store,
            lambda: self.applied,
            case.clock,
            self.metrics,
        )
        self.recorder = evidence.EvidenceRecorder(
            self.hub,
            self.lead,
            lambda: self.applied,
            case.clock,
            random.Random(1),
            self.metrics,
        )

    def see(self, target, good, bad=0):
        for _ in range(good):
            self.recorder.finished(target)
        for _ in range(bad):
            self.recorder.failed(target)

    def count(self, name, **labels):
        return self.metrics.value(f"limpetwalk_{name}_total", labels)

    @property
    def halts(self):
        return self.count("rollout_halts", cause="failures")


class Base(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = clocks.ManualClock()
        self.rows = memory.Rows()
        self.objects = memory.MemoryObjects()
        self.store = heads.HeadStore(
            memory.MemoryTable(self.rows), self.objects, self.clock
        )
        doc = sites.small()
        section = doc.rollouts[NAME].model_copy(update={"guard": "sequential"})
        doc = doc.model_copy(update={"rollouts": {NAME: section}})
        outcome = await self.store.accept(doc.to_bytes(), 0, "test")
        self.assertTrue(outcome.is_ok())
        self.applied = await self.newest()
        self.live = list(NAMES)
        self.nodes = {name: Node(name, self) for name in NAMES}
        self.first = self.nodes[FIRST]
        self.second = self.nodes[SECOND]

    async def newest(self):
        head = await self.store.read()
        data = await self.store.load(head.digest)
        return snapshot.Applied(
            head.generation, compiler.compile_document(data)
        )

    async def follow(self):
        """Let every node follow the head."""
        applied = await self.newest()
        for node in self.nodes.values():
            node.applied = applied

    async def operate(self, action):
        edit = rollout_edits.MoveRollout(NAME, action)
        outcome = await editor.Editor(self.store, "ann").edit(edit)
        self.assertTrue(outcome.is_ok())

    async def state(self):
        return (await self.newest()).snapshot.rollouts[NAME].state

    async def step(self, seconds=4.0):
        """Send windows and let each live node's lead work."""
        self.clock.advance(seconds)
        for name in self.live:
            await self.nodes[name].recorder.round()
        for name in self.live:
            await self.nodes[name].lead.tick()

    def row(self):
        row = self.rows.get(rollout_rows.key_of(NAME))
        return rollout_rows.Pool.model_validate_json(row.value)

    def leading(self):
        return [name for name in NAMES if self.nodes[name].lead._runs]


class HaltTest(Base):
    async def observe_bad(self, names):
        for name in names:
            self.nodes[name].see(BASE, 20)
            self.nodes[name].see(CANDIDATE, 4, 1)

    async def test_evidence_of_several_nodes_halts(self):
        await self.step()
        await self.observe_bad([RANKED[2]])
        await self.step()
        self.assertIs(await self.state(), State.RUNNING)
        await self.observe_bad([name for name in NAMES if name != RANKED[2]])
        await self.step()
        self.assertIs(await self.state(), State.HALTED)
        self.assertEqual(self.first.halts, 1)
        head = await self.store.read()
        self.assertEqual(head.author, f"rollout-lead/{FIRST}")

    async def test_good_candidate_goes_on(self):
        await self.step()
        for _ in range(10):
            for node in self.nodes.values():
                node.see(BASE, 20)
                node.see(CANDIDATE, 5)
            await self.step()
        self.assertIs(await self.state(), State.RUNNING)

    async def test_another_node_goes_on_from_the_row(self):
        await self.step()
        await self.observe_bad(RANKED[2:4])
        await self.step()
        before = self.row().sums
        self.assertEqual(before["2"].requests, 10)
        # The senders learn that the row holds their windows.
        await self.step()
        self.live.remove(FIRST)
        await self.step(12.0)
        self.assertIn(SECOND, self.leading())
        self.nodes[RANKED[2]].see(CANDIDATE, 4, 1)
        await self.step()
        self.assertEqual(self.row().sums["2"].requests, 15)
        self.assertIs(await self.state(), State.RUNNING)
        await self.observe_bad(RANKED[2:6])
        await self.step()
        self.assertEqual(self.row().sums, {})
        self.assertIs(await self.state(), State.HALTED)
        self.assertEqual(self.second.halts, 1)

    async def test_windows_not_in_the_row_reach_the_next_lead(self):
        await self.step()
        self.nodes[RANKED[2]].see(CANDIDATE, 7)
        await self.nodes[RANKED[2]].recorder.round()
        self.live.remove(FIRST)
        await self.step(12.0)
        await self.step()
        self.assertEqual(self.row().sums["2"].requests, 7)

    async def test_paused_lead_whose_lease_lapsed_does_not_halt(self):
        await self.step()
        await self.observe_bad(NAMES)
        for name in NAMES:
            await self.nodes[name].recorder.round()
        self.live.remove(FIRST)
        await self.step(12.0)
        row = self.rows.get(rollout_rows.key_of(NAME))
        generation = (await self.store.read()).generation
        # It wakes and still takes itself for the lead.
        self.first.lead._runs[NAME].renewed_at = self.clock.monotonic()
        await self.first.lead.tick()
        self.assertEqual(self.rows.get(rollout_rows.key_of(NAME)), row)
        self.assertEqual(self.first.halts, 0)
        self.assertEqual((await self.store.read()).generation, generation)
        self.assertNotIn(FIRST, self.leading())

    async def test_two_leads_halt_once(self):
        await self.step()
        stale = self.first.lead._runs[NAME]
        self.live.remove(FIRST)
        await self.step(12.0)
        await self.observe_bad(NAMES)
        for message in self.windows():
            self.first.lead.take("x", message)
        stale.renewed_at = self.clock.monotonic() + 100
        self.live.append(FIRST)
        self.nodes[FIRST].hub.candidates = lambda: []
        await self.first.lead.tick()
        self.assertIs(await self.state(), State.RUNNING)
        self.assertEqual(self.first.halts, 0)

    def windows(self):
        for version, good, bad in (("1", 200, 0), ("2", 40, 20)):
            yield messages.Evidence(NAME, version, 1, good, bad, 0, 0.0, 0.0)

    async def test_lost_write_answer_counts_once(self):
        await self.step()
        self.nodes[RANKED[2]].see(CANDIDATE, 7)
        self.first.table.faults.lose_answers = 2
        await self.step()
        await self.step()
        await self.step()
        self.assertEqual(self.row().sums["2"].requests, 7)
        self.assertEqual(self.first.table.faults.lose_answers, 0)
        self.assertEqual(self.first.lead._runs[NAME].lease.fencing, 1)

    async def test_store_down_and_back(self):
        await self.step()
        for node in self.nodes.values():
            node.table.faults.unavailable = True
        await self.observe_bad(NAMES)
        await self.step()
        await self.step(30.0)
        self.assertIs(await self.state(), State.RUNNING)
        for node in self.nodes.values():
            node.table.faults.unavailable = False
        await self.step()
        self.assertIs(await self.state(), State.HALTED)

    async def test_operator_who_pauses_at_the_same_moment_wins(self):
        await self.step()
        await self.observe_bad(NAMES)
        paused = []

        async def pause(operation):
            if operation == "transact" and not paused:
                paused.append(operation)
                await self.operate(Action.PAUSE)

        self.first.table.faults.after = pause
        await self.step(2.0)
        self.assertTrue(paused)
        await self.follow()
        await self.step()
        self.assertIs(await self.state(), State.PAUSED)
        self.assertEqual(self.first.halts, 0)

    async def test_operator_who_starts_anew_at_the_same_moment_wins(self):
        await self.step()
        await self.observe_bad(NAMES)
        moved = []

        async def start_anew(operation):
            if operation == "transact" and not moved:
                moved.append(operation)
                await self.operate(Action.HALT)
                await self.operate(Action.START)

        self.first.table.faults.after = start_anew
        await self.step(2.0)
        self.assertTrue(moved)
        self.assertIs(await self.state(), State.RUNNING)
        self.assertEqual(self.first.halts, 0)

    async def test_only_a_running_roll_out_is_halted(self):
        rollout = self.applied.snapshot.rollouts[NAME]
        edit = rollout_halt.GuardHalt(rollout, "failures")
        running = await self.store.document(await self.store.read())
        self.assertNotEqual(edit.apply(running).ok_value, running)
        for action in (Action.PAUSE, Action.HALT, Action.FINISH):
            move = rollout_edits.MoveRollout(NAME, action)
            moved = move.apply(running).ok_value
            with self.subTest(action):
                self.assertEqual(edit.apply(moved).ok_value, moved)
        other = dataclasses.replace(rollout, candidate="3")
        edit = rollout_halt.GuardHalt(other, "failures")
        self.assertEqual(edit.apply(running).ok_value, running)

    async def test_evidence_before_an_operators_halt_is_dropped(self):
        await self.step()
        self.nodes[RANKED[2]].see(CANDIDATE, 9)
        await self.step()
        self.assertEqual(self.row().sums["2"].requests, 9)
        for action in (Action.HALT, Action.START):
            await self.operate(action)
            await self.follow()
            await self.step()
        self.nodes[RANKED[2]].see(CANDIDATE, 2)
        await self.step()
        self.assertEqual(self.row().sums["2"].requests, 2)

    async def test_halted_and_started_anew_is_judged_anew(self):
        await self.step()
        await self.observe_bad(NAMES)
        await self.step()
        await self.step()
        await self.follow()
        await self.step()
        await self.operate(Action.START)
        await self.follow()
        await self.step()
        await self.step()
        self.assertIs(await self.state(), State.RUNNING)

    async def test_stop_releases_the_lease(self):
        await self.step()
        await self.first.lead.stop()
        self.live.remove(FIRST)
        await self.step(1.0)
        self.assertEqual(self.leading(), [SECOND])


class RecorderTest(Base):
    async def test_window_whose_reply_is_lost_counts_once(self):
        await self.step()
        node = self.nodes[RANKED[2]]
        node.hub.loses_replies = True
        node.see(CANDIDATE, 7)
        await self.step()
        node.hub.loses_replies = False
        await self.step()
        self.assertEqual(self.row().sums["2"].requests, 7)
        self.assertGreater(self.first.count("evidence_duplicates"), 0)
        self.assertEqual(node.count("evidence_windows", outcome="stored"), 1)

    async def test_windows_without_a_lead_are_bounded(self):
        node = self.nodes[RANKED[2]]
        for _ in range(evidence.MAX_WINDOWS + 3):
            node.see(CANDIDATE, 1)
            await node.recorder.round()
        self.assertEqual(node.count("evidence_windows", outcome="lost"), 3)

    async def test_windows_of_a_paused_roll_out_are_dropped(self):
        node = self.nodes[RANKED[2]]
        node.see(CANDIDATE, 1)
        await node.recorder.round()
        await self.operate(Action.PAUSE)
        await self.follow()
        await node.recorder.round()
        self.assertEqual(node.count("evidence_windows", outcome="ended"), 1)

    async def test_ratings_add_to_counted_answers(self):
        await self.step()
        node = self.nodes[RANKED[2]]
        node.see(CANDIDATE, 1)
        node.recorder.rated(CANDIDATE, 0.5)
        node.recorder.finished(snapshot.ModelVersion("strong", "5"))
        await self.step()
        tally = self.row().sums["2"]
        self.assertEqual(
            (tally.requests, tally.rated, tally.mean), (1, 1, 0.5)
        )


class LinkTest(Base):
    async def test_evidence_goes_over_the_links_of_real_hubs(self):
        instances = fakes.FakeInstances()
        hubs = {
            name: fakes.make_hub(name, instances) for name in (FIRST, SECOND)
        }
        for hub in hubs.values():
            await hub.start()
            self.addAsyncCleanup(hub.stop)
            instances.add(hub)
        await fakes.until(lambda: all(hub.live() for hub in hubs.values()))
        first, second = (Node(name, self, hubs[name]) for name in hubs)
        await first.lead.tick()
        await second.lead.tick()
        self.assertEqual(second.lead._runs, {})
        second.see(BASE, 100)
        second.see(CANDIDATE, 20, 10)
        await second.recorder.round()
        await first.lead.tick()
        self.assertIs(await self.state(), State.HALTED)
        self.assertEqual(first.halts, 1)
