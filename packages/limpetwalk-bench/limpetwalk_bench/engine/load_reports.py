"""Load reports that lag behind the truth."""

import asyncio
import collections
from dataclasses import dataclass
from typing import Any
from typing import Protocol

from limpetwalk import clock as clocks

from . import batch
from . import settings

SAMPLES = 64


class LoadSource(Protocol):
    """What is sampled."""

    cfg: settings.EngineSettings
    batch: batch.Batch

    @property
    def boot_id(self) -> str:
        """Identifier of the current boot."""
        ...


@dataclass(frozen=True, slots=True)
class Sample:
    """Load at one instant."""

    at: float
    running: int
    waiting: int
    token_ms: float


class LoadReports:
    """Samples of the load, shown when they have reached an age.

    :param source: engine that is sampled.
    """

    def __init__(self, source: LoadSource, clock: clocks.Clock) -> None:
        self._source = source
        self._clock = clock
        self._samples: collections.deque[Sample] = collections.deque(
            maxlen=SAMPLES
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to sample."""
        self._task = asyncio.get_running_loop().create_task(self._sample())

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    def as_json(self) -> dict[str, Any]:
        """Return the newest sample that is old enough to be shown."""
        cfg = self._source.cfg
        now = self._clock.monotonic()
        due = now - cfg.report_lag * cfg.time_scale
        shown = Sample(due, 0, 0, cfg.base_ms)
        for sample in self._samples:
            if sample.at <= due:
                shown = sample
        return {
            "boot_id": self._source.boot_id,
            "running": shown.running,
            "waiting": shown.waiting,
            "token_ms": shown.token_ms * cfg.time_scale,
            "age": now - shown.at,
        }

    async def _sample(self) -> None:
        cfg = self._source.cfg
        while True:
            held = self._source.batch
            self._samples.append(
                Sample(
                    self._clock.monotonic(),
                    len(held.running),
                    held.waiting,
                    held.step_ms,
                )
            )
            await asyncio.sleep(cfg.report_interval * cfg.time_scale)
