"""Writes the spilled bill entries of lost nodes to the ledger."""

import asyncio
from collections.abc import Callable

from loguru import logger

from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import rendezvous

from . import bill_spill
from . import bill_writer

SWEEP_INTERVAL = 60.0  # seconds
SWEEPER_ROLE = "bill-sweeper"


class SpillSweeper:
    """Writes spilled entries of lost nodes to the ledger.

    A rendezvous hash chooses the node that sweeps. Two nodes that sweep at
    once are harmless, as the ledger drops duplicates.

    :param hub: links to the peers.
    :param spills: store of spill objects.
    :param open_partition: returns a partition of the ledger that remembers
        entries from before the object was stored.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        spills: bill_spill.SpillStore,
        open_partition: Callable[[int], bill_writer.Partition],
        metrics: metrics_.Metrics,
    ) -> None:
        self._hub = hub
        self._spills = spills
        self._open_partition = open_partition
        self._task: asyncio.Task[None] | None = None
        self._swept = metrics.counter(
            "limpetwalk_bill_spills_swept",
            "Objects of lost nodes whose entries were brought in.",
        )
        self._failed = metrics.counter(
            "limpetwalk_bill_sweeps_failed", "Sweeps that did not finish."
        )

    async def start(self) -> None:
        """Start the periodic sweeps."""
        self._task = asyncio.create_task(self._sweep_periodically())

    async def stop(self) -> None:
        """Stop the periodic sweeps."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def sweep(self) -> None:
        """Write the entries of lost nodes' objects to the ledger.

        It does nothing unless this node is the one that sweeps.

        :raises StoreError: when a store does not answer.
        """
        heartbeats = self._hub.members.live_heartbeats()
        names = [*heartbeats, self._hub.name]
        if rendezvous.owner(SWEEPER_ROLE, names) != self._hub.name:
            return
        live_boot_ids = {
            heartbeat.boot_id for heartbeat in heartbeats.values()
        }
        live_boot_ids.add(self._hub.boot_id)
        for name in await self._spills.open_names():
            if bill_spill.boot_of(name) not in live_boot_ids:
                await self._recover(name)

    async def _recover(self, name: str) -> None:
        by_partition: dict[int, list[bill_spill.SpilledEntry]] = {}
        for spilled in await self._spills.load(name):
            by_partition.setdefault(spilled.partition, []).append(spilled)
        for number, entries in by_partition.items():
            partition = self._open_partition(number)
            await partition.append([spilled.entry for spilled in entries])
        await self._spills.mark_done(name)
        self._swept.inc()
        logger.info(
            "appended the bill entries of spill object {} to the ledger", name
        )

    async def _sweep_periodically(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            try:
                await self.sweep()
            except exceptions.StoreError:
                self._failed.inc()
