"""Batches the bill entries whose copies are sent to a peer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

from . import bill_backlog

SendCopies = Callable[[list[bill_backlog.PendingEntry]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class _QueuedEntry:
    pending: bill_backlog.PendingEntry
    completed: asyncio.Future[None]


class CopyBatcher:
    """Sends copies of entries to a peer, one batch at a time.

    While a batch is being sent, new entries wait for the next batch. So the
    batches grow with the load, and an idle node adds no delay.

    :param send: sends a batch and records which peer holds the copies.
    """

    def __init__(self, send: SendCopies) -> None:
        self._send = send
        self._queue: list[_QueuedEntry] = []
        self._task: asyncio.Task[None] | None = None

    async def copy(self, pending: bill_backlog.PendingEntry) -> None:
        """Return once the batch with this entry was answered or failed."""
        fut = asyncio.get_running_loop().create_future()
        self._queue.append(_QueuedEntry(pending, fut))
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        await fut

    async def stop(self) -> None:
        """Stop without sending the queued entries."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        batch: list[_QueuedEntry] = []
        try:
            while self._queue:
                batch, self._queue = self._queue, []
                await self._send([queued.pending for queued in batch])
                _complete(batch)
        finally:
            self._task = None
            _complete(batch + self._queue)
            self._queue = []


def _complete(batch: list[_QueuedEntry]) -> None:
    for queued in batch:
        if not queued.completed.done():
            queued.completed.set_result(None)
