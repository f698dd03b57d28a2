"""Engines of the stand-in, called in process instead of over HTTP."""

import asyncio
from collections.abc import AsyncGenerator

from limpetwalk import clock as clocks
from limpetwalk.backends import base
from limpetwalk.conf import snapshot
from limpetwalk_bench.engine import batch
from limpetwalk_bench.engine import core
from limpetwalk_bench.engine import settings

ONE_WAY_SECONDS = 0.0005


class LocalEngine:
    """Engine in this process.

    :param cfg: settings of the engine.
    :param clock: clock of the engine.
    """

    def __init__(
        self, cfg: settings.EngineSettings, clock: clocks.Clock
    ) -> None:
        self.engine = core.Engine(cfg, clock)

    def start(self) -> None:
        """Start the batch and the load samples."""
        self.engine.batch.start()
        self.engine.load_reports.start()

    async def close(self) -> None:
        """Stop the engine."""
        await self.engine.close()


class LocalClient:
    """Client of an engine in this process, with a fixed network delay.

    :param server: declaration of the engine.
    :param local_engine: engine that answers the calls.
    """

    def __init__(
        self, server: snapshot.Server, local_engine: LocalEngine
    ) -> None:
        self.boot_id = f"{server.name}-boot"
        self._engine = local_engine.engine

    async def complete(
        self, call: base.EngineCall
    ) -> AsyncGenerator[base.EngineEvent, None]:
        """Run a chat completion and yield its events."""
        await asyncio.sleep(ONE_WAY_SECONDS)
        body = dict(call.body)
        body["model"] = f"{call.target.model}:{call.target.version}"
        try:
            job = self._engine.submit(
                call.request_id,
                call.attempt_id,
                body,
                call.priority,
                call.resume_from,
            )
        except batch.QueueFull:
            raise base.AttemptFailed(
                base.FailureKind.OVERLOADED, True
            ) from None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(call.deadline - loop.time()):
                while (token := await job.token_queue.get()) is not None:
                    yield base.Delta(token)
        except TimeoutError:
            raise base.AttemptFailed(base.FailureKind.DEADLINE, True) from None
        finally:
            if not job.cancelled:
                self._engine.batch.cancel(job)
        usage = base.Usage(len(job.prompt_tokens), len(job.tokens))
        yield base.Finished(usage, "stop")

    async def call_service(self, call: base.ServiceCall) -> base.ServiceAnswer:
        """Refuse the call, because engines serve no plain services.

        :raises base.AttemptFailed: always.
        """
        raise base.AttemptFailed(base.FailureKind.REJECTED, False)

    async def fetch_outcome(
        self, request_id: str
    ) -> base.ServiceAnswer | None:
        """Return None, because engines store no answers."""
        return None

    async def fetch_load(self) -> base.LoadReport:
        """Return the load report of the engine, which lags its load."""
        report = self._engine.load_reports.as_json()
        return base.LoadReport(
            self.boot_id,
            report["running"],
            report["waiting"],
            report["token_ms"],
            report["age"],
        )

    async def close(self) -> None:
        """Do nothing, because the owner of the engine closes it."""
