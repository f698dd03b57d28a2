"""Takes up the spilled bill entries of nodes that are gone."""

import asyncio
from collections.abc import Callable

from loguru import logger

from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import rendezvous

from . import bill_spill
from . import bill_writer

SWEEP_INTERVAL = 60.0
ROLE = "bill-sweeper"


class SpillSweeper:
    """Brings spilled entries of nodes that are gone into the ledger.

    One node sweeps, by rendezvous hash; two at once do no harm, since the
    ledger drops repeats.

    :param hub: links to the peers.
    :param spills: objects with held entries.
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
        """Begin to sweep now and then."""
        self._task = asyncio.create_task(self._sweep_forever())

    async def stop(self) -> None:
        """Stop sweeping."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def sweep(self) -> None:
        """Take up the objects whose node is gone.

        :raises StoreError: when a store does not answer.
        """
        beats = self._hub.members.live_heartbeats()
        names = [*beats, self._hub.name]
        if rendezvous.owner(ROLE, names) != self._hub.name:
            return
        alive = {beat.boot_id for beat in beats.values()}
        alive.add(self._hub.boot_id)
        for name in await self._spills.open_names():
            if bill_spill.boot_of(name) not in alive:
                await self._take_up(name)

    async def _take_up(self, name: str) -> None:
        by_partition: dict[int, list[bill_spill.SpilledEntry]] = {}
        for spilled in await self._spills.load(name):
            by_partition.setdefault(spilled.partition, []).append(spilled)
        for number, entries in by_partition.items():
            partition = self._open_partition(number)
            await partition.append([spilled.entry for spilled in entries])
        await self._spills.mark_done(name)
        self._swept.inc()
        logger.info("brought in the spilled bill entries of {}", name)

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            try:
                await self.sweep()
            except exceptions.StoreError:
                self._failed.inc()
