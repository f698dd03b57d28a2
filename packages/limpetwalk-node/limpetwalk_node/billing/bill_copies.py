"""Copies of bill entries that this node holds for its peers."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import itertools

from limpetwalk.ledger import base as ledger
from limpetwalk.peers import messages

from . import bill_backlog

MAX_COPIES = 50_000
OWNER_LOST_AFTER = 5.0  # seconds


@dataclass(frozen=True, slots=True)
class EntryCopy:
    """Copy of a peer's bill entry.

    :param entry: bill entry.
    :param partition: ledger partition that the entry belongs to.
    :param boot_id: boot ID of the owner when it sent the copy.
    """

    entry: ledger.BillEntry
    partition: int
    boot_id: str


class PeerCopies:
    """Copies of bill entries by owner and entry key."""

    def __init__(self) -> None:
        self._copies: dict[str, dict[bill_backlog.EntryKey, EntryCopy]] = {}
        self._missing_since: dict[str, float] = {}

    def __len__(self) -> int:
        return sum(len(copies) for copies in self._copies.values())

    def add(
        self, owner: str, boot_id: str, message: messages.BillEntries
    ) -> bool:
        """Add copies of an owner's entries.

        :returns: False when the copies would exceed ``MAX_COPIES``, or the
            message has another number of partitions than of entries.
        """
        if len(self) + len(message.entries) > MAX_COPIES:
            return False
        if len(message.partitions) not in (0, len(message.entries)):
            return False
        copies = self._copies.setdefault(owner, {})
        partitions = message.partitions or itertools.repeat(message.partition)
        for entry, partition in zip(message.entries, partitions):
            key = bill_backlog.key_of(entry)
            copies[key] = EntryCopy(entry, partition, boot_id)
        return True

    def remove(self, owner: str, entries: Iterable[ledger.BillEntry]) -> None:
        """Remove copies whose entries are durable or copied elsewhere."""
        copies = self._copies.get(owner, {})
        for entry in entries:
            copies.pop(bill_backlog.key_of(entry), None)
        if not copies:
            self._copies.pop(owner, None)

    def pop_orphans(
        self, heartbeats: Mapping[str, messages.Heartbeat], now: float
    ) -> list[EntryCopy]:
        """Remove and return the copies whose owner is lost.

        An owner is lost when it has not been live for ``OWNER_LOST_AFTER``
        seconds, or has restarted and so lost its entries.

        :param heartbeats: last heartbeats of the live peers.
        :param now: monotonic instant.
        """
        orphans: list[EntryCopy] = []
        for owner in list(self._copies):
            heartbeat = heartbeats.get(owner)
            if heartbeat is not None:
                self._missing_since.pop(owner, None)
                orphans += self._pop_older_boots(owner, heartbeat.boot_id)
            elif self._is_lost(owner, now):
                orphans += self._copies.pop(owner).values()
                self._missing_since.pop(owner, None)
        return orphans

    def _is_lost(self, owner: str, now: float) -> bool:
        missing_since = self._missing_since.setdefault(owner, now)
        return now - missing_since >= OWNER_LOST_AFTER

    def _pop_older_boots(self, owner: str, boot_id: str) -> list[EntryCopy]:
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
