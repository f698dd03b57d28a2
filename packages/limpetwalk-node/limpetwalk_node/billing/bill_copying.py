"""Batches of bill entries on their way to the peer that holds copies."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

from . import bill_backlog

Send = Callable[[list[bill_backlog.HeldEntry]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class _Waiting:
    held: bill_backlog.HeldEntry
    sent: asyncio.Future[None]


class Copying:
    """Sends entries to be copied, one batch at a time.

    While a batch is under way the entries that arrive wait for the next, so
    the batches grow with the load and an idle node adds no wait.

    :param send: sends a batch and marks the entries that are held then.
    """

    def __init__(self, send: Send) -> None:
        self._send = send
        self._waiting: list[_Waiting] = []
        self._task: asyncio.Task[None] | None = None

    async def copy(self, held: bill_backlog.HeldEntry) -> None:
        """Return once the batch with this entry was answered or lost."""
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(held, fut))
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        await fut

    async def stop(self) -> None:
        """Stop; entries that wait are not sent."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        batch: list[_Waiting] = []
        try:
            while self._waiting:
                batch, self._waiting = self._waiting, []
                await self._send([each.held for each in batch])
                _wake(batch)
        finally:
            self._task = None
            _wake(batch + self._waiting)
            self._waiting = []


def _wake(batch: list[_Waiting]) -> None:
    for each in batch:
        if not each.sent.done():
            each.sent.set_result(None)
