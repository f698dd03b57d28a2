"""Continuous batching whose step time grows with the batch size."""

import asyncio
import contextlib
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools

from limpetwalk import clock as clocks
from limpetwalk_bench.backend import runs

from . import prefix_cache
from . import settings

MAX_LAG_SECONDS = 1.0


class QueueFull(Exception):
    """The queue of the engine is full."""


@dataclass(slots=True)
class Job:
    """Request that waits or runs at the engine.

    :param run: entry of the run log.
    :param priority: 0 is served first.
    :param prompt_tokens: tokens of the prompt.
    :param tokens: tokens of the whole answer.
    :param position: number of answer tokens sent or skipped.
    :param blocks: hashes of the whole blocks of the prompt.
    :param prompt_left: prompt tokens that are still to be processed.
    :param cancelled: whether the job is dropped or finished.
    :param token_queue: generated tokens to send; None ends the answer.
    """

    run: runs.Run
    priority: int
    prompt_tokens: list[str]
    tokens: list[str]
    position: int = 0
    blocks: list[str] = field(default_factory=list)
    prompt_left: int = 0
    cancelled: bool = False
    token_queue: asyncio.Queue[str | None] = field(
        default_factory=asyncio.Queue
    )


class Batch:
    """Batch and queue of an engine.

    :param cfg: settings of the engine.
    :param cache: its prefix cache.
    :param clock: clock of the batch steps.
    """

    def __init__(
        self,
        cfg: settings.EngineSettings,
        cache: prefix_cache.PrefixCache,
        clock: clocks.Clock,
    ) -> None:
        self.slow_factor = 1.0
        self.step_ms = cfg.base_ms
        self.running: list[Job] = []
        self._cfg = cfg
        self._cache = cache
        self._clock = clock
        self._waiting: list[tuple[int, int, Job]] = []
        self._arrival_numbers = itertools.count()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._unpaused = asyncio.Event()
        self._unpaused.set()

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return sum(1 for entry in self._waiting if not entry[2].cancelled)

    def start(self) -> None:
        """Start the task that runs the batch steps."""
        self._task = asyncio.get_running_loop().create_task(self._run_steps())

    async def close(self) -> None:
        """Stop the task that runs the batch steps."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def pause(self, paused: bool) -> None:
        """Pause or resume the batch."""
        if paused:
            self._unpaused.clear()
        else:
            self._unpaused.set()

    def submit(self, job: Job) -> None:
        """Add a request to the queue.

        :raises QueueFull: when the queue is full.
        """
        if self.waiting >= self._cfg.max_queue:
            raise QueueFull
        if job.position >= len(job.tokens):
            job.token_queue.put_nowait(None)
            job.cancelled = True
            job.run.finish("finished")
            return
        heapq.heappush(
            self._waiting, (job.priority, next(self._arrival_numbers), job)
        )
        self._wake.set()

    def cancel(self, job: Job) -> None:
        """Cancel a request that nobody waits for."""
        job.cancelled = True
        job.run.finish("cancelled")

    def drop_all(self) -> None:
        """Drop all running and queued requests, as a crash does."""
        for job in [*self.running, *(entry[2] for entry in self._waiting)]:
            job.cancelled = True
        self.running.clear()
        self._waiting.clear()

    async def _run_steps(self) -> None:
        step_ends_at = self._clock.monotonic()
        while True:
            await self._unpaused.wait()
            self._fill_batch()
            if not self.running:
                self._wake.clear()
                await self._wake.wait()
                step_ends_at = self._clock.monotonic()
                continue
            step_ends_at += self._step_seconds()
            now = self._clock.monotonic()
            step_ends_at = max(step_ends_at, now - MAX_LAG_SECONDS)
            await asyncio.sleep(max(0.0, step_ends_at - now))
            await self._unpaused.wait()
            self._emit_tokens()

    def _fill_batch(self) -> None:
        self.running = [job for job in self.running if not job.cancelled]
        while self._waiting and len(self.running) < self._cfg.max_batch:
            job = heapq.heappop(self._waiting)[2]
            if job.cancelled:
                continue
            job.blocks = self._cache.hashes(job.prompt_tokens)
            cached = self._cache.cached_tokens(job.blocks)
            job.prompt_left = len(job.prompt_tokens) - cached
            self.running.append(job)

    def _step_seconds(self) -> float:
        cfg = self._cfg
        token_budget = cfg.chunk_tokens
        for job in self.running:
            processed = min(token_budget, job.prompt_left)
            job.prompt_left -= processed
            token_budget -= processed
            if processed and not job.prompt_left:
                self._cache.store(job.blocks)
        total_processed = cfg.chunk_tokens - token_budget
        step = cfg.base_ms + cfg.slope_ms * len(self.running)
        step += cfg.prompt_ms * total_processed
        self.step_ms = step * self.slow_factor
        return self.step_ms * cfg.time_scale / 1000

    def _emit_tokens(self) -> None:
        for job in self.running:
            if job.cancelled or job.prompt_left:
                continue
            job.token_queue.put_nowait(job.tokens[job.position])
            job.position += 1
            job.run.tokens += 1
            if job.position == len(job.tokens):
                job.token_queue.put_nowait(None)
                job.cancelled = True
                job.run.finish("finished")
        self.running = [job for job in self.running if not job.cancelled]
