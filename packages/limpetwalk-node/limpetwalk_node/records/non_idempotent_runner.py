"""Runs a non-idempotent request at most once.

The record changes to ``dispatched`` before any byte is sent. Each run has its
own task, so that a caller that disconnects does not interrupt it.
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

_ACTIVE_STATES = (records.RecordState.CLAIMED, records.RecordState.DISPATCHED)
# Age of a request in seconds up to which its replay is billed again. At any
# load that the ledger is designed for, it remembers entries for longer.
REBILL_AGE = 120.0


@dataclass(frozen=True, slots=True)
class WaitLimits:
    """Limits of the wait of a retried request for a running one, in seconds.

    :param progress_timeout: longest wait before the caller is told that the
        request is in progress.
    :param poll_interval: time between reads of another node's record.
    """

    progress_timeout: float = 5.0
    poll_interval: float = 0.2


@dataclass(frozen=True, slots=True)
class Outcome:
    """Answer of a non-idempotent request.

    :param answer: answer of the plain service.
    :param request_id: identifier under which the request ran.
    :param replayed: whether the answer comes from an earlier request's run.
    """

    answer: backends.ServiceAnswer
    request_id: str
    replayed: bool


@dataclass(frozen=True, slots=True)
class _Run:
    ident: records.RecordIdent
    task: "asyncio.Task[Outcome]"


class NonIdempotentRunner:
    """Runs non-idempotent requests according to their records.

    :param holder: name under which this node claims records.
    :param store: durable records.
    :param services: calls plain services.
    :param outcome_writer: writes the outcomes of runs to records.
    :param biller: writes bill entries.
    :param node_lifecycle: lifecycle whose in-flight count covers all runs,
        also those whose caller disconnected.
    :param is_live: returns whether a holder may still be working.
    :param resolver: resolves records that were left without an outcome.
    :param clock: source of time for the age of requests.
    :param wait_limits: limits of the wait for a running request.
    """

    def __init__(
        self,
        holder: str,
        store: records.RecordStore,
        services: protocols.ServiceCaller,
        outcome_writer: record_writer.RecordWriter,
        biller: answer_biller.AnswerBiller,
        node_lifecycle: lifecycle.Lifecycle,
        is_live: Callable[[str], bool],
        resolver: record_resolver.RecordResolver,
        clock: clocks.Clock,
        wait_limits: WaitLimits,
    ) -> None:
        self._holder = holder
        self._store = store
        self._services = services
        self._outcome_writer = outcome_writer
        self._biller = biller
        self._lifecycle = node_lifecycle
        self._is_live = is_live
        self._resolver = resolver
        self._clock = clock
        self._wait_limits = wait_limits
        self._runs: dict[tuple[str, str], _Run] = {}

    async def run(
        self, ident: records.RecordIdent, item: work.ServiceWork
    ) -> Outcome:
        """Return the answer of a request, run now or earlier.

        :raises Refused: when there is no answer.
        """
        run_key = (ident.workspace, ident.key)
        run = self._runs.get(run_key)
        if run is not None:
            return await self._join(run, ident)
        task = asyncio.create_task(self._run(ident, item))
        self._runs[run_key] = _Run(ident, task)
        task.add_done_callback(
            lambda done_task: self._on_run_done(run_key, done_task)
        )
        return await asyncio.shield(task)

    def _on_run_done(
        self, run_key: tuple[str, str], task: "asyncio.Task[Outcome]"
    ) -> None:
        del self._runs[run_key]
        if not task.cancelled():
            # The caller may have disconnected. Retrieving the exception
            # avoids asyncio's warning about an unretrieved one.
            task.exception()

    async def _join(self, run: _Run, ident: records.RecordIdent) -> Outcome:
        if run.ident != ident:
            raise record_refusals.key_reused()
        try:
            async with asyncio.timeout(self._wait_limits.progress_timeout):
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
        """Bill an answer, unless it is the late replay of an earlier one.

        An early replay is billed too, because the node that ran the request
        may have been lost before it wrote the entry. The ledger drops an
        entry that it already contains. As it remembers entries only for a
        limited time, a replay after ``REBILL_AGE`` is not billed.
        """
        age = request_ids.age_seconds(outcome.request_id, self._clock)
        if not outcome.replayed or age <= REBILL_AGE:
            await self._biller.write_service_call(
                ident.workspace, ident.key, outcome.request_id, item.service
            )

    async def _claim(
        self, ident: records.RecordIdent, item: work.ServiceWork
    ) -> Outcome:
        try:
            claim = await self._store.claim(ident, item.request_id)
        except exceptions.StoreError:
            raise record_refusals.record_unreadable() from None
        if isinstance(claim, records.KeyReused):
            raise record_refusals.key_reused()
        if isinstance(claim, records.Existing):
            return await self._await_outcome(claim.record)
        return await self._dispatch(claim.record, item)

    async def _dispatch(
        self, record: records.Record, item: work.ServiceWork
    ) -> Outcome:
        dispatch = record_dispatch.RecordDispatch(self._store, record)
        try:
            answer = await self._services.call_once(
                item, dispatch.before_send, dispatch.after_unsent
            )
        except refusals.Refused as exc:
            await self._record_refusal(dispatch.record, exc.refusal)
            raise record_refusals.for_caller(
                exc.refusal, record.ident
            ) from None
        await self._outcome_writer.answer(dispatch.record, answer)
        return Outcome(answer, record.request_id, replayed=False)

    async def _record_refusal(
        self, record: records.Record, refusal: refusals.Refusal
    ) -> None:
        not_run = refusal.run_state is refusals.RunState.NOT_RUN
        state = records.RecordState.UNKNOWN
        if not_run:
            state = records.RecordState.NOT_RUN
        await self._outcome_writer.finish(record, state)

    async def _await_outcome(self, record: records.Record) -> Outcome:
        """Wait for the outcome of a record that another run created."""
        current: records.Record | None = record
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._wait_limits.progress_timeout
        while current is not None:
            if current.answer is not None:
                return Outcome(
                    current.answer, current.request_id, replayed=True
                )
            if not self._is_active(current):
                return await self._resolve_inactive(current)
            if loop.time() >= deadline:
                raise record_refusals.in_progress()
            await asyncio.sleep(self._wait_limits.poll_interval)
            current = await self._read(current.ident)
        raise record_refusals.in_progress()

    def _is_active(self, record: records.Record) -> bool:
        """Return whether this or another node may still finish a record."""
        if record.state not in _ACTIVE_STATES:
            return False
        if record.holder == self._holder:
            # An active run of this process would be in ``_runs``, and the
            # request would have joined it. Only its end may be unwritten.
            return self._outcome_writer.is_unsent(record)
        return self._is_live(record.holder)

    async def _resolve_inactive(self, record: records.Record) -> Outcome:
        """Return the outcome of a record that no node is working on."""
        if record.state is records.RecordState.CLAIMED:
            await self._close_claim(record)
            raise record_refusals.abandoned()
        if record.state is records.RecordState.NOT_RUN:
            raise record_refusals.abandoned()
        resolved = await self._resolver.resolve(record)
        if resolved.answer is None:
            raise record_refusals.outcome_unknown(record.ident)
        return Outcome(resolved.answer, resolved.request_id, replayed=True)

    async def _close_claim(self, record: records.Record) -> None:
        """Close a claim that no run will dispatch any more.

        :raises Refused: when the claim can't be closed and so may still be
            dispatched.
        """
        state = records.RecordState.NOT_RUN
        try:
            closed = await self._store.finish(record, state)
        except exceptions.StoreError:
            raise record_refusals.in_progress() from None
        if closed.is_err():
            raise record_refusals.in_progress()

    async def resolve(self, record: records.Record) -> records.Record:
        """Return a record, resolved if no node is working on it."""
        run_key = (record.ident.workspace, record.ident.key)
        if run_key in self._runs or self._is_active(record):
            return record
        return await self._resolver.resolve(record)

    async def _read(self, ident: records.RecordIdent) -> records.Record | None:
        try:
            return await self._store.read(ident.workspace, ident.key)
        except exceptions.StoreError:
            raise record_refusals.in_progress() from None
