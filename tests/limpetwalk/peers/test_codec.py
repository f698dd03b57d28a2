"""Tests of encoding and decoding the frames between nodes."""

import math
import random
import unittest

import hypothesis
from hypothesis import strategies

from limpetwalk.ledger import base as ledger
from limpetwalk.peers import codec
from limpetwalk.peers import messages

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)

texts = strategies.text(max_size=40)
words = strategies.integers(0, 2**64 - 1)
counts = strategies.integers(0, 2**32 - 1)
small = strategies.integers(0, 2**16 - 1)
numbers = strategies.floats(allow_nan=False, allow_infinity=False)
seconds = strategies.integers(0, 10**9).map(lambda ms: ms / 1000)
ages = strategies.one_of(seconds, strategies.just(math.inf))

entries = strategies.builds(
    ledger.BillEntry,
    workspace=texts,
    request_key=texts,
    request_id=texts,
    subject=texts,
    steps=strategies.lists(texts, max_size=4).map(tuple),
    input_tokens=counts,
    output_tokens=counts,
    cost=words,
    answered_at=numbers,
    node=texts,
)

MESSAGES = strategies.one_of(
    strategies.builds(
        messages.Heartbeat,
        zone=texts,
        address=texts,
        boot_id=texts,
        sequence=words,
        generation=words,
        digest=texts,
        leaving=strategies.booleans(),
        confirmed_age=ages,
        nodes=small,
    ),
    strategies.builds(messages.ConfigHead, generation=words, digest=texts),
    strategies.builds(messages.SnapshotRequest, digest=texts),
    strategies.builds(
        messages.SnapshotReply, digest=texts, data=strategies.binary()
    ),
    strategies.builds(
        messages.BillEntries,
        partition=small,
        entries=strategies.lists(entries, max_size=5).map(tuple),
        purpose=strategies.sampled_from(messages.Purpose),
    ),
    strategies.builds(messages.BillAck, accepted=counts),
    strategies.builds(
        messages.PermitRequest,
        server=texts,
        boot_id=texts,
        count=small,
        release=strategies.booleans(),
    ),
    strategies.builds(
        messages.PermitReply,
        server=texts,
        granted=small,
        fencing=words,
        ttl=strategies.integers(0, 2**31).map(lambda ms: ms / 1000),
    ),
    strategies.builds(
        messages.CrashReport, fingerprint=texts, server=texts, boot_id=texts
    ),
    strategies.builds(
        messages.ServerReport,
        server=texts,
        boot_id=texts,
        running=counts,
        waiting=counts,
        token_ms=strategies.floats(width=32, allow_nan=False),
        age=seconds.filter(lambda age: age < 4_000_000),
    ),
    strategies.builds(
        messages.Evidence,
        subject=texts,
        version=texts,
        window=words,
        successes=counts,
        failures=counts,
        total=numbers,
        squares=numbers,
        rated=counts,
    ),
    strategies.builds(messages.Failure, text=texts),
)


ENTRY = ledger.BillEntry("w", "k", "r", "s", ("a", "b"), 1, 2, 3, 4.0, "n")
EXAMPLES = (
    messages.Heartbeat("z", "a:1", "boot", 5, 7, "d" * 64, False),
    messages.BillEntries(3, (ENTRY,) * 5, messages.Purpose.WRITE),
    messages.SnapshotReply("d", bytes(range(256)) * 4),
    messages.CrashReport("f", "s", "b"),
    messages.Failure("x"),
)


def body_of(message):
    """Return the frame of a message without its length prefix."""
    envelope = codec.Envelope("sender", message, call_id=3)
    return codec.encode(envelope)[codec.LENGTH_BYTES :]


class RoundTripTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(MESSAGES, texts, words, strategies.booleans())
    def test_decode_reverses_encode(self, message, sender, call_id, is_reply):
        envelope = codec.Envelope(sender, message, call_id, is_reply)
        frame = codec.encode(envelope)
        size = int.from_bytes(frame[: codec.LENGTH_BYTES], "little")
        self.assertEqual(len(frame) - codec.LENGTH_BYTES, size)
        self.assertEqual(envelope, codec.decode(frame[codec.LENGTH_BYTES :]))

    def test_a_field_out_of_range_is_rejected(self):
        cases = (
            messages.BillAck(2**32),
            messages.BillAck(-1),
            messages.PermitRequest("s", "b", 2**16, False),
            messages.Heartbeat("z", "a", "b", -1, 0, "", False),
        )
        for message in cases:
            with self.subTest(message), self.assertRaises(ValueError):
                body_of(message)

    def test_a_frame_over_the_limit_is_rejected(self):
        # Packing would shorten only zeros, so none are used.
        data = b"\x01" * (codec.MAX_FRAME_BYTES + 1)
        with self.assertRaises(ValueError):
            body_of(messages.SnapshotReply("d", data))

    def test_a_heartbeat_without_a_confirmed_age_has_an_infinite_one(self):
        beat = messages.Heartbeat("z", "a", "b", 1, 0, "", False)
        self.assertEqual(
            math.inf, codec.decode(body_of(beat)).message.confirmed_age
        )


class FuzzTest(unittest.TestCase):
    """Decoding arbitrary data raises only the two documented errors."""

    def decode(self, data):
        try:
            return codec.decode(data)
        except (codec.MalformedFrame, codec.UnknownMessage):
            return None

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=400))
    def test_random_bytes(self, data):
        self.decode(data)

    @SETTINGS
    @hypothesis.given(MESSAGES, strategies.data())
    def test_truncated_frames(self, message, data):
        frame = body_of(message)
        size = data.draw(strategies.integers(0, len(frame)))
        self.decode(frame[:size])

    @SETTINGS
    @hypothesis.given(MESSAGES, strategies.data())
    def test_frames_with_changed_bytes(self, message, data):
        changed = bytearray(body_of(message))
        for _ in range(data.draw(strategies.integers(1, 8))):
            position = data.draw(strategies.integers(0, len(changed) - 1))
            changed[position] = data.draw(strategies.integers(0, 255))
        envelope = self.decode(bytes(changed))
        if envelope is not None:
            self.assertIsInstance(envelope.message, messages.Message)

    def test_many_changed_frames_do_not_end_the_process(self):
        # The reader of packed frames terminated the process on one in some
        # thousands of such frames.
        rng = random.Random(1)
        frames = [body_of(message) for message in EXAMPLES]
        for _ in range(20_000):
            changed = bytearray(rng.choice(frames))
            for _ in range(rng.randrange(1, 6)):
                position = rng.randrange(min(len(changed), 64))
                changed[position] = rng.choice((0, 1, 2, 255))
            size = rng.choice((len(changed), rng.randrange(len(changed))))
            self.decode(bytes(changed[:size]))

    def test_a_small_frame_does_not_decode_to_many_entries(self):
        # The tag of the list declares 2 ** 24 entries of size zero.
        changed = bytearray(
            body_of(messages.BillEntries(1, (), messages.Purpose.WRITE))
        )
        changed[-8:] = (2**24 << 2).to_bytes(8, "little")
        with self.assertRaises(codec.MalformedFrame):
            codec.decode(bytes(changed))
