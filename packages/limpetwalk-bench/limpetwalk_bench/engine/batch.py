"""Continuous batching with a step time that grows with the batch."""

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

LARGEST_LAG = 1.0


class QueueFull(Exception):
    """The engine holds as many requests as it may."""


@dataclass(slots=True)
class Job:
    """Request at the engine.

    :param run: entry of the run log.
    :param priority: 0 is served first.
    :param prompt_tokens: tokens of the prompt.
    :param tokens: tokens of the whole answer.
    :param position: tokens that were put out or skipped.
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
        self._order = itertools.count()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._paused = asyncio.Event()
        self._paused.set()

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return sum(1 for item in self._waiting if not item[2].cancelled)

    def start(self) -> None:
        """Start to work the batch."""
        self._task = asyncio.get_running_loop().create_task(self._work())

    async def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def pause(self, paused: bool) -> None:
        """Hold the batch still, or let it go on."""
        if paused:
            self._paused.clear()
        else:
            self._paused.set()

    def submit(self, job: Job) -> None:
        """Queue a request.

        :raises QueueFull: when the queue is full.
        """
        if self.waiting >= self._cfg.max_queue:
            raise QueueFull
        if job.position >= len(job.tokens):
            job.token_queue.put_nowait(None)
            job.cancelled = True
            job.run.finish("finished")
            return
        heapq.heappush(self._waiting, (job.priority, next(self._order), job))
        self._wake.set()

    def cancel(self, job: Job) -> None:
        """Drop a request whose caller has left."""
        job.cancelled = True
        job.run.finish("cancelled")

    def drop_all(self) -> None:
        """Drop all requests, as a crash does."""
        for job in [*self.running, *(item[2] for item in self._waiting)]:
            job.cancelled = True
        self.running.clear()
        self._waiting.clear()

    async def _work(self) -> None:
        due = self._clock.monotonic()
        while True:
            await self._paused.wait()
            self._admit()
            if not self.running:
                self._wake.clear()
                await self._wake.wait()
                due = self._clock.monotonic()
                continue
            due += self._step_seconds()
            now = self._clock.monotonic()
            due = max(due, now - LARGEST_LAG)
            await asyncio.sleep(max(0.0, due - now))
            await self._paused.wait()
            self._emit()

    def _admit(self) -> None:
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
        room = cfg.chunk_tokens
        for job in self.running:
            taken = min(room, job.prompt_left)
            job.prompt_left -= taken
            room -= taken
            if taken and not job.prompt_left:
                self._cache.store(job.blocks)
        done = cfg.chunk_tokens - room
        step = cfg.base_ms + cfg.slope_ms * len(self.running)
        step += cfg.prompt_ms * done
        self.step_ms = step * self.slow_factor
        return self.step_ms * cfg.time_scale / 1000

    def _emit(self) -> None:
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
