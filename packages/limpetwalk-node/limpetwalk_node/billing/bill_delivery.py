"""Delivery of bill entries to the writer of their ledger partition.

In a full mesh, a node sends its entries to the writer. With more nodes, the
nodes of a zone send them to a collector, which batches them for the writer.
The writer then needs links to one node of each zone instead of to all nodes.
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

WRITE_TIMEOUT = 2.0  # seconds
# Number of peers that are tried before this node takes the role itself.
MAX_PEERS_TRIED = 2
# Time in seconds after which the writer of a partition is chosen again.
WRITER_CHOICE_TTL = 1.0

Entries = Sequence[ledger.BillEntry]


class Delivery:
    """Writes entries to the ledger through a peer, or from this node.

    The writer of a partition is chosen by rendezvous hash over the nodes, so
    that one node batches the entries of all. If the writer fails, the next
    one by rank is tried, and this node last. The choice need not be unique,
    as the writes to the ledger are conditional and it drops duplicates.

    :param hub: links to the peers.
    :param open_partition: returns a partition of the ledger by its number.
    :param tuning: returns the tuning in force.
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
        self._writers_chosen_at = clock.monotonic()
        self._failed = metrics.counter(
            "limpetwalk_bill_writes_failed",
            "Writes of bill entries that failed at one node.",
            ("reason",),
        )

    async def deliver(self, partition: int, entries: Entries) -> bool:
        """Write entries of one partition to the ledger.

        :returns: whether the entries are durable.
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

        :raises StoreError: when the entries may not be durable.
        """
        if partition not in self._writers:
            self._writers[partition] = self._make_batcher(
                self._open_partition(partition)
            )
        await self._writers[partition].write(entries)

    async def collect_here(self, partition: int, entries: Entries) -> None:
        """Send entries of this zone to the writer of their partition.

        :raises StoreError: when the entries may not be durable.
        """
        if partition not in self._collectors:
            self._collectors[partition] = self._make_batcher(
                _RemotePartition(self._write, partition)
            )
        await self._collectors[partition].write(entries)

    def _make_batcher(
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
        for name in self._writer_candidates(partition):
            if await self._try_peer(name, message):
                return
        await self._run_here(self.write_here, partition, entries)

    async def _collect(self, partition: int, entries: Entries) -> None:
        message = messages.BillEntries(
            partition, tuple(entries), messages.Purpose.COLLECT
        )
        zone_peers = [
            peer.name
            for peer in self._hub.live()
            if peer.zone == self._hub.zone and not peer.leaving
        ]
        for name in self._peers_before_self(
            f"collect/{partition}", zone_peers
        ):
            if await self._try_peer(name, message):
                return
        await self._run_here(self.collect_here, partition, entries)

    async def _try_peer(
        self, name: str, message: messages.BillEntries
    ) -> bool:
        try:
            await self._hub.request(name, message, WRITE_TIMEOUT)
        except exceptions.PeerUnavailable:
            self._failed.labels("peer").inc()
            return False
        return True

    async def _run_here(
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

    def _writer_candidates(self, partition: int) -> list[str]:
        """Return the peers to try before this node writes entries itself."""
        if self._hub.is_full_mesh:
            names = [p.name for p in self._hub.live() if not p.leaving]
            return self._peers_before_self(f"ledger/{partition}", names)
        now = self._clock.monotonic()
        if now - self._writers_chosen_at > WRITER_CHOICE_TTL:
            self._writers_chosen_at = now
            self._writer_names.clear()
        if partition not in self._writer_names:
            names = [peer.name for peer in self._hub.candidates()]
            ranked = self._peers_before_self(f"ledger/{partition}", names)
            self._writer_names[partition] = ranked
        return self._writer_names[partition]

    def _peers_before_self(self, role: str, names: Sequence[str]) -> list[str]:
        """Return the first names by rank for a role, up to this node."""
        ranked = rendezvous.rank(role, [*names, self._hub.name])
        return list(
            itertools.takewhile(
                lambda name: name != self._hub.name, ranked[:MAX_PEERS_TRIED]
            )
        )


class _RemotePartition:
    """Partition whose entries are sent to its writer."""

    def __init__(
        self,
        write: Callable[[int, Entries], Awaitable[None]],
        number: int,
    ) -> None:
        self._write = write
        self._number = number

    async def append(self, entries: Entries) -> int:
        """Send entries to the writer and return their number."""
        await self._write(self._number, entries)
        return len(entries)
