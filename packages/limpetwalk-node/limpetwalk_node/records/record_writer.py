"""Writes the outcomes of runs to records, with retries."""

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

ChangeResult = Result[records.Record, records.LostClaim]

# States from which the store lets a record be answered or finished.
_ANSWERABLE = (records.RecordState.DISPATCHED, records.RecordState.UNKNOWN)
_FINISHABLE = (records.RecordState.CLAIMED, records.RecordState.DISPATCHED)


@dataclass(frozen=True, slots=True)
class _Change:
    apply: Callable[[records.Record], Awaitable[ChangeResult]]
    allowed_states: tuple[records.RecordState, ...]
    state: records.RecordState


@dataclass(frozen=True, slots=True)
class WriteRetries:
    """Limits of the retries of a write while the store is unavailable.

    :param attempts: maximum number of retries.
    :param interval: time between retries, in seconds.
    """

    attempts: int = 60
    interval: float = 0.5


class RecordWriter:
    """Writes answers and final states to records.

    The first write is awaited. If the store is unavailable, the write is
    retried in the background, so that the caller does not wait for it.

    :param store: durable records.
    :param node_lifecycle: lifecycle whose in-flight count covers background
        retries.
    :param metrics: metrics of the process.
    :param retries: limits of the retries.
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
        # Requests that did not run, while their records don't say so.
        self._unsent: set[str] = set()
        self._writes = metrics.counter(
            "limpetwalk_record_notes",
            "Ends of records by whether they could be noted.",
            ("outcome",),
        )

    async def answer(
        self, record: records.Record, answer: backends.ServiceAnswer
    ) -> None:
        """Write the answer of a run."""
        change = _Change(
            lambda current: self._store.answer(current, answer),
            _ANSWERABLE,
            records.RecordState.ANSWERED,
        )
        await self._write(record, change)

    async def finish(
        self, record: records.Record, state: records.RecordState
    ) -> None:
        """Write that a run ended without an answer, as a final state."""
        change = _Change(
            lambda current: self._store.finish(current, state),
            _FINISHABLE,
            state,
        )
        await self._write(record, change)

    def is_unsent(self, record: records.Record) -> bool:
        """Return whether it is still to be written that a request didn't run.

        The record may say that it was dispatched.
        """
        return record.request_id in self._unsent

    async def _write(self, record: records.Record, change: _Change) -> None:
        if await self._write_once(record, change):
            return
        self._writes.labels("delayed").inc()
        if change.state is records.RecordState.NOT_RUN:
            self._unsent.add(record.request_id)
        task = asyncio.create_task(self._retry(record, change))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _retry(self, record: records.Record, change: _Change) -> None:
        self._lifecycle.begin_work()
        try:
            for _ in range(self._retries.attempts):
                await asyncio.sleep(self._retries.interval)
                if await self._write_once(record, change):
                    return
            self._writes.labels("given_up").inc()
        finally:
            self._unsent.discard(record.request_id)
            self._lifecycle.end_work()

    async def _write_once(
        self, record: records.Record, change: _Change
    ) -> bool:
        """Write once; return whether no retry is needed."""
        try:
            result = await change.apply(record)
            if result.is_err():
                result = await self._write_to_current(record, result, change)
        except exceptions.StoreError:
            return False
        self._writes.labels("lost" if result.is_err() else "written").inc()
        return True

    async def _write_to_current(
        self,
        record: records.Record,
        result: ChangeResult,
        change: _Change,
    ) -> ChangeResult:
        """Write again on top of the current row if it is of the same run.

        A write whose answer was lost leaves the row one version ahead. Also,
        a node that treated this one as lost may have closed it as unknown.
        """
        current = result.unwrap_err().record
        if current is None or current.state not in change.allowed_states:
            return result
        if (current.holder, current.request_id) != (
            record.holder,
            record.request_id,
        ):
            return result
        return await change.apply(current)
