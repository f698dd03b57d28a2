"""Tests of a node's peer interface with faults at the other end.

The other end is a raw TCP connection to which a test writes frames.
"""

import asyncio
import pathlib
import tempfile
import unittest
from unittest import mock

import capnp

from limpetwalk import clock as clocks
from limpetwalk import metrics
from limpetwalk.peers import codec
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import link as link_
from limpetwalk.peers import messages

from . import fakes

SCHEMA = pathlib.Path(codec.__file__).with_name("limpetwalk.capnp")
SCHEMA_ID = "0xb31f0c9a6f5e27d4"
FUTURE_SCHEMA_ID = "0xb31f0c9a6f5e27d5"


def make_heartbeat(sequence=1, boot_id="boot", zone="z1"):
    return messages.Heartbeat(
        zone=zone,
        address="127.0.0.1:1",
        boot_id=boot_id,
        sequence=sequence,
        generation=0,
        digest="",
        leaving=False,
    )


def frame(message, sender="x", call_id=0, is_reply=False):
    return codec.encode(codec.Envelope(sender, message, call_id, is_reply))


def add_length(data):
    return len(data).to_bytes(codec.LENGTH_BYTES, "little") + data


def old_protocol_frame():
    schema = capnp.load(str(SCHEMA))
    envelope = schema.Envelope.new_message(protocol=0, sender="x")
    return add_length(envelope.to_bytes())


def load_future_schema():
    """Return the schema of a later version, with one more message."""
    schema_text = SCHEMA.read_text().replace(SCHEMA_ID, FUTURE_SCHEMA_ID)
    schema_text = schema_text.replace(
        "failure @15 :Text;", "failure @15 :Text;\n    later @16 :Text;"
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "later.capnp")
        path.write_text(schema_text)
        return capnp.load(str(path))


# pycapnp can load a schema only once in a process.
FUTURE_SCHEMA = load_future_schema()


def future_frame(call_id):
    envelope = FUTURE_SCHEMA.Envelope.new_message(
        protocol=codec.PROTOCOL + 1,
        sender="x",
        callId=call_id,
        body={"later": "text"},
    )
    return add_length(envelope.to_bytes())


GREETING = frame(make_heartbeat())
OVERSIZED_LENGTH = (codec.MAX_FRAME_BYTES + 1).to_bytes(
    codec.LENGTH_BYTES, "little"
)


class LinkTestCase(unittest.IsolatedAsyncioTestCase):
    """A hub with a manual clock, and raw connections to it."""

    name = "a"

    async def asyncSetUp(self):
        self.clock = clocks.ManualClock()
        self.metrics = metrics.Metrics()
        self.hub = fakes.make_hub(
            self.name,
            fakes.FakeInstances(),
            clock=self.clock,
            registry=self.metrics,
        )
        await self.hub.start()
        self.writers = []

    async def asyncTearDown(self):
        for writer in self.writers:
            writer.transport.abort()
        await self.hub.stop()

    async def connect(self, *frames):
        host, port = self.hub.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.writers.append(writer)
        for data in frames:
            writer.write(data)
        await writer.drain()
        return reader, writer

    async def read(self, reader):
        async with asyncio.timeout(fakes.WAIT_TIMEOUT):
            prefix = await reader.readexactly(codec.LENGTH_BYTES)
            size = int.from_bytes(prefix, "little")
            return codec.decode(await reader.readexactly(size))

    async def wait_closed(self, reader):
        """Wait until the hub has closed a connection."""
        async with asyncio.timeout(fakes.WAIT_TIMEOUT):
            await reader.read()

    async def read_reply(self, reader):
        while True:
            envelope = await self.read(reader)
            if envelope.is_reply:
                return envelope

    def closed(self, reason):
        return self.metrics.value(
            "limpetwalk_peer_closed_links_total", {"reason": reason}
        )

    def value(self, name):
        return self.metrics.value(f"limpetwalk_peer_{name}")

    def live(self):
        return [peer.name for peer in self.hub.live()]

    async def is_healthy(self):
        """Return whether the hub still serves another peer."""

        async def answer(sender, message):
            return messages.SnapshotReply(message.digest, b"data")

        self.hub.subscribe(messages.SnapshotRequest, answer)
        reader, _ = await self.connect(
            frame(make_heartbeat(), sender="well"),
            frame(messages.SnapshotRequest("d"), sender="well", call_id=7),
        )
        reply = await self.read_reply(reader)
        return reply.message == messages.SnapshotReply("d", b"data")


class ClosingFaultsTest(LinkTestCase):
    async def test_faults_that_close_the_link(self):
        cases = (
            ("garbage", b"\xff" * 64, "malformed"),
            ("length zero", b"\0" * 4, "malformed"),
            ("oversized frame", OVERSIZED_LENGTH, "malformed"),
            ("garbage in a frame", add_length(b"\xff" * 64), "malformed"),
            ("empty capnp message", add_length(b"\0" * 8), "malformed"),
            ("old protocol", old_protocol_frame(), "malformed"),
            (
                "other sender",
                frame(make_heartbeat(2), sender="y"),
                "malformed",
            ),
        )
        for name, data, reason in cases:
            with self.subTest(name):
                before = self.closed(reason)
                reader, _ = await self.connect(GREETING, data)
                await self.wait_closed(reader)
                self.assertEqual(before + 1, self.closed(reason))
                self.assertTrue(await self.is_healthy())

    async def test_invalid_first_frames(self):
        cases = (
            ("no heartbeat", frame(messages.ConfigHead(1, "d"))),
            ("unknown message", future_frame(0)),
            (
                "name of the node itself",
                frame(make_heartbeat(), sender=self.name),
            ),
            ("garbage", b"\xff" * 64),
        )
        for name, data in cases:
            with self.subTest(name):
                before = self.closed("malformed")
                reader, _ = await self.connect(data)
                await self.wait_closed(reader)
                self.assertEqual(before + 1, self.closed("malformed"))
                self.assertNotIn("x", self.live())

    async def test_link_cut_within_a_frame(self):
        data = frame(messages.ConfigHead(1, "d"))
        for size in range(1, len(data)):
            with self.subTest(size=size):
                before = self.closed("ended")
                _, writer = await self.connect(GREETING, data[:size])
                writer.write_eof()
                await fakes.until(lambda: self.closed("ended") == before + 1)

    async def test_peer_that_sends_no_first_frame(self):
        with mock.patch.object(hubs, "SILENCE_TIMEOUT", 0.01):
            reader, _ = await self.connect()
            await self.wait_closed(reader)
        self.assertEqual(1, self.closed("silent"))

    async def test_silent_link_is_closed_and_the_peer_no_longer_live(self):
        reader, _ = await self.connect(GREETING)
        await fakes.until(lambda: self.live() == ["x"])
        for _ in range(4):
            self.clock.advance(1.0)
            self.hub.maintain_links()
        await self.wait_closed(reader)
        self.assertEqual(1, self.closed("silent"))
        self.assertEqual([], self.live())

    async def test_a_pause_drops_links_and_their_queued_messages(self):
        received = []

        async def receive(sender, message):
            received.append(message)

        self.hub.subscribe(messages.ConfigHead, receive)
        reader, writer = await self.connect(GREETING)
        await fakes.until(lambda: self.live() == ["x"])
        writer.write(frame(messages.ConfigHead(1, "d")))
        await writer.drain()
        self.clock.advance(10.0)
        await self.wait_closed(reader)
        self.assertEqual(1, self.closed("paused"))
        self.assertEqual([], received)
        self.assertEqual([], self.live())


class LastingFaultsTest(LinkTestCase):
    async def test_unknown_message_is_counted_and_answered(self):
        reader, _ = await self.connect(
            GREETING, future_frame(5), future_frame(0)
        )
        reply = await self.read_reply(reader)
        self.assertEqual(5, reply.call_id)
        self.assertIsInstance(reply.message, messages.Failure)
        await fakes.until(lambda: self.value("unknown_messages_total") == 2)
        self.assertEqual(["x"], self.live())

    async def test_reply_that_nobody_waits_for(self):
        reply = frame(messages.BillAck(1), call_id=99, is_reply=True)
        await self.connect(GREETING, reply)
        await fakes.until(lambda: self.value("late_replies_total") == 1)
        self.assertEqual(["x"], self.live())

    async def test_failed_handler_is_answered(self):
        async def fail(sender, message):
            raise KeyError("x")

        self.hub.subscribe(messages.PermitRequest, fail)
        req = messages.PermitRequest("s", "b", 1, False)
        reader, _ = await self.connect(GREETING, frame(req, call_id=3))
        reply = await self.read_reply(reader)
        self.assertIsInstance(reply.message, messages.Failure)
        self.assertEqual(["x"], self.live())

    async def test_half_open_link_drops_frames_beyond_its_buffer(self):
        with mock.patch.object(link_, "SEND_BUFFER_BYTES", 100_000):
            await self.connect(GREETING)
            await fakes.until(lambda: self.live() == ["x"])
            large = messages.SnapshotReply("d", bytes(range(256)) * 200)
            for _ in range(1000):
                self.hub.send("x", large)
        dropped = self.metrics.value(
            "limpetwalk_peer_dropped_messages_total",
            {"reason": "queue_full"},
        )
        self.assertGreater(dropped, 0)
        self.assertTrue(await self.is_healthy())

    async def test_replayed_and_reordered_heartbeats_do_not_count(self):
        _, writer = await self.connect(GREETING, frame(make_heartbeat(5)))
        await fakes.until(lambda: self.live() == ["x"])
        stale = "stale_heartbeats_total"
        for _ in range(4):
            self.clock.advance(1.0)
            before = self.value(stale)
            writer.write(frame(make_heartbeat(5)) + frame(make_heartbeat(4)))
            await fakes.until(
                lambda before=before: self.value(stale) == before + 2
            )
        self.assertEqual([], self.live())


class DuplicateNamesTest(LinkTestCase):
    async def test_the_later_boot_replaces_the_earlier(self):
        first, _ = await self.connect(frame(make_heartbeat(boot_id="one")))
        await fakes.until(lambda: self.live() == ["x"])
        second, _ = await self.connect(frame(make_heartbeat(boot_id="two")))
        await self.wait_closed(first)
        self.assertEqual(1, self.closed("replaced"))
        again, _ = await self.connect(frame(make_heartbeat(2, boot_id="one")))
        await self.wait_closed(again)
        self.assertEqual(1, self.value("name_conflicts_total"))
        self.assertEqual(["x"], self.live())
        await self.read(second)

    async def test_the_smaller_name_closes_the_earlier_link(self):
        first, _ = await self.connect(GREETING)
        await fakes.until(lambda: self.live() == ["x"])
        await self.connect(frame(make_heartbeat(2)))
        await self.wait_closed(first)
        self.assertEqual(1, self.closed("replaced"))


class LargerNameTest(LinkTestCase):
    name = "z"

    async def test_the_larger_name_keeps_both_links(self):
        await self.connect(GREETING)
        await self.connect(frame(make_heartbeat(2)))
        await fakes.until(lambda: self.hub.traffic().received > len(GREETING))
        self.hub.maintain_links()
        self.assertEqual(0, self.closed("replaced"))
        self.assertEqual(["x"], self.live())
