"""Writer of one partition of the ledger.

A partition is a log of batches, one row each. A batch is put on the
condition that its sequence number is free and that its predecessor exists,
so of two writers that both believe in themselves one gets a conflict, reads
the log forward and drops what is there already. No lease is needed.
"""

import asyncio
import collections
from collections.abc import Iterable
from collections.abc import Sequence
import uuid

from result import Ok
from result import Result

from .. import clock as clocks
from ..providers import base as platform
from ..providers import settle
from . import base
from . import rows

# Entries whose keys a writer remembers: ten minutes at 770 requests a second
# over 16 partitions.
DEDUPE_ENTRIES = 30_000
PAGE_ROWS = 200


class _RecentKeys:
    """Keys of the newest entries of a partition.

    :param limit: most keys to remember.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._order: collections.deque[bytes] = collections.deque()
        self._held: set[bytes] = set()

    def add(self, keys: Iterable[bytes]) -> None:
        """Remember keys, the newest last, and forget the oldest."""
        for key in keys:
            if key not in self._held:
                self._held.add(key)
                self._order.append(key)
        while len(self._order) > self._limit:
            self._held.discard(self._order.popleft())

    def unknown(
        self, entries: Iterable[base.BillEntry]
    ) -> list[base.BillEntry]:
        """Return the entries that are not remembered, each key once."""
        found: dict[bytes, base.BillEntry] = {}
        for entry in entries:
            key = rows.digest(entry)
            if key not in self._held:
                found.setdefault(key, entry)
        return list(found.values())


class LedgerPartition:
    """Appends bill entries to one partition, each key once.

    :param table: table service.
    :param number: number of the partition.
    :param clock: source of time.
    :param dedupe_entries: newest entries whose keys are remembered.
    """

    def __init__(
        self,
        table: platform.TableStore,
        number: int,
        clock: clocks.Clock,
        dedupe_entries: int = DEDUPE_ENTRIES,
    ) -> None:
        self._table = table
        self._number = number
        self._clock = clock
        self._limit = dedupe_entries
        self._lock = asyncio.Lock()
        self._recent = _RecentKeys(dedupe_entries)
        # Sequence of the last batch known; None before the log was read.
        self._last: int | None = None

    async def append(self, entries: Sequence[base.BillEntry]) -> int:
        """Append the entries that the log does not hold yet.

        When it returns, every entry is durable. After an exception some may
        be; calling it again with the same entries is right.

        :returns: number of entries appended by this call.
        :raises StoreUnavailable: when entries were not appended.
        :raises StoreOutcomeUnknown: when they may have been.
        """
        appended = 0
        async with self._lock:
            if self._last is None:
                await self._load()
            waiting = self._recent.unknown(entries)
            while waiting:
                text, count = rows.encode_batch(waiting)
                outcome = await self._put(text)
                if isinstance(outcome, Ok):
                    self._recent.add(map(rows.digest, waiting[:count]))
                    appended += count
                else:
                    await self._catch_up(outcome.err_value)
                waiting = self._recent.unknown(waiting)
        return appended

    async def _put(self, text: str) -> Result[None, platform.Conflict]:
        assert self._last is not None
        batch = rows.batch_key(self._number, self._last + 1)
        writes: list[platform.Write] = [
            self._predecessor(),
            platform.Put(batch, text, 0),
        ]
        outcome = await settle.transact_settled(
            self._table, writes, uuid.uuid4().hex
        )
        if isinstance(outcome, Ok):
            self._last += 1
        return outcome

    def _predecessor(self) -> platform.Check:
        """Return the condition that the log goes on where it is known to.

        Without it, a writer that was paused for longer than batches are
        kept could put a batch in the place of a deleted one.
        """
        if self._last:
            return platform.Check(rows.batch_key(self._number, self._last), 1)
        return platform.Check(rows.floor_key(self._number), 0)

    async def _catch_up(self, conflict: platform.Conflict) -> None:
        """Read what other writers have appended."""
        if self._predecessor().key in conflict.keys:
            await self._load()
            return
        while True:
            assert self._last is not None
            found = await self._table.query(
                rows.partition_name(self._number),
                after=rows.batch_key(self._number, self._last).sort,
                limit=PAGE_ROWS,
            )
            for row in found:
                self._recent.add(rows.digests(row))
                self._last = rows.sequence_of(row.key)
            if len(found) < PAGE_ROWS:
                return

    async def _load(self) -> None:
        """Read the newest batches, as far as their keys are remembered."""
        newest: list[list[bytes]] = []
        last = 0
        held = 0
        after = ""
        while held < self._limit:
            found = await self._table.query(
                rows.partition_name(self._number),
                after=after,
                limit=PAGE_ROWS,
                descending=True,
            )
            if found:
                last = max(last, rows.sequence_of(found[0].key))
                after = found[-1].key.sort
            for row in found:
                newest.append(rows.digests(row))
                held += len(newest[-1])
                # Large batches take milliseconds; other tasks go between.
                await asyncio.sleep(0)
            if len(found) < PAGE_ROWS:
                break
        self._recent = _RecentKeys(self._limit)
        for keys in reversed(newest):
            self._recent.add(keys)
        self._last = last
