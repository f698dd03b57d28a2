"""Billing: each entry goes into the ledger once.

An entry stays with the node that made it until it is durable. While it is
not, a peer in another zone holds a copy, which that peer brings into the
ledger itself when the entry's node is gone.
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
        self._ticker = asyncio.create_task(
            loops.run_periodically(self.tick, lambda: TICK_INTERVAL)
        )

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
    def is_full(self) -> bool:
        """Whether so many entries are held that work must be refused."""
        return len(self._backlog) >= MAX_BACKLOG

    async def bill(self, entry: ledger.BillEntry) -> None:
        """Return once the entry can no longer be lost by one node's loss.

        :raises StoreUnavailable: when neither the stores nor a peer in
            another zone could take the entry; it is kept and retried.
        """
        partition = rows.partition_of(entry, self._tuning().ledger_partitions)
        held = self._backlog.add(entry, partition, self._clock.monotonic())
        if await self._is_safe_soon(held):
            return
        self._start_courier(partition)
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

    def _show(self) -> None:
        entries = self._backlog.all()
        self._held_gauge.set(len(entries))
        self._exposed_gauge.set(len(self._protection.exposed(entries)))
        self._copies_gauge.set(len(self._copies))

    def _adopt_orphans(self) -> None:
        """Take over the copies of nodes that are gone."""
        now = self._clock.monotonic()
        beats = self._hub.members.live_heartbeats()
        for copy in self._copies.take_orphans(beats, now):
            self._adopted.inc()
            self._backlog.add(copy.entry, copy.partition, now)
            self._start_courier(copy.partition)

    def _in_background(
        self, step: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(step)
        self._tries.add(task)
        task.add_done_callback(self._tries.discard)
        return task

    async def _try(self, held: bill_backlog.HeldEntry) -> None:
        """Write an entry, and have it written again when that fails."""
        if not await self._write(held.partition, [held]):
            self._start_courier(held.partition)

    async def _is_safe_soon(self, held: bill_backlog.HeldEntry) -> bool:
        """Make the first tries to have an entry safe from this node's loss.

        A copy takes one exchange with a peer; the ledger's batch is then
        sent later, with the other entries of its partition. Without a copy
        the entry goes to the ledger at once.

        :returns: whether it is safe within ``HOLD_AFTER``.
        """
        if await self._is_copied(held):
            self._start_courier(held.partition)
            return True
        if held.partition not in self._couriers:
            task = self._in_background(self._try(held))
            await asyncio.wait([task], timeout=HOLD_AFTER)
        return held.is_safe

    async def _is_copied(self, held: bill_backlog.HeldEntry) -> bool:
        task = self._in_background(self._copying.copy(held))
        await asyncio.wait([task], timeout=HOLD_AFTER)
        return held.is_safe

    def _start_courier(self, partition: int) -> None:
        if partition not in self._couriers:
            self._couriers[partition] = asyncio.create_task(
                self._retry(partition)
            )

    async def _retry(self, partition: int) -> None:
        """Write the held entries of a partition until none is left."""
        delay = RETRY_MIN
        limit = bill_protection.MAX_MESSAGE_ENTRIES
        try:
            while waiting := self._backlog.of_partition(partition):
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
        if message.purpose is messages.Purpose.HOLD:
            beat = self._hub.members.live_heartbeats().get(sender)
            boot_id = beat.boot_id if beat else ""
            if not self._copies.hold(sender, boot_id, message):
                return messages.Failure(NO_ROOM)
        elif message.purpose is messages.Purpose.RELEASE:
            self._copies.release(sender, message.entries)
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
