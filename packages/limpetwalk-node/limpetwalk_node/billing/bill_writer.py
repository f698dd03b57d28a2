"""Batches bill entries into one append to the ledger per interval."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

from limpetwalk import clock as clocks
from limpetwalk import metrics as metrics_
from limpetwalk.ledger import base as ledger


class Partition(Protocol):
    """Partition of the ledger that entries are appended to."""

    async def append(self, entries: Sequence[ledger.BillEntry]) -> int:
        """Append the entries that the ledger does not contain yet.

        :returns: number of entries appended by this call.
        :raises StoreError: when entries may not be durable.
        """
        ...


class PartitionWriter:
    """Batches the entries of one partition.

    The first entry after an idle interval is written at once. Later ones wait
    until an interval has passed since the last append began.

    :param partition: partition to append to.
    :param interval: returns the time between appends, in seconds.
    :param clock: source of time.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        partition: Partition,
        interval: Callable[[], float],
        clock: clocks.Clock,
        metrics: metrics_.Metrics,
    ) -> None:
        self._partition = partition
        self._interval = interval
        self._clock = clock
        self._pending: list[ledger.BillEntry] = []
        self._batch_fut: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._next_append_at = clock.monotonic()
        self._appends = metrics.counter(
            "limpetwalk_bill_appends",
            "Appends to the ledger by this node.",
            ("outcome",),
        )
        self._latency = metrics.latency(
            "limpetwalk_bill_append", "Time that an append took."
        )

    async def write(self, entries: Sequence[ledger.BillEntry]) -> None:
        """Write entries, and return once they are durable.

        :raises StoreError: when the entries may not be durable.
        """
        if self._batch_fut is None:
            self._batch_fut = asyncio.get_running_loop().create_future()
        fut = self._batch_fut
        self._pending.extend(entries)
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        await asyncio.shield(fut)

    async def _run(self) -> None:
        try:
            while self._pending:
                delay = self._next_append_at - self._clock.monotonic()
                if delay > 0:
                    await asyncio.sleep(delay)
                await self._append()
        finally:
            self._task = None

    async def _append(self) -> None:
        entries, fut = self._pending, self._batch_fut
        assert fut is not None
        self._pending, self._batch_fut = [], None
        started_at = self._clock.monotonic()
        self._next_append_at = started_at + self._interval()
        try:
            await self._partition.append(entries)
        except Exception as exc:
            self._appends.labels("failed").inc()
            fut.set_exception(exc)
            # All callers may have been cancelled. Retrieving the exception
            # avoids asyncio's warning about an unretrieved one.
            fut.exception()
            return
        self._appends.labels("written").inc()
        self._latency.record(self._clock.monotonic() - started_at)
        fut.set_result(None)
