"""Dispatchers, which run work at backend servers and retry it."""

from collections.abc import AsyncGenerator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import random

from .. import clock as clocks
from .. import metrics as metrics_module
from .. import refusals
from ..backends import base as backends
from . import admission
from . import attempts as attempts_module
from . import cold_permits
from . import dispatch_core
from . import dispatch_refusals
from . import quarantine as quarantines
from . import work as works

BeforeSend = Callable[[str, str], Awaitable[None]]
OnUnsent = Callable[[], Awaitable[None]]


class _Dispatcher:
    """Base of the dispatchers.

    ``dispatch_core.DispatchCore`` describes the other parameters.

    :param core: parts shared with the node's other dispatchers; None makes
        new ones for this dispatcher.
    """

    def __init__(
        self,
        config: dispatch_core.Config,
        permits: cold_permits.PermitSource,
        quarantine: quarantines.Quarantine,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        core: dispatch_core.DispatchCore | None = None,
    ) -> None:
        self.core = core or dispatch_core.DispatchCore(
            config, permits, quarantine, clock, metrics, rng
        )

    async def close(self) -> None:
        """Close the clients of all backend servers."""
        await self.core.close()


class EngineDispatcher(_Dispatcher):
    """Runs chat completions on model engines."""

    async def complete(
        self, work: works.EngineWork
    ) -> AsyncGenerator[backends.EngineEvent, None]:
        """Run a chat completion and yield its events.

        A stream that breaks is resumed from its offset at another replica.
        Closing the generator early cancels the work.

        :raises Refused: when no complete answer could be obtained.
        """
        try:
            async with contextlib.aclosing(self._run_attempts(work)) as events:
                async for event in events:
                    yield event
        except refusals.Refused as exc:
            self.core.count_refusal(exc)
            raise

    async def _run_attempts(
        self, work: works.EngineWork
    ) -> AsyncGenerator[backends.EngineEvent, None]:
        fingerprint = quarantines.engine_fingerprint(work.body)
        attempts = self.core.begin_request(work.request_id, work.deadline)
        while True:
            slot = await self._acquire(work, attempts, fingerprint)
            stream = self._run_attempt(work, attempts, slot, fingerprint)
            try:
                async with contextlib.aclosing(stream) as events:
                    async for event in events:
                        yield event
                return
            except backends.AttemptFailed as exc:
                if work.on_failure is not None:
                    work.on_failure(exc.kind)
                self.core.retries.allow(attempts, exc)

    async def _acquire(
        self,
        work: works.EngineWork,
        attempts: attempts_module.Attempts,
        fingerprint: str,
    ) -> admission.Slot:
        try:
            work.check()
            self.core.refuse_withdrawn(work.target)
        except refusals.Refused as exc:
            raise attempts.with_run_state(exc) from None
        slot = await self.core.acquire(
            attempts, work.target, work.priority, work.affinity, fingerprint
        )
        try:
            # The configuration may have changed during a wait for a slot.
            work.check()
            self.core.refuse_withdrawn(work.target)
        except refusals.Refused as exc:
            self.core.admission.release(slot)
            raise attempts.with_run_state(exc) from None
        return slot

    async def _run_attempt(
        self,
        work: works.EngineWork,
        attempts: attempts_module.Attempts,
        slot: admission.Slot,
        fingerprint: str,
    ) -> AsyncGenerator[backends.EngineEvent, None]:
        call = backends.EngineCall(
            work.request_id,
            attempts.start(slot.replica.name),
            work.target,
            work.body,
            work.priority,
            slot.deadline,
            attempts.tokens,
        )
        with self.core.admission.hold(slot):
            try:
                stream = slot.replica.client.complete(call)
                async with contextlib.aclosing(stream) as events:
                    async for event in events:
                        if isinstance(event, backends.Delta):
                            attempts.tokens += event.tokens
                        else:
                            self.core.record_answer(slot, fingerprint)
                            slot.answered = True
                        yield event
            except backends.AttemptFailed as exc:
                self.core.record_failure(slot, fingerprint, exc)
                raise


class ServiceDispatcher(_Dispatcher):
    """Runs calls on replicas of plain services."""

    async def call(self, work: works.ServiceWork) -> backends.ServiceAnswer:
        """Run an idempotent call and retry it at another replica on failure.

        A call that takes longer than nearly all others is hedged: it is
        also sent to a second replica if the retry budget allows, and the
        first complete answer is returned.

        :raises Refused: when no complete answer could be obtained.
        """
        fingerprint = _fingerprint(work)
        attempts = self.core.begin_request(work.request_id, work.deadline)
        try:
            while True:
                slot = await self._acquire(work, attempts, fingerprint)
                try:
                    return await self._run_hedged(
                        work, attempts, slot, fingerprint
                    )
                except backends.AttemptFailed as exc:
                    self.core.retries.allow(attempts, exc)
        except refusals.Refused as exc:
            self.core.count_refusal(exc)
            raise

    async def call_once(
        self,
        work: works.ServiceWork,
        before_send: BeforeSend,
        on_unsent: OnUnsent,
    ) -> backends.ServiceAnswer:
        """Run a non-idempotent call at most once.

        :param before_send: awaited with server and attempt id after the
            server is chosen and before any byte is sent; its exceptions
            propagate.
        :param on_unsent: awaited when an attempt is known not to have run,
            before the next attempt.
        :raises Refused: when no complete answer could be obtained; its run
            state says whether the call may have run.
        """
        fingerprint = _fingerprint(work)
        attempts = self.core.begin_request(work.request_id, work.deadline)
        try:
            while True:
                slot = await self._acquire(work, attempts, fingerprint)
                attempt_id = attempts.start(slot.replica.name)
                try:
                    return await self._run_once(
                        work, slot, attempt_id, fingerprint, before_send
                    )
                except backends.AttemptFailed as exc:
                    if not exc.not_run:
                        raise _outcome_unknown(exc) from exc
                    await on_unsent()
                    self.core.retries.allow(attempts, exc)
        except refusals.Refused as exc:
            self.core.count_refusal(exc)
            raise

    async def _run_once(
        self,
        work: works.ServiceWork,
        slot: admission.Slot,
        attempt_id: str,
        fingerprint: str,
        before_send: BeforeSend,
    ) -> backends.ServiceAnswer:
        with self.core.admission.hold(slot):
            await before_send(slot.replica.name, attempt_id)
            return await self._send(work, slot, attempt_id, fingerprint)

    async def _run_hedged(
        self,
        work: works.ServiceWork,
        attempts: attempts_module.Attempts,
        slot: admission.Slot,
        fingerprint: str,
    ) -> backends.ServiceAnswer:
        async def first() -> backends.ServiceAnswer:
            attempt_id = attempts.start(slot.replica.name)
            return await self._run(work, slot, attempt_id, fingerprint)

        async def second() -> backends.ServiceAnswer:
            hedge_slot = await self._acquire(work, attempts, fingerprint)
            attempt_id = attempts.start(hedge_slot.replica.name)
            return await self._run(work, hedge_slot, attempt_id, fingerprint)

        return await self.core.hedger.run(work.service, first, second)

    async def _run(
        self,
        work: works.ServiceWork,
        slot: admission.Slot,
        attempt_id: str,
        fingerprint: str,
    ) -> backends.ServiceAnswer:
        with self.core.admission.hold(slot):
            return await self._send(work, slot, attempt_id, fingerprint)

    async def _send(
        self,
        work: works.ServiceWork,
        slot: admission.Slot,
        attempt_id: str,
        fingerprint: str,
    ) -> backends.ServiceAnswer:
        call = backends.ServiceCall(
            work.request_id,
            attempt_id,
            work.method,
            work.path,
            work.headers,
            work.body,
            slot.deadline,
        )
        try:
            answer = await slot.replica.client.call_service(call)
        except backends.AttemptFailed as exc:
            self.core.record_failure(slot, fingerprint, exc)
            raise
        self.core.record_answer(slot, fingerprint)
        slot.answered = True
        return answer

    async def _acquire(
        self,
        work: works.ServiceWork,
        attempts: attempts_module.Attempts,
        fingerprint: str,
    ) -> admission.Slot:
        slot = await self.core.acquire(
            attempts, work.service, work.priority, "", fingerprint
        )
        try:
            work.check()
        except refusals.Refused as exc:
            self.core.admission.release(slot)
            raise attempts.with_run_state(exc) from None
        return slot


def _fingerprint(work: works.ServiceWork) -> str:
    return quarantines.service_fingerprint(work.method, work.path, work.body)


def _outcome_unknown(exc: backends.AttemptFailed) -> refusals.Refused:
    return dispatch_refusals.build_refused(
        refusals.Reason.OUTCOME_UNKNOWN,
        refusals.RunState.UNKNOWN,
        f"the call may have run: {exc}",
    )
