"""Bill entries of this node that are not known to be durable yet."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from limpetwalk.ledger import base as ledger


@dataclass(frozen=True, slots=True)
class EntryKey:
    """Unique key of a bill entry."""

    workspace: str
    request_key: str


def key_of(entry: ledger.BillEntry) -> EntryKey:
    """Return the key of an entry."""
    return EntryKey(entry.workspace, entry.request_key)


@dataclass(slots=True, eq=False)
class PendingEntry:
    """Entry that is not known to be durable yet.

    :param entry: bill entry.
    :param partition: ledger partition that the entry belongs to.
    :param added_at: monotonic instant at which the entry was added.
    :param durable: done once the entry is durable.
    :param copy_holder: name of the peer that holds a copy, or empty.
    :param spill: name of the spill object with the entry, or empty.
    """

    entry: ledger.BillEntry
    partition: int
    added_at: float
    durable: asyncio.Future[None]
    copy_holder: str = ""
    spill: str = ""

    @property
    def is_safe(self) -> bool:
        """Whether the entry survives the loss of this node."""
        return self.durable.done() or bool(self.copy_holder or self.spill)


class Backlog:
    """Entries that this node must write to the ledger, by key."""

    def __init__(self) -> None:
        self._pending: dict[EntryKey, PendingEntry] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(
        self, entry: ledger.BillEntry, partition: int, now: float
    ) -> PendingEntry:
        """Add an entry, or return the existing one with the same key."""
        key = key_of(entry)
        if key not in self._pending:
            fut = asyncio.get_running_loop().create_future()
            self._pending[key] = PendingEntry(entry, partition, now, fut)
        return self._pending[key]

    def mark_durable(self, entries: Iterable[PendingEntry]) -> None:
        """Remove entries that are durable and complete their futures."""
        for pending in entries:
            self._pending.pop(key_of(pending.entry), None)
            if not pending.durable.done():
                pending.durable.set_result(None)

    def of_partition(self, partition: int) -> list[PendingEntry]:
        """Return the entries of a partition, the oldest first."""
        return [
            pending
            for pending in self._pending.values()
            if pending.partition == partition
        ]

    def all(self) -> list[PendingEntry]:
        """Return every entry, the oldest first."""
        return list(self._pending.values())
