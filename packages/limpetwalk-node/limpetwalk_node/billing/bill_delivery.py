"""Ways of a bill entry to the writer of its ledger partition.

In a full mesh, a node sends its entries to the writer. Among more nodes, the
nodes of a zone send them to a collector, which batches them for the writer,
so that a writer has links to a node of each zone and not to every node.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import itertools

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.conf import snapshot
from limpetwalk.ledger import base as ledger
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import messages
from limpetwalk.peers import rendezvous

from . import bill_writer

WRITE_TIMEOUT = 2.0
WRITER_TRIES = 2
# The writer of a partition is chosen anew after this time.
CHOICE_LIFETIME = 1.0

Entries = Sequence[ledger.BillEntry]


class Delivery:
    """Brings entries into the ledger by the writer, the next or this node.

    The writer of a partition is chosen by rendezvous hash over the nodes,
    so that one node batches the entries of all. The choice is only a hint:
    the table decides, and drops repeats.

    :param hub: links to the peers.
    :param open_partition: returns a partition of the ledger by its number.
    :param tuning: returns the limits in force.
    :param clock: source of time.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        open_partition: Callable[[int], bill_writer.Partition],
        tuning: Callable[[], snapshot.Tuning],
        clock: clocks.Clock,
        metrics: metrics_.Metrics,
    ) -> None:
        self._hub = hub
        self._open_partition = open_partition
        self._tuning = tuning
        self._clock = clock
        self._metrics = metrics
        self._writers: dict[int, bill_writer.PartitionWriter] = {}
        self._collectors: dict[int, bill_writer.PartitionWriter] = {}
        self._writer_names: dict[int, list[str]] = {}
        self._chosen_at = clock.monotonic()
        self._failed = metrics.counter(
            "limpetwalk_bill_writes_failed",
            "Writes of bill entries that failed at one node.",
            ("reason",),
        )

    async def deliver(self, partition: int, entries: Entries) -> bool:
        """Bring entries of one partition into the ledger.

        :returns: whether they are durable now.
        """
        try:
            if self._hub.is_full_mesh:
                await self._write(partition, entries)
            else:
                await self._collect(partition, entries)
        except exceptions.StoreError:
            return False
        return True

    async def write_here(self, partition: int, entries: Entries) -> None:
        """Append entries to the ledger from this node.

        :raises StoreError: when they may not be durable.
        """
        if partition not in self._writers:
            self._writers[partition] = self._batched(
                self._open_partition(partition)
            )
        await self._writers[partition].write(entries)

    async def collect_here(self, partition: int, entries: Entries) -> None:
        """Bring entries of this zone to the writer of their partition.

        :raises StoreError: when they may not be durable.
        """
        if partition not in self._collectors:
            self._collectors[partition] = self._batched(
                _Upstream(self._write, partition)
            )
        await self._collectors[partition].write(entries)

    def _batched(
        self, partition: bill_writer.Partition
    ) -> bill_writer.PartitionWriter:
        return bill_writer.PartitionWriter(
            partition,
            lambda: self._tuning().ledger_interval,
            self._clock,
            self._metrics,
        )

    async def _write(self, partition: int, entries: Entries) -> None:
        message = messages.BillEntries(
            partition, tuple(entries), messages.Purpose.WRITE
        )
        for name in self._writers_of(partition):
            if await self._sent(name, message):
                return
        await self._here(self.write_here, partition, entries)

    async def _collect(self, partition: int, entries: Entries) -> None:
        message = messages.BillEntries(
            partition, tuple(entries), messages.Purpose.COLLECT
        )
        near = [
            peer.name
            for peer in self._hub.live()
            if peer.zone == self._hub.zone and not peer.leaving
        ]
        for name in self._ranked(f"collect/{partition}", near):
            if await self._sent(name, message):
                return
        await self._here(self.collect_here, partition, entries)

    async def _sent(self, name: str, message: messages.BillEntries) -> bool:
        try:
            await self._hub.request(name, message, WRITE_TIMEOUT)
        except exceptions.PeerUnavailable:
            self._failed.labels("peer").inc()
            return False
        return True

    async def _here(
        self,
        write: Callable[[int, Entries], Awaitable[None]],
        partition: int,
        entries: Entries,
    ) -> None:
        try:
            await write(partition, entries)
        except exceptions.StoreError:
            self._failed.labels("store").inc()
            raise

    def _writers_of(self, partition: int) -> list[str]:
        """Return the peers to try before this node writes itself."""
        if self._hub.is_full_mesh:
            names = [p.name for p in self._hub.live() if not p.leaving]
            return self._ranked(f"ledger/{partition}", names)
        now = self._clock.monotonic()
        if now - self._chosen_at > CHOICE_LIFETIME:
            self._chosen_at = now
            self._writer_names.clear()
        if partition not in self._writer_names:
            names = [peer.name for peer in self._hub.candidates()]
            ranked = self._ranked(f"ledger/{partition}", names)
            self._writer_names[partition] = ranked
        return self._writer_names[partition]

    def _ranked(self, role: str, names: Sequence[str]) -> list[str]:
        """Return the best names for a role that come before this node."""
        ranked = rendezvous.rank(role, [*names, self._hub.name])
        return list(
            itertools.takewhile(
                lambda name: name != self._hub.name, ranked[:WRITER_TRIES]
            )
        )


class _Upstream:
    """Partition whose entries go to the writer at another node."""

    def __init__(
        self,
        write: Callable[[int, Entries], Awaitable[None]],
        number: int,
    ) -> None:
        self._write = write
        self._number = number

    async def append(self, entries: Entries) -> int:
        """Bring entries to the writer."""
        await self._write(self._number, entries)
        return len(entries)
