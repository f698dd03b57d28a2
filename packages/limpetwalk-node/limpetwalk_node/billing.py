"""Billing: entries go to the writer of their ledger partition.

The writer of a partition is chosen by rendezvous hash over the live nodes,
so that one node batches the entries of all. The choice is only a hint: the
table decides, and a repeated entry is dropped by its key. An entry stays
with the node that made it until it is durable; while the store is down a
peer in another zone holds a copy.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import itertools
import random
from typing import Any

import xxhash

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.conf import snapshot
from limpetwalk.ledger import base as ledger
from limpetwalk.peers import base as peers
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import messages
from limpetwalk.peers import rendezvous

from . import bill_backlog
from . import bill_copies
from . import bill_writer

WRITE_TIMEOUT = 2.0
HOLD_TIMEOUT = 1.0
HOLD_AFTER = 1.0
RETRY_MIN = 0.2
RETRY_MAX = 5.0
TICK_INTERVAL = 1.0
WRITER_TRIES = 2
HOLDER_TRIES = 3
MAX_MESSAGE_ENTRIES = 500
MAX_BACKLOG = 20_000
STORE_FAILED = "store unavailable"
NO_ROOM = "no room"


def partition_of(entry: ledger.BillEntry, partitions: int) -> int:
    """Return the ledger partition of an entry."""
    text = f"{entry.workspace}\0{entry.request_key}"
    return xxhash.xxh64_intdigest(text.encode()) % partitions


class LedgerBiller:
    """Writes bill entries through the peers into the ledger.

    :param hub: links to the peers.
    :param open_partition: returns a partition of the ledger by its number.
    :param tuning: returns the limits in force.
    :param clock: source of time.
    :param rng: source of random numbers.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        open_partition: Callable[[int], bill_writer.Partition],
        tuning: Callable[[], snapshot.Tuning],
        clock: clocks.Clock,
        rng: random.Random,
        metrics: metrics_.Metrics,
    ) -> None:
        self._hub = hub
        self._open_partition = open_partition
        self._tuning = tuning
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._backlog = bill_backlog.Backlog()
        self._copies = bill_copies.Copies()
        self._writers: dict[int, bill_writer.PartitionWriter] = {}
        self._couriers: dict[int, asyncio.Task[None]] = {}
        self._unreleased: dict[str, list[bill_backlog.HeldEntry]] = {}
        self._tries: set[asyncio.Task[bool]] = set()
        self._ticker: asyncio.Task[None] | None = None
        self._written = metrics.counter(
            "limpetwalk_bill_entries_written",
            "Bill entries of this node that became durable.",
        )
        self._resent = metrics.counter(
            "limpetwalk_bill_entries_resent",
            "Writes of bill entries that went on to another node.",
            ("reason",),
        )
        self._adopted = metrics.counter(
            "limpetwalk_bill_entries_adopted",
            "Held copies written because their owner is gone.",
        )
        self._unprotected = metrics.counter(
            "limpetwalk_bill_entries_unprotected",
            "Bill entries that neither store nor another zone could take.",
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
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def full(self) -> bool:
        """Whether so many entries are held that work must be refused."""
        return len(self._backlog) >= MAX_BACKLOG

    async def bill(self, entry: ledger.BillEntry) -> None:
        """Return once the entry can no longer be lost by one node's loss.

        :raises StoreUnavailable: when neither the store nor a peer in
            another zone could take the entry; it is kept and retried.
        """
        partition = partition_of(entry, self._tuning().ledger_partitions)
        held = self._take(entry, partition)
        if partition not in self._couriers:
            await self._first_try(held)
        if held.durable.done():
            return
        self._start_courier(partition)
        if not await self._hold([held]):
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
        await self._protect(self._clock.monotonic())
        await self._release_all()
        return len(self._exposed())

    async def tick(self) -> None:
        """Look after held entries and copies once."""
        now = self._clock.monotonic()
        beats = self._hub.members.live_beats()
        for copy in self._copies.take_orphans(beats, now):
            self._adopted.inc()
            self._take(copy.entry, copy.partition)
            self._start_courier(copy.partition)
        await self._protect(now - HOLD_AFTER)
        await self._release_all()
        self._held_gauge.set(len(self._backlog))
        self._exposed_gauge.set(len(self._exposed()))
        self._copies_gauge.set(len(self._copies))

    async def _tick_forever(self) -> None:
        while True:
            await self.tick()
            await asyncio.sleep(TICK_INTERVAL)

    def _take(
        self, entry: ledger.BillEntry, partition: int
    ) -> bill_backlog.HeldEntry:
        return self._backlog.add(entry, partition, self._clock.monotonic())

    async def _first_try(self, held: bill_backlog.HeldEntry) -> None:
        """Write an entry, but leave that to itself when it takes long."""
        task = asyncio.create_task(self._write(held.partition, [held]))
        self._tries.add(task)
        task.add_done_callback(self._tries.discard)
        await asyncio.wait([task], timeout=HOLD_AFTER)

    def _start_courier(self, partition: int) -> None:
        if partition not in self._couriers:
            self._couriers[partition] = asyncio.create_task(
                self._deliver(partition)
            )

    async def _deliver(self, partition: int) -> None:
        """Retry the held entries of a partition until none is left."""
        delay = RETRY_MIN
        try:
            while waiting := self._backlog.of_partition(partition):
                await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
                if await self._write(partition, waiting[:MAX_MESSAGE_ENTRIES]):
                    delay = 0.0
                else:
                    delay = min(max(RETRY_MIN, delay * 2), RETRY_MAX)
        finally:
            del self._couriers[partition]

    async def _write(
        self, partition: int, waiting: Sequence[bill_backlog.HeldEntry]
    ) -> bool:
        """Bring entries into the ledger by the writer, the next or here.

        :returns: whether they are durable now.
        """
        entries = tuple(held.entry for held in waiting)
        for name in self._writer_names(partition):
            try:
                await self._write_at(name, partition, entries)
            except exceptions.LimpetwalkError as exc:
                self._resent.labels(type(exc).__name__).inc()
                continue
            self._settle(waiting)
            return True
        return False

    def _writer_names(self, partition: int) -> list[str]:
        names = [peer.name for peer in self._staying()]
        ranked = rendezvous.rank(
            f"ledger/{partition}", [*names, self._hub.name]
        )
        first = list(
            itertools.takewhile(
                lambda name: name != self._hub.name, ranked[:WRITER_TRIES]
            )
        )
        return [*first, self._hub.name]

    async def _write_at(
        self,
        name: str,
        partition: int,
        entries: tuple[ledger.BillEntry, ...],
    ) -> None:
        if name == self._hub.name:
            await self._writer(partition).write(entries)
            return
        message = messages.BillEntries(
            partition, entries, messages.Purpose.WRITE
        )
        await self._hub.request(name, message, WRITE_TIMEOUT)

    def _writer(self, partition: int) -> bill_writer.PartitionWriter:
        if partition not in self._writers:
            self._writers[partition] = bill_writer.PartitionWriter(
                self._open_partition(partition),
                lambda: self._tuning().ledger_interval,
                self._clock,
                self._metrics,
            )
        return self._writers[partition]

    def _settle(self, waiting: Sequence[bill_backlog.HeldEntry]) -> None:
        for held in waiting:
            if held.durable.done():
                continue
            self._written.inc()
            if held.holder:
                self._unreleased.setdefault(held.holder, []).append(held)
        self._backlog.settle(waiting)

    def _staying(self) -> list[peers.Peer]:
        return [peer for peer in self._hub.live() if not peer.leaving]

    def _holders(self) -> list[str]:
        """Return peers to hold copies, in other zones if there are any."""
        known = self._hub.members.known().values()
        zones = {peer.zone for peer in known} | {self._hub.zone}
        names = [
            peer.name
            for peer in self._staying()
            if len(zones) == 1 or peer.zone != self._hub.zone
        ]
        ranked = rendezvous.rank(f"holder/{self._hub.name}", names)
        return ranked[:HOLDER_TRIES]

    def _exposed(self) -> list[bill_backlog.HeldEntry]:
        staying = {peer.name for peer in self._staying()}
        return [
            held for held in self._backlog.all() if held.holder not in staying
        ]

    async def _protect(self, since: float) -> None:
        """Have the exposed entries taken before an instant held by peers."""
        exposed = [held for held in self._exposed() if held.since <= since]
        by_partition: dict[int, list[bill_backlog.HeldEntry]] = {}
        for held in exposed:
            by_partition.setdefault(held.partition, []).append(held)
        for waiting in by_partition.values():
            for start in range(0, len(waiting), MAX_MESSAGE_ENTRIES):
                await self._hold(waiting[start : start + MAX_MESSAGE_ENTRIES])

    async def _hold(self, waiting: Sequence[bill_backlog.HeldEntry]) -> bool:
        """Have a peer hold copies of entries of one partition."""
        message = messages.BillEntries(
            waiting[0].partition,
            tuple(held.entry for held in waiting),
            messages.Purpose.HOLD,
        )
        for name in self._holders():
            try:
                await self._hub.request(name, message, HOLD_TIMEOUT)
            except exceptions.PeerUnavailable:
                continue
            for held in waiting:
                self._held_by(held, name)
            return True
        return False

    def _held_by(self, held: bill_backlog.HeldEntry, name: str) -> None:
        if held.durable.done():
            self._unreleased.setdefault(name, []).append(held)
            return
        if held.holder and held.holder != name:
            self._unreleased.setdefault(held.holder, []).append(held)
        held.holder = name

    async def _release_all(self) -> None:
        for name in list(self._unreleased):
            await self._release(name, self._unreleased.pop(name))

    async def _release(
        self, name: str, released: list[bill_backlog.HeldEntry]
    ) -> None:
        """Tell a holder to forget copies; again later when it is silent.

        A holder that is gone has lost the copies.
        """
        if name not in self._hub.members.known():
            return
        for start in range(0, len(released), MAX_MESSAGE_ENTRIES):
            chunk = released[start : start + MAX_MESSAGE_ENTRIES]
            message = messages.BillEntries(
                0,
                tuple(held.entry for held in chunk),
                messages.Purpose.RELEASE,
            )
            try:
                await self._hub.request(name, message, HOLD_TIMEOUT)
            except exceptions.PeerUnavailable:
                self._unreleased.setdefault(name, []).extend(chunk)

    async def _on_entries(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        assert isinstance(message, messages.BillEntries)
        if message.purpose is messages.Purpose.WRITE:
            return await self._write_for(message)
        if message.purpose is messages.Purpose.HOLD:
            beat = self._hub.members.live_beats().get(sender)
            boot_id = beat.boot_id if beat else ""
            if not self._copies.hold(sender, boot_id, message):
                return messages.Failure(NO_ROOM)
        else:
            self._copies.release(sender, message.entries)
        return messages.BillAck(len(message.entries))

    async def _write_for(
        self, message: messages.BillEntries
    ) -> messages.Message:
        try:
            await self._writer(message.partition).write(message.entries)
        except exceptions.StoreError:
            return messages.Failure(STORE_FAILED)
        return messages.BillAck(len(message.entries))
