"""Load reports that lag behind the current load."""

import asyncio
import collections
from dataclasses import dataclass
from typing import Any
from typing import Protocol

from limpetwalk import clock as clocks

from . import batch
from . import settings

MAX_SAMPLES = 64


class LoadSource(Protocol):
    """Engine whose load is sampled."""

    cfg: settings.EngineSettings
    batch: batch.Batch

    @property
    def boot_id(self) -> str:
        """Identifier of the current boot."""
        ...


@dataclass(frozen=True, slots=True)
class Sample:
    """Load at one point in time.

    :param at: monotonic time in seconds.
    :param running: requests in the batch.
    :param waiting: requests in the queue.
    :param token_ms: time of a batch step in milliseconds, not scaled.
    """

    at: float
    running: int
    waiting: int
    token_ms: float


class LoadReports:
    """Samples of the load, reported once they reach the configured age.

    :param source: engine whose load is sampled.
    :param clock: clock of the samples.
    """

    def __init__(self, source: LoadSource, clock: clocks.Clock) -> None:
        self._source = source
        self._clock = clock
        self._samples: collections.deque[Sample] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that samples the load."""
        self._task = asyncio.get_running_loop().create_task(self._sample())

    def close(self) -> None:
        """Stop the task that samples the load."""
        if self._task is not None:
            self._task.cancel()

    def as_json(self) -> dict[str, Any]:
        """Return the newest sample that is old enough to be reported."""
        cfg = self._source.cfg
        now = self._clock.monotonic()
        newest_at = now - cfg.report_lag * cfg.time_scale
        reported = Sample(newest_at, 0, 0, cfg.base_ms)
        for sample in self._samples:
            if sample.at <= newest_at:
                reported = sample
        return {
            "boot_id": self._source.boot_id,
            "running": reported.running,
            "waiting": reported.waiting,
            "token_ms": reported.token_ms * cfg.time_scale,
            "age": now - reported.at,
        }

    async def _sample(self) -> None:
        cfg = self._source.cfg
        while True:
            current_batch = self._source.batch
            self._samples.append(
                Sample(
                    self._clock.monotonic(),
                    len(current_batch.running),
                    current_batch.waiting,
                    current_batch.step_ms,
                )
            )
            await asyncio.sleep(cfg.report_interval * cfg.time_scale)
