"""Stores accepted configurations: head row, history rows and documents.

The bytes of a document are in the object store, compressed, under their
digest. One transaction replaces the head row by that of the next generation
and adds the history row of that generation, so a change is in force exactly
when it is in the history.
"""

import dataclasses
from dataclasses import dataclass
import uuid
import zlib

import pydantic
from result import Err
from result import Ok
from result import Result

from .. import clock as clocks
from .. import exceptions
from ..providers import base as platform
from ..providers import settle
from . import compiler
from . import diff
from . import document

HEAD_KEY = platform.RowKey("config", "head")
HISTORY_PARTITION = "config-history"
OBJECT_PREFIX = "config/"
GENERATION_DIGITS = 12
PUT_ATTEMPTS = 3
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Head:
    """Generation in force.

    :param generation: 0 before the first accepted configuration.
    :param digest: SHA-256 of the document's bytes, in hexadecimal.
    :param author: operator whose change made the generation.
    :param at: when it was accepted, in seconds since the Unix epoch.
    :param summary: short description of the change.
    """

    generation: int
    digest: str
    author: str
    at: float
    summary: str = ""


NO_HEAD = Head(0, "", "", 0.0)


@dataclass(frozen=True, slots=True)
class HeadConflict:
    """Another change was accepted first, so this one was not.

    :param expected: generation that the change was based on.
    :param head: generation in force.
    :param changes: changes between the two generations, with secrets masked;
        empty when their documents can't be read.
    """

    expected: int
    head: Head
    changes: tuple[diff.Change, ...]


class CorruptHead(exceptions.LimpetwalkError):
    """A head or history row is not one that this release can read."""


class CorruptObject(exceptions.LimpetwalkError):
    """The object of a digest is missing or does not match the digest."""


class _HeadValue(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    generation: int
    digest: str
    author: str
    at: float
    summary: str = ""


class HeadStore:
    """Reads accepted configurations and accepts new ones.

    :param table: table service with the head and history rows.
    :param objects: object store with the documents' bytes.
    :param clock: source of the time of acceptance.
    """

    def __init__(
        self,
        table: platform.TableStore,
        objects: platform.ObjectStore,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock

    async def read(self) -> Head:
        """Return the head; its generation is 0 when there is none yet.

        :raises StoreUnavailable: when the table service does not answer.
        :raises CorruptHead: when this release can't read the row.
        """
        head, _ = await self._read_row()
        return head

    async def load(self, digest: str) -> bytes | None:
        """Return the bytes of a document, or None when they are missing.

        :param digest: SHA-256 of the bytes, in hexadecimal.
        :raises StoreUnavailable: when the object store does not answer.
        :raises CorruptObject: when the bytes do not match the digest.
        """
        packed = await self._objects.get(OBJECT_PREFIX + digest)
        if packed is None:
            return None
        data = _unpack(packed)
        if data is None or compiler.digest_of(data) != digest:
            raise CorruptObject(
                f"got an object with other or truncated contents, expected "
                f"those of digest {digest}"
            )
        return data

    async def history(self, limit: int = 20) -> list[Head]:
        """Return the newest accepted generations, newest first.

        :param limit: maximum number of generations to return.
        :raises StoreUnavailable: when the table service does not answer.
        :raises CorruptHead: when this release can't read a row.
        """
        head = await self.read()
        oldest = max(0, head.generation - limit)
        rows = await self._table.query(
            HISTORY_PARTITION, after=_sort_name(oldest), limit=limit
        )
        return [_parse(row) for row in reversed(rows)]

    async def read_generation(self, number: int) -> Head | None:
        """Return an accepted generation by its number, or None.

        :raises StoreUnavailable: when the table service does not answer.
        :raises CorruptHead: when this release can't read the row.
        """
        row = await self._table.get(_history_key(number))
        return _parse(row) if row is not None else None

    async def accept(
        self,
        data: bytes,
        expected_generation: int,
        author: str,
        summary: str = "",
    ) -> Result[Head, HeadConflict]:
        """Make a document the next generation.

        :param data: canonical bytes of a checked document.
        :param expected_generation: generation that the change is based on;
            0 for the first.
        :param author: operator who makes the change.
        :param summary: short description of the change.
        :returns: the new generation; or the conflict when another generation
            than the expected one is in force.
        :raises StoreUnavailable: when nothing was accepted.
        :raises StoreOutcomeUnknown: when the change may have been accepted.
        """
        digest = compiler.digest_of(data)
        await self._put_object(digest, data)
        current, row_version = await self._read_row()
        if current.generation != expected_generation:
            return Err(await self.conflict_since(expected_generation, current))
        head = Head(
            generation=current.generation + 1,
            digest=digest,
            author=author,
            at=self._clock.wall(),
            summary=summary,
        )
        value = _HeadValue(**dataclasses.asdict(head)).model_dump_json()
        writes = [
            platform.Put(HEAD_KEY, value, row_version),
            platform.Put(_history_key(head.generation), value, 0),
        ]
        outcome = await settle.transact_settled(
            self._table, writes, uuid.uuid4().hex
        )
        if isinstance(outcome, Ok):
            return Ok(head)
        return Err(
            await self.conflict_since(expected_generation, await self.read())
        )

    async def load_document(self, head: Head | None) -> document.Document:
        """Return the document of a generation; empty for generation 0.

        :raises StoreUnavailable: when the object store does not answer.
        :raises CorruptObject: when its bytes are missing or do not match
            their digest.
        :raises InvalidDocument: when this release can't read them.
        """
        if head is None or not head.generation:
            return document.Document()
        data = await self.load(head.digest)
        if data is None:
            raise CorruptObject(
                f"got no object, expected the document of generation "
                f"{head.generation} with digest {head.digest}"
            )
        try:
            return document.Document.from_bytes(data)
        except pydantic.ValidationError as exc:
            raise compiler.InvalidDocument.from_validation_error(exc) from None

    async def conflict_since(self, expected: int, head: Head) -> HeadConflict:
        """Return a conflict with the changes since a generation.

        :param expected: generation that a change was based on.
        :param head: generation in force.
        """
        changes: tuple[diff.Change, ...] = ()
        try:
            old_document = await self.load_document(
                await self.read_generation(expected)
            )
            new_document = await self.load_document(head)
            changes = tuple(diff.diff_documents(old_document, new_document))
        except exceptions.LimpetwalkError:
            # The conflict is reported even when its documents can't be read.
            pass
        return HeadConflict(expected, head, changes)

    async def _read_row(self) -> tuple[Head, int]:
        """Return the head and the version of its row, 0 when it is absent."""
        row = await self._table.get(HEAD_KEY)
        return (NO_HEAD, 0) if row is None else (_parse(row), row.version)

    async def _put_object(self, digest: str, data: bytes) -> None:
        """Store a document's bytes, packed, in the object store.

        No row refers to them yet, so a put whose outcome is unknown is read
        back or retried, and a failure leaves nothing to undo.
        """
        name = OBJECT_PREFIX + digest
        packed = zlib.compress(data)
        for _ in range(PUT_ATTEMPTS):
            try:
                outcome = await self._objects.put_if_absent(name, packed)
            except exceptions.StoreOutcomeUnknown:
                if await self.load(digest) is not None:
                    return
                continue
            if isinstance(outcome, Err):
                # An earlier writer may have left a truncated object; load
                # raises an exception then.
                await self.load(digest)
            return
        raise exceptions.StoreUnavailable(
            f"the object store did not confirm the put of {name!r} in "
            f"{PUT_ATTEMPTS} attempts"
        )


def _unpack(packed: bytes) -> bytes | None:
    """Return a document's bytes.

    :returns: None when the packed bytes are invalid or truncated, or when
        the document is larger than ``MAX_DOCUMENT_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error:
        return None
    return data if decompressor.eof else None


def _sort_name(generation: int) -> str:
    """Return a generation's sort key, padded so that it sorts by number."""
    return f"{generation:0{GENERATION_DIGITS}d}"


def _history_key(generation: int) -> platform.RowKey:
    return platform.RowKey(HISTORY_PARTITION, _sort_name(generation))


def _parse(row: platform.Row) -> Head:
    try:
        value = _HeadValue.model_validate_json(row.value)
    except pydantic.ValidationError:
        raise CorruptHead(
            f"got a row {row.key.sort!r} that is not a valid head, expected "
            f"generation, digest, author and time"
        ) from None
    return Head(**dict(value))
