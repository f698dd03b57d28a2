"""Encoding and decoding of the frames that carry messages between nodes.

A frame is a length of four bytes in little-endian order, followed by one
Cap'n Proto ``Envelope``. The schema is loaded when this module is imported,
so a build needs no generated code.

Frames are not packed: the library's reader of packed messages terminates the
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
# Number of words that decoding may read: a fixed number, and this many for
# each word of the frame. The limit bounds the work that a small frame can
# cause, since the pointers in a frame may overlap.
READ_WORDS_PER_FRAME_WORD = 4
BASE_READ_WORDS = 1024
WORD_BYTES = 8
MS_PER_SECOND = 1000
# Value on the wire for an infinite number of seconds.
NEVER_MS = 2**32 - 1
# Fields that are floats in seconds here and integers in ms on the wire.
SECONDS_FIELDS = ("age", "confirmed_age", "ttl")

capnp.remove_import_hook()
_schema = capnp.load(str(pathlib.Path(__file__).with_name("limpetwalk.capnp")))


class MalformedFrame(exceptions.LimpetwalkError):
    """Data from a peer is not a valid frame of this protocol."""


class UnknownMessage(exceptions.LimpetwalkError):
    """A valid frame carries a message that this version does not know.

    :param sender: name of the sending node.
    :param call_id: id of the call that waits for a reply, or 0.
    """

    def __init__(self, sender: str, call_id: int) -> None:
        super().__init__(f"unknown message from {sender!r}")
        self.sender = sender
        self.call_id = call_id


class _UnknownValue(Exception):
    """A field has a value that is not in this version's schema."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """Message with the data needed to deliver it.

    :param sender: name of the sending node.
    :param message: the message.
    :param call_id: id shared by a request and its reply; 0 for a one-way
        message.
    :param is_reply: whether the message is the reply to a request.
    """

    sender: str
    message: messages.Message
    call_id: int = 0
    is_reply: bool = False


@dataclass(frozen=True, slots=True)
class _Field:
    """Mapping of a dataclass field to a field of the schema."""

    name: str
    wire_name: str
    write: Callable[[Any, str, Any], None]
    decode: Callable[[Any], Any]


def _identity(value: Any) -> Any:
    return value


def _camel_case(name: str) -> str:
    return re.sub("_([a-z])", lambda match: match.group(1).upper(), name)


def _set(builder: Any, wire_name: str, value: Any) -> None:
    setattr(builder, wire_name, value)


def _set_ms(builder: Any, wire_name: str, seconds: float) -> None:
    setattr(builder, wire_name, _to_ms(seconds))


def _set_purpose(
    builder: Any, wire_name: str, purpose: messages.Purpose
) -> None:
    setattr(builder, wire_name, purpose.value)


def _set_list(builder: Any, wire_name: str, values: tuple[Any, ...]) -> None:
    elements = builder.init(wire_name, len(values))
    for index, value in enumerate(values):
        elements[index] = value


def _set_entries(
    builder: Any, wire_name: str, entries: tuple[ledger.BillEntry, ...]
) -> None:
    elements = builder.init(wire_name, len(entries))
    for index, entry in enumerate(entries):
        _write_fields(_ENTRY_FIELDS, entry, elements[index])


def _to_ms(seconds: float) -> int:
    if seconds * MS_PER_SECOND >= NEVER_MS:
        return NEVER_MS
    return max(0, round(seconds * MS_PER_SECOND))


def _from_ms(value_ms: int) -> float:
    if value_ms == NEVER_MS:
        return math.inf
    return value_ms / MS_PER_SECOND


def _field(field: dataclasses.Field[Any], value_type: Any) -> _Field:
    wire_name = _camel_case(field.name)
    if field.name in SECONDS_FIELDS:
        return _Field(field.name, f"{wire_name}Ms", _set_ms, _from_ms)
    if value_type is messages.Purpose:
        return _Field(field.name, wire_name, _set_purpose, _decode_purpose)
    if value_type in (tuple[str, ...], tuple[int, ...]):
        return _Field(field.name, wire_name, _set_list, tuple)
    if value_type == tuple[ledger.BillEntry, ...]:
        return _Field(field.name, wire_name, _set_entries, _decode_entries)
    return _Field(field.name, wire_name, _set, _identity)


def _decode_purpose(value: Any) -> messages.Purpose:
    try:
        return messages.Purpose(str(value))
    except (ValueError, RuntimeError):
        # pycapnp raises RuntimeError for a value that is not in the schema.
        raise _UnknownValue("unknown purpose of bill entries") from None


def _fields(cls: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        _field(field, hints[field.name]) for field in dataclasses.fields(cls)
    )


def _write_fields(
    fields: tuple[_Field, ...], value: Any, builder: Any
) -> None:
    # Setting the fields one by one takes a sixth of the time that the
    # library needs to build a struct from nested dicts.
    for field in fields:
        field.write(builder, field.wire_name, getattr(value, field.name))


def _read_fields(fields: tuple[_Field, ...], reader: Any) -> dict[str, Any]:
    return {
        field.name: field.decode(getattr(reader, field.wire_name))
        for field in fields
    }


def _decode_entries(readers: Any) -> tuple[ledger.BillEntry, ...]:
    return tuple(
        ledger.BillEntry(**_read_fields(_ENTRY_FIELDS, reader))
        for reader in readers
    )


_ENTRY_FIELDS = _fields(ledger.BillEntry)
_MESSAGE_TYPES: dict[str, type] = {
    message_type.__name__[0].lower() + message_type.__name__[1:]: message_type
    for message_type in typing.get_args(messages.Message)
}
_WIRE_NAMES = {
    message_type: name for name, message_type in _MESSAGE_TYPES.items()
}
_FIELDS = {message_type: _fields(message_type) for message_type in _WIRE_NAMES}


def encode(envelope: Envelope) -> bytes:
    """Return an envelope as a frame, including the length prefix.

    :raises ValueError: when a field does not fit the schema or the frame
        would be longer than ``MAX_FRAME_BYTES``.
    """
    builder = _schema.Envelope.new_message()
    try:
        _build(builder, envelope)
    except (capnp.KjException, OverflowError, TypeError) as exc:
        raise ValueError(
            f"message cannot be encoded by the schema: {exc}"
        ) from exc
    data = builder.to_bytes()
    if len(data) > MAX_FRAME_BYTES:
        raise ValueError(
            f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES} bytes"
        )
    return len(data).to_bytes(LENGTH_BYTES, "little") + data


def _build(builder: Any, envelope: Envelope) -> None:
    message = envelope.message
    builder.protocol = PROTOCOL
    builder.sender = envelope.sender
    builder.callId = envelope.call_id
    builder.isReply = envelope.is_reply
    name = _WIRE_NAMES[type(message)]
    if isinstance(message, messages.Failure):
        setattr(builder.body, name, message.text)
        return
    _write_fields(_FIELDS[type(message)], message, builder.body.init(name))


def decode(data: bytes) -> Envelope:
    """Return the envelope of a frame.

    :param data: the frame without its length prefix.
    :raises MalformedFrame: when the data is not a valid envelope.
    :raises UnknownMessage: when the envelope carries an unknown message.
    """
    limit = (
        BASE_READ_WORDS + READ_WORDS_PER_FRAME_WORD * len(data) // WORD_BYTES
    )
    try:
        with _schema.Envelope.from_bytes(
            data, traversal_limit_in_words=limit
        ) as reader:
            return _decode(reader)
    except (capnp.KjException, UnicodeDecodeError, ValueError) as exc:
        raise MalformedFrame(str(exc).partition("\n")[0]) from exc


def _decode(reader: Any) -> Envelope:
    if reader.protocol < PROTOCOL:
        raise MalformedFrame(
            f"protocol {reader.protocol} is older than {PROTOCOL}"
        )
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
        raise _UnknownValue("unknown type of message") from None
    value = getattr(body, name)
    message_type = _MESSAGE_TYPES[name]
    if message_type is messages.Failure:
        return messages.Failure(text=value)
    return message_type(**_read_fields(_FIELDS[message_type], value))
