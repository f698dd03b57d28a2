"""Simulated nodes for the tests of roll-out evidence and its leader."""

import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import leases
from limpetwalk import metrics as measures
from limpetwalk import registry
from limpetwalk.conf import compiler
from limpetwalk.conf import editor
from limpetwalk.conf import head as heads
from limpetwalk.conf import rollout_edits
from limpetwalk.conf import snapshot
from limpetwalk.peers import base as peers
from limpetwalk.peers import rendezvous
from limpetwalk.providers import memory
from limpetwalk_node.rollouts import evidence_recorder
from limpetwalk_node.rollouts import rollout_leader
from limpetwalk_node.rollouts import rollout_rows
from tests.limpetwalk.conf import sites

registry.load_plugins(["limpetwalk.rollouts.guard"])

NAME = "cheap-2"
BASE = snapshot.ModelVersion("cheap", "1")
CANDIDATE = snapshot.ModelVersion("cheap", "2")
NAMES = [f"n{i}" for i in range(6)]
NODES_BY_RANK = rendezvous.rank(rollout_leader.lease_role(NAME), NAMES)
FIRST, SECOND = NODES_BY_RANK[:2]
Action = rollout_edits.RolloutAction
State = snapshot.RolloutState


class FakeHub:
    """Links between the nodes of a test case, without sockets."""

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
    """Evidence recorder and roll-out leader of one node."""

    def __init__(self, name, case, hub=None):
        self.hub = hub or FakeHub(name, case)
        self.table = memory.MemoryTable(case.rows)
        self.metrics = measures.Metrics()
        self.store = heads.HeadStore(self.table, case.objects, case.clock)
        self.applied = case.applied
        self.leader = rollout_leader.GuardedRolloutLeader(
            self.hub,
            leases.LeaseManager(self.table, case.clock, f"{name}/boot"),
            self.table,
            self.store,
            lambda: self.applied,
            case.clock,
            self.metrics,
        )
        self.recorder = evidence_recorder.EvidenceRecorder(
            self.hub,
            self.leader,
            lambda: self.applied,
            case.clock,
            random.Random(1),
            self.metrics,
        )

    def observe(self, target, successes, failures=0):
        for _ in range(successes):
            self.recorder.finished(target)
        for _ in range(failures):
            self.recorder.failed(target)

    def count(self, name, **labels):
        return self.metrics.value(f"limpetwalk_{name}_total", labels)

    @property
    def halts(self):
        return self.count("rollout_halts", cause="failures")


class RolloutCase(unittest.IsolatedAsyncioTestCase):
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
        return snapshot.AppliedSnapshot(
            head.generation, compiler.compile_document(data)
        )

    async def follow(self):
        """Apply the newest configuration on every node."""
        applied = await self.newest()
        for node in self.nodes.values():
            node.applied = applied

    async def operate(self, action):
        edit = rollout_edits.ChangeRollout(NAME, action)
        outcome = await editor.Editor(self.store, "ann").edit(edit)
        self.assertTrue(outcome.is_ok())

    async def state(self):
        return (await self.newest()).snapshot.rollouts[NAME].state

    async def run_step(self, seconds=4.0):
        """Send the windows and run a leader round on each live node."""
        self.clock.advance(seconds)
        for name in self.live:
            await self.nodes[name].recorder.flush()
        for name in self.live:
            await self.nodes[name].leader.run_round()

    def stored_pool(self):
        row = self.rows.get(rollout_rows.row_key(NAME))
        return rollout_rows.EvidencePool.model_validate_json(row.value)

    def leaders(self):
        return [name for name in NAMES if self.nodes[name].leader._leaderships]
