"""Hedged calls: a second attempt is added when the first one is slow."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from .. import clock as clocks
from .. import metrics as metrics_module
from .. import refusals
from ..backends import base as backends
from . import attempts

# Quantile of a service's latencies after which a call is hedged.
DELAY_QUANTILE = 0.95
# Answers of a service before its calls are hedged.
MIN_SAMPLES = 20
MIN_DELAY_SECONDS = 0.005

Attempt = Callable[[], Awaitable[backends.ServiceAnswer]]


class Hedger:
    """Hedges idempotent calls within the retry budget.

    :param retries: retries of the node, whose budget hedges are taken from.
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
        """Return the first complete answer of one or two attempts.

        :param first: starts the first attempt.
        :param second: starts the hedge.
        :raises AttemptFailed: when the attempts failed.
        """
        started_at = self._clock.monotonic()
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
        self._record_latency(service, self._clock.monotonic() - started_at)
        return answer

    def _delay(self, service: str) -> float | None:
        latency = self._latencies.get(service)
        if latency is None or latency.count < MIN_SAMPLES:
            return None
        return max(MIN_DELAY_SECONDS, latency.quantile(DELAY_QUANTILE))

    def _record_latency(self, service: str, seconds: float) -> None:
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
            # The failure of an attempt is more informative than a refusal of
            # the hedge's slot.
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
