"""Contract of a node's peer interface under faults of the other end.

The other end is a bare TCP connection that a test writes frames to.
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
OLD = "0xb31f0c9a6f5e27d4"
NEW = "0xb31f0c9a6f5e27d5"


def beat(sequence=1, boot_id="boot", zone="z1"):
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


def with_length(data):
    return len(data).to_bytes(codec.LENGTH_BYTES, "little") + data


def old_protocol_frame():
    schema = capnp.load(str(SCHEMA))
    built = schema.Envelope.new_message(protocol=0, sender="x")
    return with_length(built.to_bytes())


def load_future_schema():
    """Return the schema of a later version, with one message more."""
    text = SCHEMA.read_text().replace(OLD, NEW)
    text = text.replace(
        "failure @15 :Text;", "failure @15 :Text;\n    later @16 :Text;"
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "later.capnp")
        path.write_text(text)
        return capnp.load(str(path))


# The library knows each schema once in a process.
FUTURE = load_future_schema()


def future_frame(call_id):
    built = FUTURE.Envelope.new_message(
        protocol=codec.PROTOCOL + 1,
        sender="x",
        callId=call_id,
        body={"later": "text"},
    )
    return with_length(built.to_bytes())


HELLO = frame(beat())
HUGE = (codec.MAX_FRAME_BYTES + 1).to_bytes(codec.LENGTH_BYTES, "little")


class LinkCase(unittest.IsolatedAsyncioTestCase):
    """A hub with a manual clock, and bare connections to it."""

    name = "a"

    async def asyncSetUp(self):
        self.clock = clocks.ManualClock()
        self.metrics = metrics.Metrics()
        self.hub = fakes.make_hub(
            self.name,
            fakes.FakeInstances(),
            clock=self.clock,
            counted=self.metrics,
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
            head = await reader.readexactly(codec.LENGTH_BYTES)
            size = int.from_bytes(head, "little")
            return codec.decode(await reader.readexactly(size))

    async def ended(self, reader):
        """Return once the hub has closed a connection."""
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
        """Tell whether another peer is served as ever."""

        async def answer(sender, message):
            return messages.SnapshotReply(message.digest, b"data")

        self.hub.subscribe(messages.SnapshotRequest, answer)
        reader, _ = await self.connect(
            frame(beat(), sender="well"),
            frame(messages.SnapshotRequest("d"), sender="well", call_id=7),
        )
        reply = await self.read_reply(reader)
        return reply.message == messages.SnapshotReply("d", b"data")


class ClosingFaultsTest(LinkCase):
    async def test_faults_that_close_the_link(self):
        cases = (
            ("garbage", b"\xff" * 64, "malformed"),
            ("length zero", b"\0" * 4, "malformed"),
            ("oversized frame", HUGE, "malformed"),
            ("garbage in a frame", with_length(b"\xff" * 64), "malformed"),
            ("empty capnp message", with_length(b"\0" * 8), "malformed"),
            ("old protocol", old_protocol_frame(), "malformed"),
            ("other sender", frame(beat(2), sender="y"), "malformed"),
        )
        for name, data, reason in cases:
            with self.subTest(name):
                before = self.closed(reason)
                reader, _ = await self.connect(HELLO, data)
                await self.ended(reader)
                self.assertEqual(before + 1, self.closed(reason))
                self.assertTrue(await self.is_healthy())

    async def test_first_frames_that_are_no_greeting(self):
        cases = (
            ("no heartbeat", frame(messages.ConfigHead(1, "d"))),
            ("unknown message", future_frame(0)),
            ("name of the node itself", frame(beat(), sender=self.name)),
            ("garbage", b"\xff" * 64),
        )
        for name, data in cases:
            with self.subTest(name):
                before = self.closed("malformed")
                reader, _ = await self.connect(data)
                await self.ended(reader)
                self.assertEqual(before + 1, self.closed("malformed"))
                self.assertNotIn("x", self.live())

    async def test_link_cut_within_a_frame(self):
        data = frame(messages.ConfigHead(1, "d"))
        for size in range(1, len(data)):
            with self.subTest(size=size):
                before = self.closed("ended")
                _, writer = await self.connect(HELLO, data[:size])
                writer.write_eof()
                await fakes.until(lambda: self.closed("ended") == before + 1)

    async def test_peer_that_never_greets(self):
        with mock.patch.object(hubs, "SILENCE_TIMEOUT", 0.01):
            reader, _ = await self.connect()
            await self.ended(reader)
        self.assertEqual(1, self.closed("silent"))

    async def test_silent_link_is_closed_and_the_peer_no_longer_live(self):
        reader, _ = await self.connect(HELLO)
        await fakes.until(lambda: self.live() == ["x"])
        for _ in range(4):
            self.clock.advance(1.0)
            self.hub.maintain_links()
        await self.ended(reader)
        self.assertEqual(1, self.closed("silent"))
        self.assertEqual([], self.live())

    async def test_a_pause_drops_links_and_their_queued_messages(self):
        got = []

        async def take(sender, message):
            got.append(message)

        self.hub.subscribe(messages.ConfigHead, take)
        reader, writer = await self.connect(HELLO)
        await fakes.until(lambda: self.live() == ["x"])
        writer.write(frame(messages.ConfigHead(1, "d")))
        await writer.drain()
        self.clock.advance(10.0)
        await self.ended(reader)
        self.assertEqual(1, self.closed("paused"))
        self.assertEqual([], got)
        self.assertEqual([], self.live())


class LastingFaultsTest(LinkCase):
    async def test_unknown_message_is_counted_and_answered(self):
        reader, _ = await self.connect(HELLO, future_frame(5), future_frame(0))
        reply = await self.read_reply(reader)
        self.assertEqual(5, reply.call_id)
        self.assertIsInstance(reply.message, messages.Failure)
        await fakes.until(lambda: self.value("unknown_messages_total") == 2)
        self.assertEqual(["x"], self.live())

    async def test_reply_that_nobody_waits_for(self):
        reply = frame(messages.BillAck(1), call_id=99, is_reply=True)
        await self.connect(HELLO, reply)
        await fakes.until(lambda: self.value("late_replies_total") == 1)
        self.assertEqual(["x"], self.live())

    async def test_handler_that_fails(self):
        async def fail(sender, message):
            raise KeyError("x")

        self.hub.subscribe(messages.PermitRequest, fail)
        req = messages.PermitRequest("s", "b", 1, False)
        reader, _ = await self.connect(HELLO, frame(req, call_id=3))
        reply = await self.read_reply(reader)
        self.assertIsInstance(reply.message, messages.Failure)
        self.assertEqual(["x"], self.live())

    async def test_half_open_link_drops_what_it_cannot_send(self):
        with mock.patch.object(link_, "SEND_BUFFER_BYTES", 100_000):
            await self.connect(HELLO)
            await fakes.until(lambda: self.live() == ["x"])
            big = messages.SnapshotReply("d", bytes(range(256)) * 200)
            for _ in range(1000):
                self.hub.send("x", big)
        dropped = self.metrics.value(
            "limpetwalk_peer_dropped_messages_total",
            {"reason": "queue_full"},
        )
        self.assertGreater(dropped, 0)
        self.assertTrue(await self.is_healthy())

    async def test_replayed_and_reordered_heartbeats_do_not_count(self):
        _, writer = await self.connect(HELLO, frame(beat(5)))
        await fakes.until(lambda: self.live() == ["x"])
        stale = "stale_heartbeats_total"
        for _ in range(4):
            self.clock.advance(1.0)
            before = self.value(stale)
            writer.write(frame(beat(5)) + frame(beat(4)))
            await fakes.until(
                lambda before=before: self.value(stale) == before + 2
            )
        self.assertEqual([], self.live())


class DuplicateNamesTest(LinkCase):
    async def test_the_later_boot_replaces_the_earlier(self):
        first, _ = await self.connect(frame(beat(boot_id="one")))
        await fakes.until(lambda: self.live() == ["x"])
        second, _ = await self.connect(frame(beat(boot_id="two")))
        await self.ended(first)
        self.assertEqual(1, self.closed("replaced"))
        again, _ = await self.connect(frame(beat(2, boot_id="one")))
        await self.ended(again)
        self.assertEqual(1, self.value("name_conflicts_total"))
        self.assertEqual(["x"], self.live())
        await self.read(second)

    async def test_the_smaller_name_closes_the_earlier_link(self):
        first, _ = await self.connect(HELLO)
        await fakes.until(lambda: self.live() == ["x"])
        await self.connect(frame(beat(2)))
        await self.ended(first)
        self.assertEqual(1, self.closed("replaced"))


class LargerNameTest(LinkCase):
    name = "z"

    async def test_the_larger_name_keeps_both_links(self):
        await self.connect(HELLO)
        await self.connect(frame(beat(2)))
        await fakes.until(lambda: self.hub.traffic().received > len(HELLO))
        self.hub.maintain_links()
        self.assertEqual(0, self.closed("replaced"))
        self.assertEqual(["x"], self.live())
