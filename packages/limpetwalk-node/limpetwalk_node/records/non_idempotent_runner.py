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

from .. import lifecycle
from .. import protocols
from ..api import request_ids
from ..billing import answer_biller
from . import record_dispatch
from . import record_refusals
from . import record_resolver
from . import record_writer

_AT_WORK = (records.RecordState.CLAIMED, records.RecordState.DISPATCHED)
# Age of a request in seconds up to which its replay is billed again; the
# ledger's memory of entries is longer at any load that it is made for.
REBILL_AGE = 120.0


@dataclass(frozen=True, slots=True)
class WaitLimits:
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


class NonIdempotentRunner:
    """Runs non-idempotent requests by their records.

    :param holder: name under which this node claims records.
    :param store: durable records.
    :param services: calls plain services.
    :param notes: notes the end of runs.
    :param bills_: writes bill entries.
    :param node_lifecycle: in-flight count, which covers runs whose caller
        left.
    :param is_live: tells whether a holder is still at work.
    :param settling: settles records that were left open.
    :param clock: clock of the requests' ages.
    :param waits: bounds of waits.
    """

    def __init__(
        self,
        holder: str,
        store: records.RecordStore,
        services: protocols.ServiceCaller,
        notes: record_writer.RecordWriter,
        bills_: answer_biller.AnswerBiller,
        node_lifecycle: lifecycle.Lifecycle,
        is_live: Callable[[str], bool],
        settling: record_resolver.RecordResolver,
        clock: clocks.Clock,
        waits: WaitLimits,
    ) -> None:
        self._holder = holder
        self._store = store
        self._services = services
        self._notes = notes
        self._bills = bills_
        self._lifecycle = node_lifecycle
        self._is_live = is_live
        self._settling = settling
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
        task.add_done_callback(lambda done: self._end(place, done))
        return await asyncio.shield(task)

    def _end(
        self, place: tuple[str, str], task: "asyncio.Task[Outcome]"
    ) -> None:
        del self._runs[place]
        if not task.cancelled():
            # The caller may have left, so nobody else may look at it.
            task.exception()

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
        self._lifecycle.begin_work()
        try:
            outcome = await self._claim(ident, item)
            await self._bill_run(ident, item, outcome)
            return outcome
        finally:
            self._lifecycle.end_work()

    async def _bill_run(
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
        age = request_ids.age_seconds(outcome.request_id, self._clock)
        if not outcome.replayed or age <= REBILL_AGE:
            await self._bills.write_service_call(
                ident.workspace, ident.key, outcome.request_id, item.service
            )

    async def _claim(
        self, ident: records.RecordIdent, item: work.ServiceWork
    ) -> Outcome:
        try:
            claim = await self._store.claim(ident, item.request_id)
        except exceptions.StoreError:
            raise record_refusals.record_unread() from None
        if isinstance(claim, records.KeyReused):
            raise record_refusals.key_reused()
        if isinstance(claim, records.Existing):
            return await self._follow(claim.record)
        return await self._dispatch(claim.record, item)

    async def _dispatch(
        self, record: records.Record, item: work.ServiceWork
    ) -> Outcome:
        dispatch = record_dispatch.RecordDispatch(self._store, record)
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
        not_run = refusal.run_state is refusals.RunState.NOT_RUN
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
            if not self._is_at_work(current):
                return await self._conclude(current)
            if loop.time() >= until:
                raise record_refusals.in_progress()
            await asyncio.sleep(self._waits.poll_interval)
            current = await self._read(current.ident)
        raise record_refusals.in_progress()

    def _is_at_work(self, record: records.Record) -> bool:
        """Tell whether the run of a record may still end by itself."""
        if record.state not in _AT_WORK or record.holder == self._holder:
            # A run of this process is in the map and was joined there.
            return False
        return self._is_live(record.holder)

    async def _conclude(self, record: records.Record) -> Outcome:
        """Return the outcome of a record that nobody is at work on."""
        if record.state is records.RecordState.CLAIMED:
            await self._close_claim(record)
            raise record_refusals.abandoned()
        settled = await self._settling.resolve(record)
        if settled.answer is None:
            raise record_refusals.unknown(record.ident)
        return Outcome(settled.answer, settled.request_id, replayed=True)

    async def _close_claim(self, record: records.Record) -> None:
        """Close a claim that this process made and lost sight of.

        :raises Refused: when it can't be closed, so may yet be dispatched.
        """
        state = records.RecordState.NOT_RUN
        try:
            closed = await self._store.finish(record, state)
        except exceptions.StoreError:
            raise record_refusals.in_progress() from None
        if closed.is_err():
            raise record_refusals.in_progress()

    async def resolve(self, record: records.Record) -> records.Record:
        """Return a record, settled when nobody is at work on it."""
        place = (record.ident.workspace, record.ident.key)
        if place in self._runs or self._is_at_work(record):
            return record
        return await self._settling.resolve(record)

    async def _read(self, ident: records.RecordIdent) -> records.Record | None:
        try:
            return await self._store.read(ident.workspace, ident.key)
        except exceptions.StoreError:
            raise record_refusals.in_progress() from None
