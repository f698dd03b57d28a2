"""Copies of bill entries that this node holds for its peers."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import itertools

from limpetwalk.ledger import base as ledger
from limpetwalk.peers import messages

from . import bill_backlog

MAX_COPIES = 50_000
OWNER_GONE_AFTER = 5.0


@dataclass(frozen=True, slots=True)
class Copy:
    """Copy of an entry.

    :param entry: the entry.
    :param partition: ledger partition that it belongs to.
    :param boot_id: boot of the owner that asked for the copy.
    """

    entry: ledger.BillEntry
    partition: int
    boot_id: str


class Copies:
    """Copies by their owner."""

    def __init__(self) -> None:
        self._copies: dict[str, dict[bill_backlog.EntryKey, Copy]] = {}
        self._missed_at: dict[str, float] = {}

    def __len__(self) -> int:
        return sum(len(copies) for copies in self._copies.values())

    def hold(
        self, owner: str, boot_id: str, message: messages.BillEntries
    ) -> bool:
        """Take copies.

        :returns: False when there is no room for them, or their partitions
            don't fit them.
        """
        if len(self) + len(message.entries) > MAX_COPIES:
            return False
        if len(message.partitions) not in (0, len(message.entries)):
            return False
        copies = self._copies.setdefault(owner, {})
        partitions = message.partitions or itertools.repeat(message.partition)
        for entry, partition in zip(message.entries, partitions):
            key = bill_backlog.key_of(entry)
            copies[key] = Copy(entry, partition, boot_id)
        return True

    def release(self, owner: str, entries: Iterable[ledger.BillEntry]) -> None:
        """Forget copies whose entries are durable or held elsewhere."""
        copies = self._copies.get(owner, {})
        for entry in entries:
            copies.pop(bill_backlog.key_of(entry), None)
        if not copies:
            self._copies.pop(owner, None)

    def take_orphans(
        self, beats: Mapping[str, messages.Heartbeat], now: float
    ) -> list[Copy]:
        """Return and forget the copies whose owner is gone.

        An owner is gone when it has not been live for ``OWNER_GONE_AFTER``
        seconds, or has started anew and so lost its entries.

        :param beats: last heartbeats of the live peers.
        :param now: monotonic instant.
        """
        orphans: list[Copy] = []
        for owner in list(self._copies):
            beat = beats.get(owner)
            if beat is not None:
                self._missed_at.pop(owner, None)
                orphans += self._pop_older_boots(owner, beat.boot_id)
            elif self._gone(owner, now):
                orphans += self._copies.pop(owner).values()
                self._missed_at.pop(owner, None)
        return orphans

    def _gone(self, owner: str, now: float) -> bool:
        missed_at = self._missed_at.setdefault(owner, now)
        return now - missed_at >= OWNER_GONE_AFTER

    def _pop_older_boots(self, owner: str, boot_id: str) -> list[Copy]:
        copies = self._copies[owner]
        orphans = {
            key: copy
            for key, copy in copies.items()
            if copy.boot_id != boot_id
        }
        for key in orphans:
            del copies[key]
        if not copies:
            del self._copies[owner]
        return list(orphans.values())
