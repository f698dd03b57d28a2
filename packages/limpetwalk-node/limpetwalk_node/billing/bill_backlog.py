"""Bill entries of this node that are not known to be durable."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from limpetwalk.ledger import base as ledger


@dataclass(frozen=True, slots=True)
class EntryKey:
    """What identifies a bill entry."""

    workspace: str
    request_key: str


def key_of(entry: ledger.BillEntry) -> EntryKey:
    """Return the key of an entry."""
    return EntryKey(entry.workspace, entry.request_key)


@dataclass(slots=True, eq=False)
class HeldEntry:
    """Entry that waits to become durable.

    :param entry: the entry.
    :param partition: ledger partition that it belongs to.
    :param since: monotonic instant at which this node took it.
    :param durable: done once the entry is durable.
    :param holder: peer that holds a copy, or empty.
    :param spill: object of the object store that it is in, or empty.
    """

    entry: ledger.BillEntry
    partition: int
    since: float
    durable: asyncio.Future[None]
    holder: str = ""
    spill: str = ""

    @property
    def is_safe(self) -> bool:
        """Whether the loss of this node can't lose the entry."""
        return self.durable.done() or bool(self.holder or self.spill)


class Backlog:
    """Entries that this node must bring into the ledger, by their key."""

    def __init__(self) -> None:
        self._held: dict[EntryKey, HeldEntry] = {}

    def __len__(self) -> int:
        return len(self._held)

    def add(
        self, entry: ledger.BillEntry, partition: int, now: float
    ) -> HeldEntry:
        """Take an entry; one with the same key is kept instead."""
        key = key_of(entry)
        if key not in self._held:
            fut = asyncio.get_running_loop().create_future()
            self._held[key] = HeldEntry(entry, partition, now, fut)
        return self._held[key]

    def settle(self, entries: Iterable[HeldEntry]) -> None:
        """Forget entries that are durable."""
        for held in entries:
            self._held.pop(key_of(held.entry), None)
            if not held.durable.done():
                held.durable.set_result(None)

    def of_partition(self, partition: int) -> list[HeldEntry]:
        """Return the entries of a partition, the oldest first."""
        return [
            held for held in self._held.values() if held.partition == partition
        ]

    def all(self) -> list[HeldEntry]:
        """Return every entry, the oldest first."""
        return list(self._held.values())
