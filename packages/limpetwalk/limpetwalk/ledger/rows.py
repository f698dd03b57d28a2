"""Row format of ledger batches in the table service."""

from collections.abc import Sequence

import pydantic
import xxhash

from ..providers import base as platform
from . import base

# The limit of a row is 400 KB, including its key and other attributes.
BATCH_LIMIT_BYTES = 390_000

_ENTRIES = pydantic.TypeAdapter(list[base.BillEntry])
_ENTRY = pydantic.TypeAdapter(base.BillEntry)


def partition_name(number: int) -> str:
    """Return the name of a ledger partition in the table."""
    return f"ledger#{number}"


def batch_key(number: int, sequence: int) -> platform.RowKey:
    """Return the key of the row of a batch.

    :param number: number of the partition.
    :param sequence: sequence number of the batch, from 1.
    """
    return platform.RowKey(partition_name(number), f"{sequence:016d}")


def log_start_key(number: int) -> platform.RowKey:
    """Return the key of the row with the log's first sequence number.

    The row exists once batches were deleted.
    """
    return platform.RowKey("ledger-floor", str(number))


def sequence_of(key: platform.RowKey) -> int:
    """Return the sequence number of the batch with a row key."""
    return int(key.sort)


def key_digest(entry: base.BillEntry) -> bytes:
    """Return a 16-byte digest of the entry's unique key."""
    key = f"{entry.workspace}\0{entry.request_key}"
    return xxhash.xxh3_128_digest(key.encode())


def partition_of(entry: base.BillEntry, partitions: int) -> int:
    """Return the partition that an entry belongs to."""
    return int.from_bytes(key_digest(entry)[:8], "big") % partitions


def decode_batch(row: platform.Row) -> list[base.BillEntry]:
    """Return the entries of a batch."""
    return _ENTRIES.validate_json(row.value)


def key_digests(row: platform.Row) -> list[bytes]:
    """Return the key digests of a batch's entries, in order."""
    return [key_digest(entry) for entry in decode_batch(row)]


def encode_batch(entries: Sequence[base.BillEntry]) -> tuple[str, int]:
    """Return a batch of as many of the first entries as fit into a row.

    :returns: JSON value of the row and number of entries in it.
    :raises ValueError: when the first entry alone is too large.
    """
    parts: list[bytes] = []
    size_bytes = 2
    for entry in entries:
        part = _ENTRY.dump_json(entry)
        size_bytes += len(part) + 1
        if size_bytes > BATCH_LIMIT_BYTES:
            break
        parts.append(part)
    if not parts:
        raise ValueError(
            f"the first bill entry does not fit into {BATCH_LIMIT_BYTES} bytes"
        )
    return "[" + b",".join(parts).decode() + "]", len(parts)
