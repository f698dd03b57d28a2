"""Batches of bill entries on their way to the peer that holds copies."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

from . import bill_backlog

MAX_UNDER_WAY = 4

Send = Callable[[list[bill_backlog.HeldEntry]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class _Waiting:
    held: bill_backlog.HeldEntry
    sent: asyncio.Future[None]


class Copying:
    """Sends entries to be copied, a few batches at a time.

    While as many batches are under way as may be, the entries that arrive
    wait for the next, so the batches grow with the load.

    :param send: sends a batch and marks the entries that are held then.
    """

    def __init__(self, send: Send) -> None:
        self._send = send
        self._waiting: list[_Waiting] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def copy(self, held: bill_backlog.HeldEntry) -> None:
        """Return once the batch with this entry was answered or lost."""
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(held, fut))
        if len(self._tasks) < MAX_UNDER_WAY:
            task = asyncio.create_task(self._run())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await fut

    async def stop(self) -> None:
        """Stop; entries that wait are not sent."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        _wake(self._waiting)
        self._waiting = []

    async def _run(self) -> None:
        while self._waiting:
            batch, self._waiting = self._waiting, []
            try:
                await self._send([each.held for each in batch])
            finally:
                _wake(batch)


def _wake(batch: list[_Waiting]) -> None:
    for each in batch:
        if not each.sent.done():
            each.sent.set_result(None)
