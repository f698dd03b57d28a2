"""Tests of the hub over loopback TCP."""

import asyncio
import unittest

from limpetwalk import exceptions
from limpetwalk.peers import messages

from . import fakes


class HubTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.instances = fakes.FakeInstances()
        self.hubs = []

    async def asyncTearDown(self):
        for hub in self.hubs:
            await hub.stop()

    async def start(self, *names):
        for name in names:
            hub = fakes.make_hub(name, self.instances)
            self.hubs.append(hub)
            await hub.start()
            self.instances.add(hub)

    async def wait_until_linked(self):
        others = len(self.hubs) - 1
        await fakes.until(
            lambda: all(len(hub.live()) == others for hub in self.hubs)
        )

    async def test_listed_nodes_become_live(self):
        await self.start("a", "b", "c")
        await self.wait_until_linked()
        names = [peer.name for peer in self.hubs[0].live()]
        self.assertEqual(["b", "c"], names)

    async def test_request_gets_the_handlers_reply(self):
        await self.start("a", "b")
        await self.wait_until_linked()

        async def answer(sender, message):
            return messages.SnapshotReply(message.digest, sender.encode())

        self.hubs[1].subscribe(messages.SnapshotRequest, answer)
        reply = await self.hubs[0].request(
            "b", messages.SnapshotRequest("d"), timeout=5.0
        )
        self.assertEqual(messages.SnapshotReply("d", b"a"), reply)

    async def test_request_to_an_unknown_peer_fails_at_once(self):
        await self.start("a")
        with self.assertRaises(exceptions.PeerUnavailable):
            await self.hubs[0].request(
                "x", messages.SnapshotRequest("d"), timeout=5.0
            )

    async def test_lost_link_fails_pending_requests(self):
        await self.start("a", "b")
        await self.wait_until_linked()
        received = asyncio.Event()

        async def never_reply(sender, message):
            received.set()
            await asyncio.Event().wait()

        self.hubs[1].subscribe(messages.SnapshotRequest, never_reply)
        call = asyncio.create_task(
            self.hubs[0].request(
                "b", messages.SnapshotRequest("d"), timeout=60.0
            )
        )
        await received.wait()
        await self.hubs[1].stop()
        with self.assertRaises(exceptions.PeerUnavailable):
            await call
