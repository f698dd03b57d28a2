"""Dispatch of work to backend servers."""

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
from . import core as cores
from . import dispatch_refusals
from . import quarantine as quarantines
from . import work as works

BeforeSend = Callable[[str, str], Awaitable[None]]
Unsent = Callable[[], Awaitable[None]]


class _Dispatcher:
    """Dispatcher; see ``core.DispatchCore`` for the parameters.

    :param core: parts shared with the node's other dispatchers; None makes
        its own.
    """

    def __init__(
        self,
        config: cores.Config,
        permits: cold_permits.PermitSource,
        quarantine: quarantines.Quarantine,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        core: cores.DispatchCore | None = None,
    ) -> None:
        self.core = core or cores.DispatchCore(
            config, permits, quarantine, clock, metrics, rng
        )

    async def close(self) -> None:
        """Close the clients."""
        await self.core.close()


class EngineDispatcher(_Dispatcher):
    """Runs chat completions at model engines."""

    async def complete(
        self, work: works.EngineWork
    ) -> AsyncGenerator[backends.EngineEvent, None]:
        """Run a chat completion and yield its events.

        A stream that breaks is resumed from its offset at another replica.
        Closing the generator early cancels the work.

        :raises Refused: when there is no whole answer.
        """
        try:
            async with contextlib.aclosing(self._attempts(work)) as events:
                async for event in events:
                    yield event
        except refusals.Refused as exc:
            self.core.count_refusal(exc)
            raise

    async def _attempts(
        self, work: works.EngineWork
    ) -> AsyncGenerator[backends.EngineEvent, None]:
        fingerprint = quarantines.engine_fingerprint(work.body)
        attempts = self.core.begin_request(work.request_id, work.deadline)
        while True:
            slot = await self._acquire(work, attempts, fingerprint)
            stream = self._attempt(work, attempts, slot, fingerprint)
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

    async def _attempt(
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
    """Runs calls at the replicas of plain services."""

    async def call(self, work: works.ServiceWork) -> backends.ServiceAnswer:
        """Run an idempotent call, again at another replica when it fails.

        A call that takes longer than nearly all others is hedged: sent to
        a second replica within the retry budget, and the first whole
        answer is taken.

        :raises Refused: when there is no whole answer.
        """
        fingerprint = _fingerprint(work)
        attempts = self.core.begin_request(work.request_id, work.deadline)
        try:
            while True:
                slot = await self._acquire(work, attempts, fingerprint)
                try:
                    return await self._hedged(
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
        unsent: Unsent,
    ) -> backends.ServiceAnswer:
        """Run a non-idempotent call at most once.

        :param before_send: awaited with server and attempt id after the
            choice and before any byte is sent; what it raises passes on.
        :param unsent: awaited when an attempt proved not to have run,
            before the next one.
        :raises Refused: when there is no whole answer; its run state is
            true.
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
                        raise _unknown(exc) from exc
                    await unsent()
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

    async def _hedged(
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
            other = await self._acquire(work, attempts, fingerprint)
            attempt_id = attempts.start(other.replica.name)
            return await self._run(work, other, attempt_id, fingerprint)

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


def _unknown(exc: backends.AttemptFailed) -> refusals.Refused:
    return dispatch_refusals.build_refused(
        refusals.Reason.OUTCOME_UNKNOWN,
        refusals.RunState.UNKNOWN,
        f"the call may have run: {exc}",
    )
