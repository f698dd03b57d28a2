"""Hedges: a second attempt beside a first one that takes long."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from .. import clock as clocks
from .. import metrics as metrics_module
from .. import refusals
from ..backends import base as backends
from . import attempts

DELAY_QUANTILE = 0.95
MIN_SAMPLES = 20
MIN_DELAY_SECONDS = 0.005

Attempt = Callable[[], Awaitable[backends.ServiceAnswer]]


class Hedger:
    """Hedges idempotent calls within the retry budget.

    :param retries: budget that hedges are taken from.
    """

    def __init__(
        self,
        retries: attempts.Retries,
        clock: clocks.Clock,
    ) -> None:
        self._retries = retries
        self._clock = clock
        self._latencies: dict[str, metrics_module.LatencyHistogram] = {}

    async def run(
        self, service: str, first: Attempt, second: Attempt
    ) -> backends.ServiceAnswer:
        """Return the first whole answer of one or two attempts.

        :raises AttemptFailed: when the attempts failed.
        """
        begun = self._clock.monotonic()
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(_as_coroutine(first))]
        try:
            done, _ = await asyncio.wait(tasks, timeout=self._delay(service))
            if not done and self._retries.budget.take():
                self._retries.count(refusals.RetryReason.HEDGED)
                tasks.append(loop.create_task(_as_coroutine(second)))
            answer = await _first_answer(tasks)
        finally:
            await _cancel(tasks)
        self._note(service, self._clock.monotonic() - begun)
        return answer

    def _delay(self, service: str) -> float | None:
        latency = self._latencies.get(service)
        if latency is None or latency.count < MIN_SAMPLES:
            return None
        return max(MIN_DELAY_SECONDS, latency.quantile(DELAY_QUANTILE))

    def _note(self, service: str, seconds: float) -> None:
        latency = self._latencies.get(service)
        if latency is None:
            latency = metrics_module.LatencyHistogram(service, "Answers.")
            self._latencies[service] = latency
        latency.record(seconds)


async def _as_coroutine(attempt: Attempt) -> backends.ServiceAnswer:
    return await attempt()


async def _first_answer(
    tasks: list[asyncio.Task[backends.ServiceAnswer]],
) -> backends.ServiceAnswer:
    failure: BaseException | None = None
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            exc = task.exception()
            if exc is None:
                return task.result()
            # A refusal of the hedge's slot says less than the failure of
            # an attempt.
            if failure is None or isinstance(failure, refusals.Refused):
                failure = exc
    assert failure is not None
    raise failure


async def _cancel(tasks: list[asyncio.Task[backends.ServiceAnswer]]) -> None:
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(
            asyncio.CancelledError, backends.AttemptFailed, refusals.Refused
        ):
            await task
