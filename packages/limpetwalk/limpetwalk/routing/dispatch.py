"""Dispatch of work to backend servers, with retries in one budget."""

from collections.abc import AsyncGenerator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Hashable
import contextlib
import random

from .. import clock as clocks
from .. import metrics as metrics_module
from .. import refusals
from ..backends import base as backends
from ..conf import snapshot
from . import quarantine as quarantines
from . import refuse
from . import replicas
from . import retry_budget
from . import warmup
from . import work as works

MOST_ATTEMPTS = 4
Config = Callable[[], snapshot.Applied]
BeforeSend = Callable[[str, str], Awaitable[None]]
Unsent = Callable[[], Awaitable[None]]

RETRY_REASONS = {
    backends.FailureKind.CONNECT_FAILED: refusals.RetryReason.CONNECT_FAILED,
    backends.FailureKind.NOT_RUN: refusals.RetryReason.NOT_RUN,
    backends.FailureKind.OVERLOADED: refusals.RetryReason.OVERLOADED,
    backends.FailureKind.SILENT: refusals.RetryReason.SILENT_CONNECTION,
    backends.FailureKind.CONNECTION_LOST: (
        refusals.RetryReason.CONNECTION_LOST
    ),
    backends.FailureKind.TRUNCATED: refusals.RetryReason.TRUNCATED_ANSWER,
    backends.FailureKind.CROSSED: refusals.RetryReason.CROSSED_ANSWER,
    backends.FailureKind.SERVER_ERROR: refusals.RetryReason.SERVER_ERROR,
}


class _Dispatcher:
    def __init__(
        self,
        config: Config,
        permits: warmup.PermitSource,
        quarantine: quarantines.Quarantine,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        directory: replicas.Directory | None = None,
    ) -> None:
        self._config = config
        self._permits = permits
        self._quarantine = quarantine
        self._clock = clock
        self._rng = rng
        self._directory = directory or replicas.Directory(config)
        self._budget = retry_budget.RetryBudget()
        self._retries = metrics.counter(
            "limpetwalk_retries", "Requests sent again.", ("reason",)
        )

    async def close(self) -> None:
        """Close the clients."""
        await self._directory.close()

    def _choose(
        self, subject: Hashable, tried: set[str]
    ) -> replicas.Replica | None:
        held = self._directory.current().by_subject.get(subject, [])
        free = [
            replica
            for replica in held
            if replica.name not in tried
            and replica.in_flight < replica.server.concurrency
        ]
        if not free:
            return None
        pair = self._rng.sample(free, min(2, len(free)))
        return min(pair, key=lambda replica: replica.in_flight)

    def _check(self, fingerprint: str) -> None:
        limit = self._config().snapshot.tuning.crash_limit
        if self._quarantine.blocks(fingerprint, limit):
            raise refuse.refused(
                refusals.Reason.QUARANTINED,
                refusals.RunState.NOT_RUN,
                "this request has crashed the backend servers that ran it",
            )

    def _retry(
        self,
        tally: "_Tally",
        exc: backends.AttemptFailed,
        deadline: float,
    ) -> None:
        """Count a failed attempt and refuse when it was the last one."""
        tally.fail(exc)
        if exc.kind is backends.FailureKind.REJECTED:
            reason = refusals.Reason.MALFORMED_BODY
        elif self._clock.monotonic() >= deadline:
            reason = refusals.Reason.DEADLINE_EXCEEDED
        elif tally.attempts >= MOST_ATTEMPTS:
            reason = refusals.Reason.BACKEND_SERVER_FAILED
        elif not self._budget.take():
            reason = refusals.Reason.RETRY_BUDGET_SPENT
        else:
            retry = RETRY_REASONS[exc.kind]
            if tally.tokens:
                retry = refusals.RetryReason.STREAM_RESUMED
            self._retries.labels(retry.value).inc()
            return
        raise refuse.refused(reason, tally.run, str(exc)) from exc

    def _none_left(self, tally: "_Tally") -> refusals.Refused:
        reason = refusals.Reason.NO_BACKEND_SERVER
        if tally.attempts:
            reason = refusals.Reason.BACKEND_SERVER_FAILED
        return refuse.refused(
            reason, tally.run, "no backend server can take the request"
        )


class _Tally:
    """Attempts of one request and what they prove of its run."""

    def __init__(self) -> None:
        self.attempts = 0
        self.tokens = 0
        self.tried: set[str] = set()
        self.run = refusals.RunState.NOT_RUN

    def start(self, server: str) -> None:
        self.attempts += 1
        self.tried.add(server)

    def fail(self, exc: backends.AttemptFailed) -> None:
        if not exc.not_run:
            self.run = refusals.RunState.UNKNOWN
        if self.tokens:
            self.run = refusals.RunState.RUN


class EngineDispatcher(_Dispatcher):
    """Runs chat completions at model engines.

    :param config: returns the snapshot in force, read for each choice.
    :param permits: permits for cold engines.
    :param quarantine: requests that crash engines.
    :param rng: random source of the choice.
    """

    async def complete(
        self, work: works.EngineWork
    ) -> AsyncGenerator[backends.EngineEvent, None]:
        """Run a chat completion and yield its events.

        A stream that breaks is resumed from its offset at another replica.

        :raises Refused: when there is no whole answer.
        """
        fingerprint = quarantines.engine_fingerprint(work.body)
        share = self._config().snapshot.tuning.retry_share
        self._budget.first_try(share)
        tally = _Tally()
        while True:
            self._check(fingerprint)
            replica = self._choose(work.target, tally.tried)
            if replica is None:
                raise self._none_left(tally)
            tally.start(replica.name)
            call = backends.EngineCall(
                work.request_id,
                f"{work.request_id}.{tally.attempts}",
                work.target,
                work.body,
                work.priority,
                work.deadline,
                tally.tokens,
            )
            replica.in_flight += 1
            try:
                stream = replica.client.complete(call)
                async with contextlib.aclosing(stream) as events:
                    async for event in events:
                        if isinstance(event, backends.Delta):
                            tally.tokens += event.tokens
                        yield event
                return
            except backends.AttemptFailed as exc:
                if exc.crashed:
                    self._quarantine.record(
                        fingerprint, replica.name, replica.client.boot_id
                    )
                self._retry(tally, exc, work.deadline)
            finally:
                replica.in_flight -= 1


class ServiceDispatcher(_Dispatcher):
    """Runs calls at the replicas of plain services."""

    async def call(self, work: works.ServiceWork) -> backends.ServiceAnswer:
        """Run an idempotent call, again at another replica when it fails.

        :raises Refused: when there is no whole answer.
        """
        fingerprint = self._begin(work)
        tally = _Tally()
        while True:
            replica = self._next(work, tally, fingerprint)
            try:
                return await self._attempt(work, replica, tally, fingerprint)
            except backends.AttemptFailed as exc:
                self._retry(tally, exc, work.deadline)

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
        fingerprint = self._begin(work)
        tally = _Tally()
        while True:
            replica = self._next(work, tally, fingerprint)
            await before_send(replica.name, _attempt_id(work, tally))
            try:
                return await self._attempt(work, replica, tally, fingerprint)
            except backends.AttemptFailed as exc:
                if not exc.not_run:
                    raise refuse.refused(
                        refusals.Reason.OUTCOME_UNKNOWN,
                        refusals.RunState.UNKNOWN,
                        f"the call may have run: {exc}",
                    ) from exc
                await unsent()
                self._retry(tally, exc, work.deadline)

    def _begin(self, work: works.ServiceWork) -> str:
        share = self._config().snapshot.tuning.retry_share
        self._budget.first_try(share)
        return quarantines.service_fingerprint(
            work.method, work.path, work.body
        )

    def _next(
        self, work: works.ServiceWork, tally: _Tally, fingerprint: str
    ) -> replicas.Replica:
        self._check(fingerprint)
        replica = self._choose(work.service, tally.tried)
        if replica is None:
            raise self._none_left(tally)
        tally.start(replica.name)
        return replica

    async def _attempt(
        self,
        work: works.ServiceWork,
        replica: replicas.Replica,
        tally: _Tally,
        fingerprint: str,
    ) -> backends.ServiceAnswer:
        call = backends.ServiceCall(
            work.request_id,
            _attempt_id(work, tally),
            work.method,
            work.path,
            work.headers,
            work.body,
            work.deadline,
        )
        replica.in_flight += 1
        try:
            return await replica.client.call_service(call)
        except backends.AttemptFailed as exc:
            if exc.crashed:
                self._quarantine.record(
                    fingerprint, replica.name, replica.client.boot_id
                )
            raise
        finally:
            replica.in_flight -= 1


def _attempt_id(work: works.ServiceWork, tally: _Tally) -> str:
    return f"{work.request_id}.{tally.attempts}"
