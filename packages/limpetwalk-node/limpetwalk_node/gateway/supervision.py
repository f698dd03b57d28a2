"""Tasks that run until the process stops, whatever they raise."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from limpetwalk import metrics as metrics_

from . import events
from . import logs

# First and longest pause before a task that failed starts again, in seconds.
FIRST_PAUSE = 0.1
MAX_PAUSE = 5.0
# Time for which a task must have run to begin with the first pause again, in
# seconds.
SETTLED_TIME = 30.0


class Supervisor:
    """Starts tasks again that have failed."""

    def __init__(self, journal: logs.Journal, metrics: metrics_.Metrics):
        self._journal = journal
        self._failures = metrics.counter(
            "limpetwalk_task_failures",
            "Tasks that failed and were started again, by task.",
            ("task",),
        )

    async def run(
        self, task: Callable[[], Awaitable[None]], name: str
    ) -> None:
        """Run a task, again and again, until cancelled.

        :param task: starts the task, which should run until cancelled.
        :param name: operation that the task runs, for the log.
        """
        now = asyncio.get_running_loop().time
        pause = FIRST_PAUSE
        while True:
            started = now()
            error = "ended, expected to run until cancelled"
            try:
                await task()
            except asyncio.CancelledError:
                current = asyncio.current_task()
                if current is None or current.cancelling():
                    raise
                error = "a part of it was cancelled"
            except Exception as exc:
                error = repr(exc)[:500]
            self._failures.labels(name).inc()
            self._journal.emit(events.UnexpectedError(name, error))
            if now() - started >= SETTLED_TIME:
                pause = FIRST_PAUSE
            await asyncio.sleep(pause)
            pause = min(MAX_PAUSE, 2 * pause)
