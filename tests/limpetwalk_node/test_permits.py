"""Tests of warm-up permits shared by the nodes."""

import asyncio
import unittest

from limpetwalk import clock as clocks
from limpetwalk import leases
from limpetwalk import metrics
from limpetwalk.conf import snapshot
from limpetwalk.peers import messages
from limpetwalk.peers import node_counts
from limpetwalk.peers import rendezvous
from limpetwalk.providers import memory
from limpetwalk_node.warmup import permit_grantor
from limpetwalk_node.warmup import permits
from tests.limpetwalk.peers import fakes

NAMES = "abc"
SERVER = "s1"
OWNER = rendezvous.owner(f"permits/{SERVER}", NAMES)
OTHERS = [name for name in NAMES if name != OWNER]


def server(allowance):
    return snapshot.Server(
        name=SERVER,
        kind=snapshot.ServerKind.ENGINE,
        protocol="openai",
        address="127.0.0.1:1",
        zone="z1",
        state=snapshot.PlacementState.IN,
        serves=frozenset(),
        service="",
        concurrency=32,
        warmup=snapshot.WarmUp(concurrency=allowance, duration=30.0),
        fencing=True,
    )


def applied(allowance):
    return snapshot.AppliedSnapshot(
        generation=1,
        snapshot=snapshot.Snapshot(
            digest="d",
            models={},
            servers={SERVER: server(allowance)},
            cascades={},
            services={},
            workspaces={},
            rollouts={},
            zones={},
            session_keys=(),
            tuning=snapshot.Tuning(request_timeout=60.0),
        ),
    )


class Node:
    """Hub, grantor and permits of one node, with the permits in use."""

    def __init__(self, name, case):
        self.case = case
        self.hub = fakes.make_hub(name, case.instances, "z1", case.clock)
        self.table = memory.MemoryTable(case.rows)
        self.metrics = metrics.Metrics()
        self.grantor = permit_grantor.PermitGrantor(
            self.hub,
            leases.LeaseManager(self.table, case.clock, self.hub.boot_id),
            lambda: applied(case.allowance),
            case.clock,
            self.metrics,
        )
        self.permits = permits.SharedPermits(
            self.hub, self.grantor, case.clock, self.metrics
        )
        self.permits.subscribe(self.take_permits)
        self.used = []
        self.wanted_count = 0

    def take_permits(self, name=SERVER):
        """Take permits until none is wanted or available."""
        while self.wanted_count:
            permit = self.permits.try_acquire(
                server(self.case.allowance), "boot"
            )
            if permit is None:
                return
            self.wanted_count -= 1
            self.used.append(permit)

    async def request_permits(self, count):
        """Request permits until no more are granted."""
        self.wanted_count = count
        while True:
            await self.case.advance(permits.REQUEST_INTERVAL)
            used_before = len(self.used)
            self.take_permits()
            await self.permits.idle()
            if len(self.used) == used_before:
                break
        self.wanted_count = 0

    async def release_permits(self, count):
        for _ in range(count):
            self.permits.release(self.used.pop())
        await self.permits.idle()

    async def stop(self):
        await self.permits.stop()
        await self.hub.stop()


class PermitsCase(unittest.IsolatedAsyncioTestCase):
    """Three nodes; ``OWNER`` is the node that grants permits by its hash."""

    allowance = 8
    # Nodes use a share only after they have been up for ``WINDOW``.
    up_seconds = node_counts.WINDOW + 1.0

    async def asyncSetUp(self):
        self.clock = clocks.ManualClock()
        self.instances = fakes.FakeInstances()
        self.rows = memory.Rows()
        self.nodes = {}
        for name in NAMES:
            node = Node(name, self)
            await node.hub.start()
            self.instances.add(node.hub)
            self.nodes[name] = node
        await self.wait_until_connected()
        await self.pass_time(self.up_seconds)

    async def asyncTearDown(self):
        for node in self.nodes.values():
            await node.stop()

    async def wait_until_connected(self):
        others = len(self.nodes) - 1
        await fakes.until(
            lambda: all(
                len(node.hub.live()) == others for node in self.nodes.values()
            )
        )

    async def kill(self, name):
        await self.nodes.pop(name).stop()

    async def pass_time(self, seconds):
        while seconds > 0:
            step = min(seconds, 1.9)
            seconds -= step
            for node in self.nodes.values():
                node.hub.members.update_instances(self.instances.instances)
                node.hub.members.expire()
            await self.advance(step)

    async def advance(self, seconds):
        """Advance the clock and exchange heartbeats of the running nodes."""
        self.clock.advance(seconds)
        now = self.clock.monotonic()
        for node in self.nodes.values():
            node.hub.send_heartbeats()
        await fakes.until(
            lambda: all(
                node.hub.members.last_heartbeat_at(name) == now
                for node in self.nodes.values()
                for name in self.nodes
                if name != node.hub.name
            )
        )

    def in_use(self):
        return sum(len(node.used) for node in self.nodes.values())

    async def request_everywhere(self, count=20):
        for node in self.nodes.values():
            await node.request_permits(count)


class AllowanceTest(PermitsCase):
    async def test_all_nodes_together_use_the_allowance_and_no_more(self):
        for self.allowance in (1, 2, 3, 8, 10):
            with self.subTest(allowance=self.allowance):
                await self.request_everywhere()
                self.assertEqual(self.allowance, self.in_use())
                for node in self.nodes.values():
                    await node.release_permits(len(node.used))

    async def test_returned_permits_go_to_another_node(self):
        await self.nodes["a"].request_permits(20)
        used_count = len(self.nodes["a"].used)
        await self.nodes["a"].release_permits(used_count)
        await self.nodes["b"].request_permits(20)
        self.assertEqual(used_count, len(self.nodes["b"].used))

    async def test_without_a_grantor_each_node_has_its_share(self):
        for node in self.nodes.values():
            node.table.faults.unavailable = True
        await self.request_everywhere()
        self.assertEqual(
            [self.allowance // 3] * 3,
            [len(node.used) for node in self.nodes.values()],
        )


class TakeoverTest(PermitsCase):
    allowance = 2

    async def test_a_new_grantor_counts_what_the_nodes_hold(self):
        await self.nodes[OTHERS[0]].request_permits(1)
        self.nodes[OWNER].hub.leave()
        await self.pass_time(11)
        await self.request_everywhere()
        self.assertEqual(self.allowance, self.in_use())

    async def test_a_late_return_does_not_free_a_permit_that_is_in_use(self):
        late, taker = OTHERS
        await self.nodes[late].request_permits(2)
        fencing = self.nodes[late].used[0].fencing
        await self.nodes[late].release_permits(1)
        self.nodes[OWNER].hub.leave()
        await self.pass_time(11)
        await self.nodes[taker].request_permits(1)
        self.assertEqual(2, self.in_use())
        # The return was in flight while the new grantor asked the nodes.
        release_request = messages.PermitRequest(
            SERVER, "boot", 1, True, fencing
        )
        for name in OTHERS:
            await self.nodes[name].grantor.grant(late, release_request)
        await self.request_everywhere()
        self.assertEqual(self.allowance, self.in_use())

    async def test_a_lost_nodes_permits_come_back_after_their_lifetime(self):
        await self.nodes[OWNER].request_permits(1)
        await self.kill(OWNER)
        await self.pass_time(15)
        await self.request_everywhere()
        self.assertEqual(0, self.in_use())
        await self.pass_time(60)
        await self.request_everywhere()
        self.assertEqual(self.allowance, self.in_use())

    async def test_a_lost_node_may_still_hold_what_it_was_granted(self):
        await self.nodes[OWNER].request_permits(1)
        await self.nodes[OTHERS[0]].request_permits(1)
        await self.kill(OWNER)
        await self.pass_time(15)
        await self.request_everywhere()
        self.assertEqual(1, self.in_use())

    async def test_a_paused_grantor_grants_nothing_when_it_resumes(self):
        await self.nodes[OTHERS[0]].request_permits(1)
        grantor = self.nodes[OWNER].grantor
        await self.pass_time(11)
        # Another node takes over; the old grantor has to read the table.
        other = self.nodes[OTHERS[0]].grantor
        req = messages.PermitRequest(SERVER, "boot", 1, release=False)
        reply = await other.grant(OTHERS[0], req)
        self.assertEqual(1, reply.granted)
        reply = await grantor.grant(OWNER, req)
        self.assertIsInstance(reply, messages.Failure)

    async def test_a_grantor_without_store_access_stops_with_its_lease(self):
        grantor = self.nodes[OWNER].grantor
        req = messages.PermitRequest(SERVER, "boot", 1, release=False)
        await grantor.grant(OWNER, req)
        self.nodes[OWNER].table.faults.unavailable = True
        await self.pass_time(8)
        reply = await grantor.grant(OWNER, req)
        self.assertEqual(1, reply.granted)
        await self.pass_time(2)
        reply = await grantor.grant(OWNER, req)
        self.assertIsInstance(reply, messages.Failure)

    async def test_only_one_of_several_concurrent_grantors_grants(self):
        req = messages.PermitRequest(SERVER, "boot", 2, release=False)
        replies = await asyncio.gather(
            *(
                node.grantor.grant(name, req)
                for name, node in self.nodes.items()
            )
        )
        granted = [
            reply.granted
            for reply in replies
            if isinstance(reply, messages.PermitReply)
        ]
        self.assertEqual(self.allowance, sum(granted))
        self.assertEqual(1, len(granted))


class NewNodes(PermitsCase):
    """Nodes that have no share yet, so all permits are granted."""

    allowance = 16
    up_seconds = 0.0

    async def test_permits_a_lost_node_cannot_hold_are_granted(self):
        await self.nodes[OWNER].request_permits(1)
        await self.kill(OWNER)
        await self.pass_time(15)
        await self.request_everywhere()
        self.assertGreaterEqual(self.in_use(), self.allowance // 2)
        self.assertLessEqual(self.in_use(), self.allowance - 1)

    async def test_repeated_takeovers_do_not_use_up_the_allowance(self):
        # The lost node's share, once it counts, and what was recorded for it.
        share = permit_grantor.node_share(self.allowance, len(NAMES))
        lost = share + 1 + permit_grantor.RECORDED_AHEAD
        await self.nodes[OWNER].request_permits(1)
        await self.kill(OWNER)
        for _ in range(3):
            await self.pass_time(15)
            await self.request_everywhere()
            self.assertGreaterEqual(self.in_use(), self.allowance - lost)
            for node in self.nodes.values():
                await node.release_permits(len(node.used))
                await node.grantor.stop()

    async def test_grants_that_cannot_be_recorded_are_not_made(self):
        await self.nodes[OWNER].request_permits(1)
        self.nodes[OWNER].table.faults.unavailable = True
        await self.request_everywhere()
        held = 1 + permit_grantor.RECORDED_AHEAD
        self.assertEqual(held, self.in_use())
