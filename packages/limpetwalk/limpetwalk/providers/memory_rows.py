"""Rows of the in-process table service."""

import bisect
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import itertools

from result import Err
from result import Ok
from result import Result

from . import base


@dataclass(slots=True)
class _Partition:
    """Rows of one partition.

    :param rows: rows by sort name, in the order of their first writes.
    :param names: sort names, sorted.
    """

    rows: dict[str, base.Row] = field(default_factory=dict)
    names: list[str] = field(default_factory=list)

    def put(self, row: base.Row) -> None:
        """Add or replace a row."""
        if row.key.sort not in self.rows:
            bisect.insort(self.names, row.key.sort)
        self.rows[row.key.sort] = row

    def delete(self, sort: str) -> None:
        """Remove a row."""
        del self.rows[sort]
        del self.names[bisect.bisect_left(self.names, sort)]

    def select(
        self, after: str, prefix: str, limit: int, descending: bool
    ) -> list[base.Row]:
        """Return rows as ``TableStore.query`` does."""
        names = self.names
        if after and descending:
            names = names[: bisect.bisect_left(names, after)]
        elif after:
            names = names[bisect.bisect_right(names, after) :]
        ordered = reversed(names) if descending else iter(names)
        matching = (name for name in ordered if name.startswith(prefix))
        return [self.rows[name] for name in itertools.islice(matching, limit)]


class Rows:
    """Rows of a table, changed by conditional transactions."""

    def __init__(self) -> None:
        self._partitions: dict[str, _Partition] = {}

    def get(self, key: base.RowKey) -> base.Row | None:
        """Return a row, or None when it is absent."""
        partition = self._partitions.get(key.partition)
        return None if partition is None else partition.rows.get(key.sort)

    def query(
        self,
        partition: str,
        after: str = "",
        prefix: str = "",
        limit: int = 1000,
        descending: bool = False,
    ) -> list[base.Row]:
        """Return rows of a partition as ``TableStore.query`` does."""
        stored = self._partitions.get(partition)
        if stored is None:
            return []
        return stored.select(after, prefix, limit, descending)

    def transact(
        self, writes: Sequence[base.Write], write_id: str
    ) -> Result[None, base.Conflict]:
        """Apply all writes or none.

        :raises ValueError: when two writes are on the same row, or when there
            are none or more than ``TRANSACTION_LIMIT``.
        """
        if len({write.key for write in writes}) != len(writes):
            raise ValueError("two writes of a transaction are on the same row")
        if not 0 < len(writes) <= base.TRANSACTION_LIMIT:
            raise ValueError(
                f"transaction of {len(writes)} writes, expected 1 to"
                f" {base.TRANSACTION_LIMIT}"
            )
        failed_keys = tuple(
            write.key
            for write in writes
            if self._version(write.key) != write.expect_version
        )
        if failed_keys:
            return Err(base.Conflict(failed_keys))
        for write in writes:
            self._apply(write, write_id)
        return Ok(None)

    def in_write_order(self, partition: str) -> list[base.Row]:
        """Return rows of a partition in the order of their first writes."""
        stored = self._partitions.get(partition)
        return [] if stored is None else list(stored.rows.values())

    def expire(self, now: float) -> int:
        """Delete the rows that have expired.

        :param now: Unix time in seconds.
        :returns: number of rows deleted.
        """
        expired = [
            row.key
            for partition in self._partitions.values()
            for row in partition.rows.values()
            if row.expires_at is not None and row.expires_at <= now
        ]
        for key in expired:
            self._partitions[key.partition].delete(key.sort)
        return len(expired)

    def _version(self, key: base.RowKey) -> int:
        row = self.get(key)
        return 0 if row is None else row.version

    def _apply(self, write: base.Write, write_id: str) -> None:
        partition = self._partitions.setdefault(
            write.key.partition, _Partition()
        )
        if isinstance(write, base.Put):
            row = base.Row(
                key=write.key,
                version=write.expect_version + 1,
                write_id=write_id,
                value=write.value,
                expires_at=write.expires_at,
            )
            partition.put(row)
        elif isinstance(write, base.Delete):
            partition.delete(write.key.sort)
