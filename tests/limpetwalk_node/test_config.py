"""Tests of the configuration in force at a node."""

from dataclasses import dataclass
import hashlib
import json
import math
import random
import unittest

from loguru import logger

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics
from limpetwalk.conf import snapshot
from limpetwalk.peers import messages
from limpetwalk_node.configuration import config_manager
from tests.limpetwalk.peers import fakes

logger.disable("limpetwalk_node.configuration.config_manager")


@dataclass
class FakeHead:
    generation: int
    digest: str


class FakeStore:
    """Store with a head and bytes set by the test, and simulated outages."""

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
    """Hub and configuration manager of one node."""

    def __init__(self, name, instances, zone="z1", store=None, clock=None):
        self.clock = clock or clocks.SystemClock()
        self.hub = fakes.make_hub(name, instances, zone, self.clock)
        self.store = store or FakeStore()
        self.metrics = metrics.Metrics()
        self.config_manager = config_manager.ConfigManager(
            self.hub,
            self.store,
            compile_,
            self.clock,
            random.Random(name),
            self.metrics,
        )

    @property
    def generation(self):
        applied = self.config_manager.current()
        return applied.generation if applied else 0


class PollTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.node = Node("a", fakes.FakeInstances(), clock=self.clock)

    async def test_newer_head_comes_into_force(self):
        self.node.store.accept(1, document("one"))
        await self.node.config_manager.poll()
        self.assertEqual(1, self.node.generation)
        self.assertTrue(self.node.config_manager.is_fresh())

    async def test_older_head_is_ignored(self):
        self.node.store.accept(2, document("two"))
        await self.node.config_manager.poll()
        self.node.store.accept(1, document("one"))
        await self.node.config_manager.poll()
        self.assertEqual(2, self.node.generation)

    async def test_bytes_of_another_digest_are_not_applied(self):
        self.node.store.accept(1, document("one"))
        self.node.store.blobs[self.node.store.head.digest] = b"{}"
        await self.node.config_manager.poll()
        self.assertIsNone(self.node.config_manager.current())

    async def test_a_generation_that_does_not_compile_keeps_the_old(self):
        self.node.store.accept(1, document("one"))
        await self.node.config_manager.poll()
        self.node.store.accept(2, b"no document")
        await self.node.config_manager.poll()
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
        await self.node.config_manager.poll()
        self.node.store.head_down = True
        for _ in range(60):
            self.clock.advance(1.0)
            await self.node.config_manager.poll()
            self.assertTrue(self.node.config_manager.is_fresh())
        self.clock.advance(1.0)
        self.assertFalse(self.node.config_manager.is_fresh())

    async def test_a_paused_process_confirms_before_new_work(self):
        self.node.store.accept(1, document("one"))
        await self.node.config_manager.poll()
        self.clock.advance(10.0)
        self.assertFalse(self.node.config_manager.is_fresh())
        await self.node.config_manager.poll()
        self.assertTrue(self.node.config_manager.is_fresh())


class PeersTest(unittest.IsolatedAsyncioTestCase):
    """Three nodes in three zones; the test calls each step itself."""

    async def asyncSetUp(self):
        self.instances = fakes.FakeInstances()
        self.nodes = {}
        for name in "abc":
            await self.start(name)
        await self.wait_until_connected()

    async def asyncTearDown(self):
        for node in self.nodes.values():
            await node.hub.stop()

    async def start(self, name):
        node = Node(name, self.instances, f"z-{name}")
        self.nodes[name] = node
        await node.hub.start()
        self.instances.add(node.hub)

    async def wait_until_connected(self):
        others = len(self.nodes) - 1
        await fakes.until(
            lambda: all(
                len(node.hub.live()) == others for node in self.nodes.values()
            )
        )

    async def wait_for_generation(self, generation):
        await fakes.until(
            lambda: all(
                node.generation == generation for node in self.nodes.values()
            )
        )

    def errors(self, name, reason):
        return self.nodes[name].metrics.value(
            "limpetwalk_config_errors_total", {"reason": reason}
        )

    def stop_stores(self):
        for node in self.nodes.values():
            node.store.head_down = True
            node.store.objects_down = True

    async def test_one_poll_updates_all_nodes(self):
        self.nodes["a"].store.accept(1, document("one"))
        await self.nodes["a"].config_manager.poll()
        await self.wait_for_generation(1)

    async def test_a_hand_over_reaches_all_while_the_store_is_down(self):
        self.stop_stores()
        self.assertTrue(
            await self.nodes["b"].config_manager.apply_from_operator(
                1, document("one")
            )
        )
        await self.wait_for_generation(1)

    async def test_a_hand_over_that_the_head_contradicts_is_refused(self):
        store = self.nodes["a"].store
        store.accept(1, document("one"))
        applied = await self.nodes["a"].config_manager.apply_from_operator(
            1, document("other")
        )
        self.assertFalse(applied)
        self.assertEqual(0, self.nodes["a"].generation)
        self.assertEqual(1, self.errors("a", "offer_not_accepted"))

    async def test_an_older_hand_over_is_refused(self):
        self.stop_stores()
        manager = self.nodes["a"].config_manager
        self.assertTrue(await manager.apply_from_operator(2, document("two")))
        self.assertFalse(await manager.apply_from_operator(1, document("one")))
        self.assertEqual(2, self.nodes["a"].generation)

    async def test_the_store_wins_over_a_hand_over_it_never_accepted(self):
        self.stop_stores()
        await self.nodes["a"].config_manager.apply_from_operator(
            1, document("lost")
        )
        await self.wait_for_generation(1)
        accepted = document("accepted")
        store = self.nodes["c"].store
        store.head_down = store.objects_down = False
        store.accept(1, accepted)
        await self.nodes["c"].config_manager.poll()
        for name in "ab":
            node = self.nodes[name]
            await fakes.until(
                lambda: (
                    node.hub.members.live_heartbeats()["c"].digest
                    == digest_of(accepted)
                )
            )
            await node.config_manager.follow_peers()
            self.assertEqual(
                digest_of(accepted),
                node.config_manager.current().snapshot.digest,
            )

    async def test_a_node_that_starts_in_an_outage_asks_its_peers(self):
        self.stop_stores()
        await self.nodes["a"].config_manager.apply_from_operator(
            1, document("one")
        )
        await self.wait_for_generation(1)
        await self.start("d")
        self.nodes["d"].store.head_down = True
        self.nodes["d"].store.objects_down = True
        await self.wait_until_connected()
        self.assertIsNone(self.nodes["d"].config_manager.current())
        await self.nodes["d"].config_manager.follow_peers()
        self.assertEqual(1, self.nodes["d"].generation)
        self.assertTrue(self.nodes["d"].config_manager.is_fresh())

    async def test_peer_bytes_with_another_digest_are_not_applied(self):
        digest = digest_of(document("one"))

        async def reply_with_other_bytes(sender, message):
            return messages.SnapshotReply(message.digest, document("lie"))

        self.nodes["a"].hub.subscribe(
            messages.SnapshotRequest, reply_with_other_bytes
        )
        self.nodes["a"].hub.send("b", messages.ConfigHead(1, digest))
        await fakes.until(lambda: self.errors("b", "fetch_failed") > 0)
        self.assertEqual(1, self.errors("b", "wrong_digest"))
        self.assertEqual(0, self.nodes["b"].generation)


class ConfirmationTest(unittest.IsolatedAsyncioTestCase):
    """Confirmation of the generation in force while the store is down.

    The hub is not started: the test itself enters its members and heartbeats.
    """

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.instances = fakes.FakeInstances()
        self.node = Node("a", self.instances, clock=self.clock)
        self.sequence = 0

    async def asyncSetUp(self):
        self.node.store.accept(1, document("one", stale_after=60.0))
        await self.node.config_manager.poll()
        self.node.store.head_down = True

    def list_peers(self, **zones):
        self.node.hub.members.update_instances(
            [fakes.instance(name, zone) for name, zone in zones.items()]
        )

    def receive_heartbeat(self, name, zone, age=math.inf, generation=1):
        self.sequence += 1
        self.node.hub.members.record_heartbeat(
            name,
            messages.Heartbeat(
                zone=zone,
                address="127.0.0.1:1",
                boot_id=f"boot-{name}",
                sequence=self.sequence,
                generation=generation,
                digest=self.node.config_manager.current().snapshot.digest,
                leaving=False,
                confirmed_age=age,
            ),
        )

    async def pass_time(self, seconds, *heartbeats):
        for _ in range(seconds):
            self.clock.advance(1.0)
            for arguments in heartbeats:
                self.receive_heartbeat(*arguments)
            await self.node.config_manager.follow_peers()
            self.node.config_manager.is_fresh()

    async def test_confirmation_by_reachable_peers(self):
        near_peer, other_zone_peer = ("b", "z1"), ("c", "z2")
        cases = (
            ("cut from all", dict(b="z1", c="z2"), (), False),
            ("alone without a list", {}, (), False),
            (
                "all peers live",
                dict(b="z1", c="z2"),
                (near_peer, other_zone_peer),
                True,
            ),
            ("no other zone", dict(b="z1", c="z2"), (near_peer,), False),
            (
                "minority",
                dict(b="z1", c="z2", d="z2", e="z3"),
                (other_zone_peer,),
                False,
            ),
            (
                "minority with a peer that reads the store",
                dict(b="z1", c="z2", d="z2", e="z3"),
                (("c", "z2", 1.0),),
                True,
            ),
            ("one zone in all", dict(b="z1"), (near_peer,), True),
        )
        for name, peer_zones, heartbeats, fresh in cases:
            with self.subTest(name):
                self.setUp()
                await self.asyncSetUp()
                self.list_peers(**peer_zones)
                await self.pass_time(61, *heartbeats)
                self.assertEqual(fresh, self.node.config_manager.is_fresh())

    async def test_after_a_pause_only_later_signs_count(self):
        self.list_peers(b="z2")
        self.receive_heartbeat("b", "z2")
        self.clock.advance(5.0)
        self.assertFalse(self.node.config_manager.is_fresh())
        await self.node.config_manager.follow_peers()
        self.assertFalse(self.node.config_manager.is_fresh())
        self.receive_heartbeat("b", "z2")
        await self.node.config_manager.follow_peers()
        self.assertTrue(self.node.config_manager.is_fresh())

    async def test_a_read_begun_before_a_pause_does_not_count(self):
        self.node.store.head_down = False

        async def pause():
            self.clock.advance(5.0)
            self.node.hub.pause_detector.check()
            return self.node.store.head

        self.node.store.read = pause
        await self.node.config_manager.poll()
        self.assertFalse(self.node.config_manager.is_fresh())
