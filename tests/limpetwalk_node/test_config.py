"""Tests of the configuration in force at a node."""

from dataclasses import dataclass
import hashlib
import json
import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics
from limpetwalk.conf import snapshot
from limpetwalk_node import config
from tests.limpetwalk.peers import fakes


@dataclass
class FakeHead:
    generation: int
    digest: str


class FakeStore:
    """Head and bytes that a test sets, with switches for outages."""

    def __init__(self):
        self.head = FakeHead(0, "")
        self.blobs = {}
        self.head_down = False
        self.objects_down = False

    def accept(self, generation, data):
        digest = digest_of(data)
        self.blobs[digest] = data
        self.head = FakeHead(generation, digest)

    async def read(self):
        if self.head_down:
            raise exceptions.StoreUnavailable("down")
        return self.head

    async def load(self, digest):
        if self.objects_down:
            raise exceptions.StoreUnavailable("down")
        return self.blobs.get(digest)


def digest_of(data):
    return hashlib.sha256(data).hexdigest()


def document(text, stale_after=60.0):
    return json.dumps({"text": text, "stale_after": stale_after}).encode()


def compile_(data):
    fields = json.loads(data)
    return snapshot.Snapshot(
        digest=digest_of(data),
        models={},
        servers={},
        cascades={},
        services={},
        workspaces={},
        rollouts={},
        zones={},
        session_keys=(),
        tuning=snapshot.Tuning(stale_after=fields["stale_after"]),
    )


class Node:
    """Hub and keeper of one node."""

    def __init__(self, name, instances, zone="z1", store=None, clock=None):
        self.clock = clock or clocks.SystemClock()
        self.hub = fakes.make_hub(name, instances, zone, self.clock)
        self.store = store or FakeStore()
        self.metrics = metrics.Metrics()
        self.keeper = config.ConfigKeeper(
            self.hub,
            self.store,
            compile_,
            self.clock,
            random.Random(name),
            self.metrics,
        )

    @property
    def generation(self):
        applied = self.keeper.current()
        return applied.generation if applied else 0


class PollTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.node = Node("a", fakes.FakeInstances(), clock=self.clock)

    async def test_newer_head_comes_into_force(self):
        self.node.store.accept(1, document("one"))
        await self.node.keeper.poll()
        self.assertEqual(1, self.node.generation)
        self.assertTrue(self.node.keeper.fresh())

    async def test_older_head_is_ignored(self):
        self.node.store.accept(2, document("two"))
        await self.node.keeper.poll()
        self.node.store.accept(1, document("one"))
        await self.node.keeper.poll()
        self.assertEqual(2, self.node.generation)

    async def test_bytes_of_another_digest_are_not_taken(self):
        self.node.store.accept(1, document("one"))
        self.node.store.blobs[self.node.store.head.digest] = b"{}"
        await self.node.keeper.poll()
        self.assertIsNone(self.node.keeper.current())

    async def test_a_generation_that_does_not_compile_keeps_the_old(self):
        self.node.store.accept(1, document("one"))
        await self.node.keeper.poll()
        self.node.store.accept(2, b"no document")
        await self.node.keeper.poll()
        self.assertEqual(1, self.node.generation)
        self.assertEqual(
            1,
            self.node.metrics.value(
                "limpetwalk_config_errors_total",
                {"reason": "compile_failed"},
            ),
        )

    async def test_unconfirmed_for_too_long_is_not_fresh(self):
        self.node.store.accept(1, document("one", stale_after=60.0))
        await self.node.keeper.poll()
        self.node.store.head_down = True
        for _ in range(60):
            self.clock.advance(1.0)
            await self.node.keeper.poll()
            self.assertTrue(self.node.keeper.fresh())
        self.clock.advance(1.0)
        self.assertFalse(self.node.keeper.fresh())

    async def test_a_paused_process_confirms_before_new_work(self):
        self.node.store.accept(1, document("one"))
        await self.node.keeper.poll()
        self.clock.advance(10.0)
        self.assertFalse(self.node.keeper.fresh())
        await self.node.keeper.poll()
        self.assertTrue(self.node.keeper.fresh())
