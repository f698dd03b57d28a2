"""Run of a non-idempotent request, at most once.

The record is moved to ``dispatched`` before any byte is sent. The run is a
task of its own: a caller that leaves does not stop it half-way.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import refusals
from limpetwalk.backends import base as backends
from limpetwalk.records import base as records
from limpetwalk.routing import work

from . import bills
from . import lifecycle
from . import parts
from . import record_notes
from . import record_refusals
from . import request_ids

# Age of a request in seconds up to which its replay is billed again; the
# ledger's memory of entries is longer at any load that it is made for.
REBILL_AGE = 120.0


@dataclass(frozen=True, slots=True)
class Waits:
    """Bounds of a repeat's wait for the run under way, in seconds.

    :param progress_timeout: longest wait before the caller is told.
    :param poll_interval: time between reads of another node's record.
    """

    progress_timeout: float = 5.0
    poll_interval: float = 0.2


@dataclass(frozen=True, slots=True)
class Outcome:
    """Answer of a non-idempotent request.

    :param answer: answer of the plain service.
    :param request_id: identifier under which it ran.
    :param replayed: whether an earlier request ran it.
    """

    answer: backends.ServiceAnswer
    request_id: str
    replayed: bool


@dataclass(frozen=True, slots=True)
class _Run:
    ident: records.RecordIdent
    task: "asyncio.Task[Outcome]"


class RecordFlow:
    """Runs non-idempotent requests by their records.

    :param holder: name under which this node claims records.
    :param store: durable records.
    :param services: calls plain services.
    :param notes: notes the end of runs.
    :param bills_: writes bill entries.
    :param life: in-flight count, which covers runs whose caller left.
    :param is_live: tells whether a holder is still at work.
    :param clock: clock of the requests' ages.
    :param waits: bounds of waits.
    """

    def __init__(
        self,
        holder: str,
        store: records.RecordStore,
        services: parts.Services,
        notes: record_notes.RecordNotes,
        bills_: bills.Bills,
        life: lifecycle.Lifecycle,
        is_live: Callable[[str], bool],
        clock: clocks.Clock,
        waits: Waits,
    ) -> None:
        self._holder = holder
        self._store = store
        self._services = services
        self._notes = notes
        self._bills = bills_
        self._life = life
        self._is_live = is_live
        self._clock = clock
        self._waits = waits
        self._runs: dict[tuple[str, str], _Run] = {}

    async def run(
        self, ident: records.RecordIdent, item: work.ServiceWork
    ) -> Outcome:
        """Return the answer of a request, run now or earlier.

        :raises Refused: when there is no answer.
        """
        place = (ident.workspace, ident.key)
        run = self._runs.get(place)
        if run is not None:
            return await self._join(run, ident)
        task = asyncio.create_task(self._run(ident, item))
        self._runs[place] = _Run(ident, task)
        task.add_done_callback(lambda _: self._runs.pop(place, None))
        return await asyncio.shield(task)

    async def _join(self, run: _Run, ident: records.RecordIdent) -> Outcome:
        if run.ident != ident:
            raise record_refusals.key_reused()
        try:
            async with asyncio.timeout(self._waits.progress_timeout):
                outcome = await asyncio.shield(run.task)
        except TimeoutError:
            raise record_refusals.in_progress() from None
        return Outcome(outcome.answer, outcome.request_id, replayed=True)

    async def _run(
        self, ident: records.RecordIdent, item: work.ServiceWork
    ) -> Outcome:
        self._life.enter()
        try:
            outcome = await self._claim(ident, item)
            await self._bill(ident, item, outcome)
            return outcome
        finally:
            self._life.leave()

    async def _bill(
        self,
        ident: records.RecordIdent,
        item: work.ServiceWork,
        outcome: Outcome,
    ) -> None:
        """Bill an answer.

        A fresh replay is billed too, because the node that ran the request
        may have been lost before its entry was written; the ledger drops an
        entry that it has already. It remembers entries for a while only, so
        a later replay is not billed.
        """
        age = request_ids.age(outcome.request_id, self._clock)
        if outcome.replayed and age > REBILL_AGE:
            return
        await self._bills.write(
            ident.workspace,
            ident.key,
            outcome.request_id,
            item.service,
            (item.service,),
        )

    async def _claim(
        self, ident: records.RecordIdent, item: work.ServiceWork
    ) -> Outcome:
        try:
            claim = await self._store.claim(ident, item.request_id)
        except exceptions.StoreError:
            raise record_refusals.store_down() from None
        if isinstance(claim, records.KeyReused):
            raise record_refusals.key_reused()
        if isinstance(claim, records.Existing):
            return await self._follow(claim.record)
        return await self._dispatch(claim.record, item)

    async def _dispatch(
        self, record: records.Record, item: work.ServiceWork
    ) -> Outcome:
        dispatch = _Dispatch(self._store, record)
        try:
            answer = await self._services.call_once(
                item, dispatch.before_send, dispatch.unsent
            )
        except refusals.Refused as exc:
            await self._note_refusal(dispatch.record, exc.refusal)
            raise record_refusals.told(exc.refusal, record.ident) from None
        await self._notes.answer(dispatch.record, answer)
        return Outcome(answer, record.request_id, replayed=False)

    async def _note_refusal(
        self, record: records.Record, refusal: refusals.Refusal
    ) -> None:
        not_run = refusal.run is refusals.RunState.NOT_RUN
        state = records.RecordState.UNKNOWN
        if not_run:
            state = records.RecordState.NOT_RUN
        await self._notes.finish(record, state)

    async def _follow(self, record: records.Record) -> Outcome:
        """Wait for the outcome of a record that another run made."""
        current: records.Record | None = record
        loop = asyncio.get_running_loop()
        until = loop.time() + self._waits.progress_timeout
        while current is not None:
            if current.answer is not None:
                return Outcome(
                    current.answer, current.request_id, replayed=True
                )
            if current.state is records.RecordState.UNKNOWN:
                raise record_refusals.unknown(current.ident)
            if not self._is_at_work(current):
                return await self._settle(current)
            if loop.time() >= until:
                raise record_refusals.in_progress()
            await asyncio.sleep(self._waits.poll_interval)
            current = await self._read(current.ident)
        raise record_refusals.in_progress()

    def _is_at_work(self, record: records.Record) -> bool:
        if record.holder == self._holder:
            # A run of this process is in the map and was joined there.
            return False
        return self._is_live(record.holder)

    async def _settle(self, record: records.Record) -> Outcome:
        """Close a record whose holder is gone, without running it again."""
        if record.state is records.RecordState.DISPATCHED:
            await self._notes.finish(record, records.RecordState.UNKNOWN)
            raise record_refusals.unknown(record.ident)
        await self._notes.finish(record, records.RecordState.NOT_RUN)
        raise record_refusals.abandoned()

    async def _read(self, ident: records.RecordIdent) -> records.Record | None:
        try:
            return await self._store.read(ident.workspace, ident.key)
        except exceptions.StoreError:
            raise record_refusals.in_progress() from None


class _Dispatch:
    """Keeps the record in step with the attempts of one run."""

    def __init__(
        self, store: records.RecordStore, record: records.Record
    ) -> None:
        self._store = store
        self.record = record

    async def before_send(self, server: str, attempt_id: str) -> None:
        """Make the dispatch durable.

        :raises Refused: when it is not; nothing is sent then.
        """
        try:
            moved = await self._store.dispatch(self.record, attempt_id, server)
        except exceptions.StoreError:
            raise record_refusals.store_down() from None
        if moved.is_err():
            raise record_refusals.lost_claim()
        self.record = moved.unwrap()

    async def unsent(self) -> None:
        """Move the record back after an attempt that did not run.

        :raises Refused: when it can't be moved, so no other attempt is made.
        """
        try:
            moved = await self._store.release(self.record)
        except exceptions.StoreError:
            raise record_refusals.store_down() from None
        if moved.is_err():
            raise record_refusals.lost_claim()
        self.record = moved.unwrap()
