"""Billing: each entry goes into the ledger once.

An entry stays with the node that made it until it is durable. A peer in
another zone holds a copy meanwhile, which that peer brings into the ledger
itself when the entry's node is gone. An answer waits for whichever comes
first, the copy or the ledger; the copy takes a round trip between zones, the
ledger its next batch.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Any

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.conf import snapshot
from limpetwalk.ledger import base as ledger
from limpetwalk.ledger import rows
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import messages

from . import bill_backlog
from . import bill_copies
from . import bill_copying
from . import bill_delivery
from . import bill_protection
from . import bill_spill
from . import bill_writer

HOLD_AFTER = 1.0
RETRY_MIN = 0.2
RETRY_MAX = 5.0
TICK_INTERVAL = 1.0
MAX_BACKLOG = 20_000
STORE_FAILED = "store unavailable"
NO_ROOM = "no room"


class LedgerBiller:
    """Writes bill entries through the peers into the ledger.

    :param hub: links to the peers.
    :param open_partition: returns a partition of the ledger by its number.
    :param tuning: returns the limits in force.
    :param clock: source of time.
    :param rng: source of random numbers.
    :param metrics: metrics of the process.
    :param spills: objects with held entries; None uses peers alone.
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
        self._copies = bill_copies.Copies()
        self._delivery = bill_delivery.Delivery(
            hub, open_partition, tuning, clock, metrics
        )
        self._protection = bill_protection.Protection(
            hub, spills, clock, metrics
        )
        self._couriers: dict[int, asyncio.Task[None]] = {}
        self._tries: set[asyncio.Task[None]] = set()
        self._copying = bill_copying.Copying(self._protection.copy)
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
        self._held_gauge = metrics.gauge(
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
        """Begin to look after held entries and copies."""
        self._ticker = asyncio.create_task(self._tick_forever())

    async def stop(self) -> None:
        """Stop at once; call ``flush`` before."""
        tasks: list[asyncio.Task[Any]] = [
            *self._couriers.values(),
            *self._tries,
        ]
        if self._ticker is not None:
            tasks.append(self._ticker)
        await self._copying.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def full(self) -> bool:
        """Whether so many entries are held that work must be refused."""
        return len(self._backlog) >= MAX_BACKLOG

    async def bill(self, entry: ledger.BillEntry) -> None:
        """Return once the entry can no longer be lost by one node's loss.

        :raises StoreUnavailable: when neither the stores nor a peer in
            another zone could take the entry; it is kept and retried.
        """
        partition = rows.partition_of(entry, self._tuning().ledger_partitions)
        held = self._backlog.add(entry, partition, self._clock.monotonic())
        self._start_courier(partition)
        if await self._copy(held) or await self._settles(held):
            return
        if not await self._protection.protect([held]):
            self._unprotected.inc()
            raise exceptions.StoreUnavailable(
                "no store and no peer in another zone took the bill entry"
            )

    async def flush(self, timeout: float) -> int:
        """Wait until held entries are durable, then hand over the rest.

        :param timeout: longest wait, in seconds.
        :returns: entries that only this node still has.
        """
        futs = [held.durable for held in self._backlog.all()]
        if futs:
            await asyncio.wait(futs, timeout=timeout)
        await self._protection.protect(self._backlog.all())
        await self._protection.release()
        return len(self._protection.exposed(self._backlog.all()))

    async def tick(self) -> None:
        """Look after held entries and copies once."""
        self._adopt_orphans()
        held_since = self._clock.monotonic() - HOLD_AFTER
        waiting = [
            held for held in self._backlog.all() if held.since <= held_since
        ]
        await self._protection.protect(waiting)
        await self._protection.spill_old(waiting)
        await self._protection.release()
        self._show()

    async def _tick_forever(self) -> None:
        while True:
            await self.tick()
            await asyncio.sleep(TICK_INTERVAL)

    def _show(self) -> None:
        entries = self._backlog.all()
        self._held_gauge.set(len(entries))
        self._exposed_gauge.set(len(self._protection.exposed(entries)))
        self._copies_gauge.set(len(self._copies))

    def _adopt_orphans(self) -> None:
        """Take over the copies of nodes that are gone."""
        now = self._clock.monotonic()
        beats = self._hub.members.live_beats()
        for copy in self._copies.take_orphans(beats, now):
            self._adopted.inc()
            self._backlog.add(copy.entry, copy.partition, now)
            self._start_courier(copy.partition)

    async def _copy(self, held: bill_backlog.HeldEntry) -> bool:
        """Return whether a peer holds a copy or the entry is durable."""
        copying = asyncio.create_task(self._copying.copy(held))
        self._tries.add(copying)
        copying.add_done_callback(self._tries.discard)
        await asyncio.wait(
            [copying, held.durable], return_when=asyncio.FIRST_COMPLETED
        )
        return held.durable.done() or bool(held.holder)

    async def _settles(self, held: bill_backlog.HeldEntry) -> bool:
        """Return whether an entry without a copy is durable soon."""
        await asyncio.wait([held.durable], timeout=HOLD_AFTER)
        return held.durable.done()

    def _start_courier(self, partition: int) -> None:
        if partition not in self._couriers:
            self._couriers[partition] = asyncio.create_task(
                self._retry(partition)
            )

    async def _retry(self, partition: int) -> None:
        """Write the held entries of a partition until none is left."""
        delay = 0.0
        limit = bill_protection.MAX_MESSAGE_ENTRIES
        try:
            while waiting := self._backlog.of_partition(partition):
                if delay:
                    await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
                if await self._write(partition, waiting[:limit]):
                    delay = 0.0
                else:
                    delay = min(max(RETRY_MIN, delay * 2), RETRY_MAX)
        finally:
            del self._couriers[partition]

    async def _write(
        self, partition: int, waiting: list[bill_backlog.HeldEntry]
    ) -> bool:
        entries = [held.entry for held in waiting]
        if not await self._delivery.deliver(partition, entries):
            return False
        fresh = [held for held in waiting if not held.durable.done()]
        self._backlog.settle(fresh)
        self._protection.settled(fresh)
        self._written.inc(len(fresh))
        return True

    async def _on_entries(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        assert isinstance(message, messages.BillEntries)
        if message.purpose is messages.Purpose.WRITE:
            return await self._write_for_peer(message)
        if message.purpose is messages.Purpose.HOLD:
            beat = self._hub.members.live_beats().get(sender)
            boot_id = beat.boot_id if beat else ""
            if not self._copies.hold(sender, boot_id, message):
                return messages.Failure(NO_ROOM)
        else:
            self._copies.release(sender, message.entries)
        return messages.BillAck(len(message.entries))

    async def _write_for_peer(
        self, message: messages.BillEntries
    ) -> messages.Message:
        try:
            await self._delivery.write_here(message.partition, message.entries)
        except exceptions.StoreError:
            return messages.Failure(STORE_FAILED)
        return messages.BillAck(len(message.entries))
