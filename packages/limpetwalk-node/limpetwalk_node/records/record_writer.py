"""Notes of how runs ended, kept up while the store is away."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

from result import Result

from limpetwalk import exceptions
from limpetwalk import metrics as measures
from limpetwalk.backends import base as backends
from limpetwalk.records import base as records

from .. import lifecycle

Moved = Result[records.Record, records.LostClaim]

# States from which the store lets a record be answered or finished.
_ANSWERABLE = (records.RecordState.DISPATCHED, records.RecordState.UNKNOWN)
_FINISHABLE = (records.RecordState.CLAIMED, records.RecordState.DISPATCHED)


@dataclass(frozen=True, slots=True)
class _Move:
    make: Callable[[records.Record], Awaitable[Moved]]
    allowed: tuple[records.RecordState, ...]


@dataclass(frozen=True, slots=True)
class WriteRetries:
    """Bound of the tries to note an end while the store is away.

    :param attempts: most tries.
    :param interval: time between tries, in seconds.
    """

    attempts: int = 60
    interval: float = 0.5


class RecordWriter:
    """Writes answers and ends to records.

    The first try is awaited; when the store is away, the note is tried
    again in the background and the caller gets what is known at once.

    :param store: durable records.
    :param node_lifecycle: in-flight count, which covers notes being written.
    :param metrics: metrics of the process.
    :param retries: bound of the tries.
    """

    def __init__(
        self,
        store: records.RecordStore,
        node_lifecycle: lifecycle.Lifecycle,
        metrics: measures.Metrics,
        retries: WriteRetries,
    ) -> None:
        self._store = store
        self._lifecycle = node_lifecycle
        self._retries = retries
        self._tasks: set[asyncio.Task[None]] = set()
        self._notes = metrics.counter(
            "limpetwalk_record_notes",
            "Ends of records by whether they could be noted.",
            ("outcome",),
        )

    async def answer(
        self, record: records.Record, answer: backends.ServiceAnswer
    ) -> None:
        """Note the answer of a run."""
        move = _Move(
            lambda current: self._store.answer(current, answer), _ANSWERABLE
        )
        await self._note(record, move)

    async def finish(
        self, record: records.Record, state: records.RecordState
    ) -> None:
        """Note that a run ended without an answer."""
        move = _Move(
            lambda current: self._store.finish(current, state), _FINISHABLE
        )
        await self._note(record, move)

    async def _note(self, record: records.Record, move: _Move) -> None:
        if await self._try(record, move):
            return
        self._notes.labels("delayed").inc()
        task = asyncio.create_task(self._keep_trying(record, move))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _keep_trying(self, record: records.Record, move: _Move) -> None:
        self._lifecycle.begin_work()
        try:
            for _ in range(self._retries.attempts):
                await asyncio.sleep(self._retries.interval)
                if await self._try(record, move):
                    return
            self._notes.labels("given_up").inc()
        finally:
            self._lifecycle.end_work()

    async def _try(self, record: records.Record, move: _Move) -> bool:
        """Make one try; return whether no other one is needed."""
        try:
            moved = await move.make(record)
            if moved.is_err():
                moved = await self._from_own(record, moved, move)
        except exceptions.StoreError:
            return False
        self._notes.labels("lost" if moved.is_err() else "written").inc()
        return True

    async def _from_own(
        self,
        record: records.Record,
        moved: Moved,
        move: _Move,
    ) -> Moved:
        """Try from the row as it stands when it is still of the same run.

        A write whose answer was lost leaves the row one version ahead, and
        a node that took this one for gone may have closed it as unknown.
        """
        held = moved.unwrap_err().record
        if held is None or held.state not in move.allowed:
            return moved
        if (held.holder, held.request_id) != (
            record.holder,
            record.request_id,
        ):
            return moved
        return await move.make(held)
