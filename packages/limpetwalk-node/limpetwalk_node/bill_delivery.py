"""Ways of a bill entry to the writer of its ledger partition."""

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


class Delivery:
    """Brings entries into the ledger by the writer, the next or this node.

    The writer of a partition is chosen by rendezvous hash over the live
    nodes, so that one node batches the entries of all. The choice is only a
    hint: the table decides, and drops repeats.

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
        self._resent = metrics.counter(
            "limpetwalk_bill_writes_failed",
            "Writes of bill entries that failed at one node.",
            ("reason",),
        )

    async def deliver(
        self, partition: int, entries: Sequence[ledger.BillEntry]
    ) -> bool:
        """Bring entries of one partition into the ledger.

        :returns: whether they are durable now.
        """
        for name in self._writer_names(partition):
            try:
                await self._write_at(name, partition, entries)
            except exceptions.LimpetwalkError as exc:
                self._resent.labels(type(exc).__name__).inc()
                continue
            return True
        return False

    async def write_here(
        self, partition: int, entries: Sequence[ledger.BillEntry]
    ) -> None:
        """Append entries to the ledger from this node.

        :raises StoreError: when they may not be durable.
        """
        if partition not in self._writers:
            self._writers[partition] = bill_writer.PartitionWriter(
                self._open_partition(partition),
                lambda: self._tuning().ledger_interval,
                self._clock,
                self._metrics,
            )
        await self._writers[partition].write(entries)

    def _writer_names(self, partition: int) -> list[str]:
        names = [peer.name for peer in self._hub.live() if not peer.leaving]
        ranked = rendezvous.rank(
            f"ledger/{partition}", [*names, self._hub.name]
        )
        others = itertools.takewhile(
            lambda name: name != self._hub.name, ranked[:WRITER_TRIES]
        )
        return [*others, self._hub.name]

    async def _write_at(
        self,
        name: str,
        partition: int,
        entries: Sequence[ledger.BillEntry],
    ) -> None:
        if name == self._hub.name:
            await self.write_here(partition, entries)
            return
        message = messages.BillEntries(
            partition, tuple(entries), messages.Purpose.WRITE
        )
        await self._hub.request(name, message, WRITE_TIMEOUT)
