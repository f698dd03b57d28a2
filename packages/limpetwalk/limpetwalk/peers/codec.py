"""Conversion between messages and the frames that carry them.

A frame is one Cap'n Proto ``Envelope`` behind its length, four bytes in
little-endian order. The schema is read when this module is imported, so a
build needs no generated code.

Frames are not packed: the library's reader of packed messages ends the
process, without an exception, on some malformed ones.
"""

from collections.abc import Callable
import dataclasses
from dataclasses import dataclass
import math
import pathlib
import re
import typing
from typing import Any

import capnp

from .. import exceptions
from ..ledger import base as ledger
from . import messages

PROTOCOL = 1
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 8 * 1024 * 1024
# Bounds the work that a small frame can cause, as pointers may overlap.
READS_PER_WORD = 4
LEAST_READS = 1024
WORD_BYTES = 8
MS_PER_SECOND = 1000
NEVER_MS = 2**32 - 1
SECONDS_FIELDS = ("age", "confirmed_age", "ttl")

capnp.remove_import_hook()
_schema = capnp.load(str(pathlib.Path(__file__).with_name("limpetwalk.capnp")))


class MalformedFrame(exceptions.LimpetwalkError):
    """Bytes from a peer are no frame of this protocol."""


class UnknownMessage(exceptions.LimpetwalkError):
    """A whole frame carries a message that this version does not know.

    :param sender: name of the sending node.
    :param call_id: call that waits for a reply, or 0.
    """

    def __init__(self, sender: str, call_id: int) -> None:
        super().__init__(f"unknown message from {sender!r}")
        self.sender = sender
        self.call_id = call_id


class _UnknownValue(Exception):
    """A field has a value that this version does not know."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """Message with what the link needs to deliver it.

    :param sender: name of the node that made the message.
    :param message: the message.
    :param call_id: shared by a request and its reply; 0 is one-way.
    :param is_reply: whether it answers a request.
    """

    sender: str
    message: messages.Message
    call_id: int = 0
    is_reply: bool = False


@dataclass(frozen=True, slots=True)
class _Field:
    name: str
    wire: str
    put: Callable[[Any, str, Any], None]
    decode: Callable[[Any], Any]


def _same(value: Any) -> Any:
    return value


def _camel(name: str) -> str:
    return re.sub("_([a-z])", lambda found: found.group(1).upper(), name)


def _put(builder: Any, wire: str, value: Any) -> None:
    setattr(builder, wire, value)


def _put_ms(builder: Any, wire: str, seconds: float) -> None:
    setattr(builder, wire, _to_ms(seconds))


def _put_purpose(builder: Any, wire: str, purpose: messages.Purpose) -> None:
    setattr(builder, wire, purpose.value)


def _put_list(builder: Any, wire: str, values: tuple[Any, ...]) -> None:
    built = builder.init(wire, len(values))
    for number, value in enumerate(values):
        built[number] = value


def _put_entries(
    builder: Any, wire: str, entries: tuple[ledger.BillEntry, ...]
) -> None:
    built = builder.init(wire, len(entries))
    for number, entry in enumerate(entries):
        _fill(_ENTRY_FIELDS, entry, built[number])


def _to_ms(seconds: float) -> int:
    if seconds * MS_PER_SECOND >= NEVER_MS:
        return NEVER_MS
    return max(0, round(seconds * MS_PER_SECOND))


def _from_ms(value_ms: int) -> float:
    if value_ms == NEVER_MS:
        return math.inf
    return value_ms / MS_PER_SECOND


def _field(field: dataclasses.Field[Any], kind: Any) -> _Field:
    wire = _camel(field.name)
    if field.name in SECONDS_FIELDS:
        return _Field(field.name, f"{wire}Ms", _put_ms, _from_ms)
    if kind is messages.Purpose:
        return _Field(field.name, wire, _put_purpose, _decode_purpose)
    if kind in (tuple[str, ...], tuple[int, ...]):
        return _Field(field.name, wire, _put_list, tuple)
    if kind == tuple[ledger.BillEntry, ...]:
        return _Field(field.name, wire, _put_entries, _decode_entries)
    return _Field(field.name, wire, _put, _same)


def _decode_purpose(value: Any) -> messages.Purpose:
    try:
        return messages.Purpose(str(value))
    except (ValueError, RuntimeError):
        # The library raises RuntimeError for a value that is not in the
        # schema.
        raise _UnknownValue("unknown purpose") from None


def _fields(kind: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(kind)
    return tuple(
        _field(field, hints[field.name]) for field in dataclasses.fields(kind)
    )


def _fill(fields: tuple[_Field, ...], value: Any, builder: Any) -> None:
    # Setting fields one by one takes a sixth of the time that the library
    # takes to build a struct from nested dicts.
    for field in fields:
        field.put(builder, field.wire, getattr(value, field.name))


def _from_wire(fields: tuple[_Field, ...], reader: Any) -> dict[str, Any]:
    return {
        field.name: field.decode(getattr(reader, field.wire))
        for field in fields
    }


def _decode_entries(readers: Any) -> tuple[ledger.BillEntry, ...]:
    return tuple(
        ledger.BillEntry(**_from_wire(_ENTRY_FIELDS, reader))
        for reader in readers
    )


_ENTRY_FIELDS = _fields(ledger.BillEntry)
_KINDS: dict[str, type] = {
    kind.__name__[0].lower() + kind.__name__[1:]: kind
    for kind in typing.get_args(messages.Message)
}
_WIRE_NAMES = {kind: name for name, kind in _KINDS.items()}
_FIELDS = {kind: _fields(kind) for kind in _WIRE_NAMES}


def encode(envelope: Envelope) -> bytes:
    """Return the frame of an envelope, with its length in front.

    :raises ValueError: when a field does not fit the schema or the frame
        would be longer than ``MAX_FRAME_BYTES``.
    """
    built = _schema.Envelope.new_message()
    try:
        _build(built, envelope)
    except (capnp.KjException, OverflowError, TypeError) as exc:
        raise ValueError(f"message does not fit the schema: {exc}") from exc
    data = built.to_bytes()
    if len(data) > MAX_FRAME_BYTES:
        raise ValueError(f"frame of {len(data)} bytes is too long")
    return len(data).to_bytes(LENGTH_BYTES, "little") + data


def _build(built: Any, envelope: Envelope) -> None:
    message = envelope.message
    built.protocol = PROTOCOL
    built.sender = envelope.sender
    built.callId = envelope.call_id
    built.isReply = envelope.is_reply
    name = _WIRE_NAMES[type(message)]
    if isinstance(message, messages.Failure):
        setattr(built.body, name, message.text)
        return
    _fill(_FIELDS[type(message)], message, built.body.init(name))


def decode(data: bytes) -> Envelope:
    """Return the envelope in a frame, given without its length.

    :raises MalformedFrame: when the bytes hold no envelope.
    :raises UnknownMessage: when they hold one of an unknown message.
    """
    limit = LEAST_READS + READS_PER_WORD * len(data) // WORD_BYTES
    try:
        with _schema.Envelope.from_bytes(
            data, traversal_limit_in_words=limit
        ) as reader:
            return _decode(reader)
    except (capnp.KjException, UnicodeDecodeError, ValueError) as exc:
        raise MalformedFrame(str(exc).partition("\n")[0]) from exc


def _decode(reader: Any) -> Envelope:
    if reader.protocol < PROTOCOL:
        raise MalformedFrame(f"protocol {reader.protocol} is too old")
    try:
        message = _decode_body(reader.body)
    except _UnknownValue:
        raise UnknownMessage(reader.sender, reader.callId) from None
    return Envelope(
        sender=reader.sender,
        message=message,
        call_id=reader.callId,
        is_reply=reader.isReply,
    )


def _decode_body(body: Any) -> messages.Message:
    try:
        name = str(body.which())
    except capnp.KjException:
        raise _UnknownValue("unknown message") from None
    value = getattr(body, name)
    kind = _KINDS[name]
    if kind is messages.Failure:
        return messages.Failure(text=value)
    return kind(**_from_wire(_FIELDS[kind], value))
