"""Writes each bill entry to the ledger once.

An entry stays with the node that created it until it is durable. Until then,
a peer in another zone holds a copy, which it writes to the ledger itself when
the entry's node is lost.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random
from typing import Any

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.conf import snapshot
from limpetwalk.ledger import base as ledger
from limpetwalk.ledger import rows
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import loops
from limpetwalk.peers import messages

from . import bill_backlog
from . import bill_copies
from . import bill_delivery
from . import bill_protection
from . import bill_spill
from . import bill_writer
from . import copy_batcher

# Longest wait in seconds for each first attempt to copy or write an entry, and
# the age from which pending entries are protected again.
PROTECT_AFTER = 1.0
MIN_RETRY_DELAY = 0.2  # seconds
MAX_RETRY_DELAY = 5.0  # seconds
TICK_INTERVAL = 1.0  # seconds
MAX_BACKLOG = 20_000
STORE_FAILED = "store unavailable"
NO_ROOM = "no room"


class LedgerBiller:
    """Writes bill entries to the ledger, through peers where possible.

    :param hub: links to the peers.
    :param open_partition: returns a partition of the ledger by its number.
    :param tuning: returns the tuning in force.
    :param clock: source of time.
    :param rng: source of random numbers.
    :param metrics: metrics of the process.
    :param spills: store of spill objects; None uses only peers.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        open_partition: Callable[[int], bill_writer.Partition],
        tuning: Callable[[], snapshot.Tuning],
        clock: clocks.Clock,
        rng: random.Random,
        metrics: metrics_.Metrics,
        spills: bill_spill.SpillStore | None = None,
    ) -> None:
        self._hub = hub
        self._tuning = tuning
        self._clock = clock
        self._rng = rng
        self._backlog = bill_backlog.Backlog()
        self._copies = bill_copies.PeerCopies()
        self._delivery = bill_delivery.Delivery(
            hub, open_partition, tuning, clock, metrics
        )
        self._protection = bill_protection.Protection(
            hub, spills, clock, metrics
        )
        self._writer_tasks: dict[int, asyncio.Task[None]] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._copy_batcher = copy_batcher.CopyBatcher(self._protection.copy)
        self._ticker: asyncio.Task[None] | None = None
        self._written = metrics.counter(
            "limpetwalk_bill_entries_written",
            "Bill entries of this node that became durable.",
        )
        self._adopted = metrics.counter(
            "limpetwalk_bill_entries_adopted",
            "Held copies written because their owner is gone.",
        )
        self._unprotected = metrics.counter(
            "limpetwalk_bill_entries_unprotected",
            "Bill entries that neither a store nor another zone could take.",
        )
        self._pending_gauge = metrics.gauge(
            "limpetwalk_bill_entries_held",
            "Bill entries of this node that are not durable yet.",
        )
        self._exposed_gauge = metrics.gauge(
            "limpetwalk_bill_entries_exposed",
            "Held bill entries that only this node has.",
        )
        self._copies_gauge = metrics.gauge(
            "limpetwalk_bill_copies_held",
            "Copies of bill entries held for peers.",
        )
        hub.subscribe(messages.BillEntries, self._on_entries)

    async def start(self) -> None:
        """Start the periodic maintenance of pending entries and copies."""
        self._ticker = asyncio.create_task(
            loops.run_periodically(self.tick, lambda: TICK_INTERVAL)
        )

    async def stop(self) -> None:
        """Stop all tasks at once; call ``flush`` before."""
        tasks: list[asyncio.Task[Any]] = [
            *self._writer_tasks.values(),
            *self._background_tasks,
        ]
        if self._ticker is not None:
            tasks.append(self._ticker)
        await self._copy_batcher.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def is_full(self) -> bool:
        """Whether so many entries are pending that work must be refused."""
        return len(self._backlog) >= MAX_BACKLOG

    async def bill(self, entry: ledger.BillEntry) -> None:
        """Return once the loss of one node can no longer lose the entry.

        :raises StoreUnavailable: when neither the stores nor a peer in
            another zone could store the entry; it is kept and retried.
        """
        partition = rows.partition_of(entry, self._tuning().ledger_partitions)
        pending = self._backlog.add(entry, partition, self._clock.monotonic())
        if await self._make_safe(pending):
            return
        self._start_writer(partition)
        if not await self._protection.protect([pending]):
            self._unprotected.inc()
            raise exceptions.StoreUnavailable(
                "neither a store nor a peer in another zone stored the bill"
                " entry"
            )

    async def flush(self, timeout: float) -> int:
        """Wait until pending entries are durable, and protect the rest.

        :param timeout: longest wait, in seconds.
        :returns: number of entries that still only this node has.
        """
        futs = [pending.durable for pending in self._backlog.all()]
        if futs:
            await asyncio.wait(futs, timeout=timeout)
        await self._protection.protect(self._backlog.all())
        await self._protection.release()
        return len(self._protection.exposed(self._backlog.all()))

    async def tick(self) -> None:
        """Protect old pending entries, and take over or release copies."""
        self._adopt_orphans()
        added_before = self._clock.monotonic() - PROTECT_AFTER
        old_entries = [
            pending
            for pending in self._backlog.all()
            if pending.added_at <= added_before
        ]
        await self._protection.protect(old_entries)
        await self._protection.spill_old(old_entries)
        await self._protection.release()
        self._update_gauges()

    def _update_gauges(self) -> None:
        entries = self._backlog.all()
        self._pending_gauge.set(len(entries))
        self._exposed_gauge.set(len(self._protection.exposed(entries)))
        self._copies_gauge.set(len(self._copies))

    def _adopt_orphans(self) -> None:
        """Take over the copies of entries whose node is lost."""
        now = self._clock.monotonic()
        heartbeats = self._hub.members.live_heartbeats()
        for copy in self._copies.pop_orphans(heartbeats, now):
            self._adopted.inc()
            self._backlog.add(copy.entry, copy.partition, now)
            self._start_writer(copy.partition)

    def _start_task(
        self, coro: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(coro)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    async def _write_or_retry(
        self, pending: bill_backlog.PendingEntry
    ) -> None:
        """Write an entry, and retry in the background if that fails."""
        if not await self._write(pending.partition, [pending]):
            self._start_writer(pending.partition)

    async def _make_safe(self, pending: bill_backlog.PendingEntry) -> bool:
        """Make the first attempts to protect an entry from this node's loss.

        A copy takes one request to a peer. The entry is then written to the
        ledger later, in a batch with other entries of its partition. Without
        a copy the entry is written to the ledger at once.

        :returns: whether the entry is protected. Each attempt takes at most
            ``PROTECT_AFTER``.
        """
        if await self._copy_to_peer(pending):
            self._start_writer(pending.partition)
            return True
        if pending.partition not in self._writer_tasks:
            task = self._start_task(self._write_or_retry(pending))
            await asyncio.wait([task], timeout=PROTECT_AFTER)
        return pending.is_safe

    async def _copy_to_peer(self, pending: bill_backlog.PendingEntry) -> bool:
        task = self._start_task(self._copy_batcher.copy(pending))
        await asyncio.wait([task], timeout=PROTECT_AFTER)
        return pending.is_safe

    def _start_writer(self, partition: int) -> None:
        if partition not in self._writer_tasks:
            self._writer_tasks[partition] = asyncio.create_task(
                self._write_until_empty(partition)
            )

    async def _write_until_empty(self, partition: int) -> None:
        """Write the pending entries of a partition until none is left."""
        delay = MIN_RETRY_DELAY
        limit = bill_protection.MAX_MESSAGE_ENTRIES
        try:
            while entries := self._backlog.of_partition(partition):
                await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
                if await self._write(partition, entries[:limit]):
                    delay = 0.0
                else:
                    delay = min(
                        max(MIN_RETRY_DELAY, delay * 2), MAX_RETRY_DELAY
                    )
        finally:
            del self._writer_tasks[partition]

    async def _write(
        self, partition: int, batch: list[bill_backlog.PendingEntry]
    ) -> bool:
        entries = [pending.entry for pending in batch]
        if not await self._delivery.deliver(partition, entries):
            return False
        newly_durable = [
            pending for pending in batch if not pending.durable.done()
        ]
        self._backlog.mark_durable(newly_durable)
        self._protection.on_durable(newly_durable)
        self._written.inc(len(newly_durable))
        return True

    async def _on_entries(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        assert isinstance(message, messages.BillEntries)
        if message.purpose is messages.Purpose.HOLD:
            heartbeat = self._hub.members.live_heartbeats().get(sender)
            boot_id = heartbeat.boot_id if heartbeat else ""
            if not self._copies.add(sender, boot_id, message):
                return messages.Failure(NO_ROOM)
        elif message.purpose is messages.Purpose.RELEASE:
            self._copies.remove(sender, message.entries)
        else:
            return await self._write_for_peer(message)
        return messages.BillAck(len(message.entries))

    async def _write_for_peer(
        self, message: messages.BillEntries
    ) -> messages.Message:
        write = self._delivery.write_here
        if message.purpose is messages.Purpose.COLLECT:
            write = self._delivery.collect_here
        try:
            await write(message.partition, message.entries)
        except exceptions.StoreError:
            return messages.Failure(STORE_FAILED)
        return messages.BillAck(len(message.entries))
