"""State of an engine and its faults, without HTTP."""

import asyncio
from collections.abc import Mapping
import random
import time
from typing import Any

from limpetwalk import clock as clocks
from limpetwalk_bench.backend import cold_start
from limpetwalk_bench.backend import faults
from limpetwalk_bench.backend import listener
from limpetwalk_bench.backend import runs

from . import batch
from . import completions
from . import load_reports
from . import orders
from . import prefix_cache
from . import settings


class ColdOverload(Exception):
    """A cold engine received more requests than its allowance."""


class Engine:
    """Engine without its HTTP interface.

    :param cfg: settings.
    :param clock: clock of batches and reports.
    """

    def __init__(
        self, cfg: settings.EngineSettings, clock: clocks.Clock
    ) -> None:
        scale = cfg.time_scale
        self.cfg = cfg
        self.runs = runs.RunLog()
        self.active_faults = faults.ActiveFaults()
        self.orders = orders.Orders(cfg)
        self.cache = prefix_cache.PrefixCache(
            cfg.block_tokens,
            cfg.cache_blocks,
            cfg.event_lag * scale,
            cfg.event_gap,
            clock,
            random.Random(cfg.seed),
        )
        self.batch = batch.Batch(cfg, self.cache, clock)
        self.cold_start = cold_start.ColdStart(
            cfg.start_cold, cfg.cold_allowance, cfg.warm_after * scale, clock
        )
        self.load_reports = load_reports.LoadReports(self, clock)
        self.listener: listener.Listener | None = None
        self.crashes = 0
        self._rng = random.Random(cfg.seed + 1)
        self._restart_task: asyncio.Task[None] | None = None

    @property
    def boot_id(self) -> str:
        """Identifier of the current boot."""
        return self.listener.boot_id if self.listener else ""

    @property
    def in_flight(self) -> int:
        """Number of requests in the batch and the queue."""
        running = sum(1 for job in self.batch.running if not job.cancelled)
        return running + self.batch.waiting

    def submit(
        self,
        request_id: str,
        attempt_id: str,
        body: Mapping[str, Any],
        priority: int,
        resume_from: int,
    ) -> batch.Job:
        """Add a request to the queue.

        :param priority: 0 is served first.
        :param resume_from: answer tokens to skip.
        :raises QueueFull: when the queue is full.
        :raises ColdOverload: when it exceeds the allowance of a cold engine.
        """
        version = str(body["model"])
        fault = self._bad_version_fault(version)
        prompt_tokens = completions.prompt_text(body).split()
        tokens = completions.tokens(
            self.cfg, version, body, fault.quality if fault else None
        )
        run = runs.Run(
            request_id,
            attempt_id,
            version,
            boot_id=self.boot_id,
            started=time.time(),
        )
        job = batch.Job(run, priority, prompt_tokens, tokens)
        job.position = min(resume_from, len(tokens))
        self.batch.submit(job)
        self.runs.add(run)
        if not self.cold_start.admit(self.in_flight):
            self._fail_overloaded(job)
        cold = self.cold_start.cold
        self.batch.slow_factor = self.cfg.cold_factor if cold else 1.0
        return job

    def should_fail(self, version: str) -> bool:
        """Decide at random whether a bad version fails this request."""
        fault = self._bad_version_fault(version)
        if fault is None or fault.one_in < 1:
            return False
        return self._rng.randrange(fault.one_in) == 0

    def crash(self) -> None:
        """Drop all requests and refuse connections."""
        self.crashes += 1
        self.runs.crash()
        self.batch.drop_all()
        self.orders.crash()
        self.cache.clear()
        if self.listener is not None:
            self.listener.crash()
        if self.cfg.restart_delay is not None:
            loop = asyncio.get_running_loop()
            self._restart_task = loop.create_task(self._restart_after_delay())

    async def restart(self) -> None:
        """Restart cold with a new boot id and an empty cache."""
        self.runs.crash()
        self.batch.drop_all()
        self.cache.clear()
        self.batch.pause(False)
        self.turn_cold()
        if self.listener is not None:
            await self.listener.restart()

    def turn_cold(self) -> None:
        """Turn cold again."""
        self.cold_start.turn_cold()
        self.batch.slow_factor = self.cfg.cold_factor

    def is_poison_request(self, body: Mapping[str, Any]) -> bool:
        """Whether a request crashes the engine."""
        return self.cfg.poison_marker in completions.prompt_text(body)

    async def close(self) -> None:
        """Stop the background tasks."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        self.load_reports.close()
        await self.batch.close()

    async def _restart_after_delay(self) -> None:
        delay = self.cfg.restart_delay or 0.0
        await asyncio.sleep(delay * self.cfg.time_scale)
        await self.restart()

    def _bad_version_fault(self, version: str) -> faults.FaultOrder | None:
        fault = self.active_faults.peek("bad_version")
        if fault is None or fault.version not in ("", version):
            return None
        return fault

    def _fail_overloaded(self, job: batch.Job) -> None:
        if self.cfg.cold_overload == "crash":
            self.crash()
            return
        self.batch.cancel(job)
        job.run.outcome = "failed"
        raise ColdOverload
