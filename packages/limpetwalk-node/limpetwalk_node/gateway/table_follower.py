"""Following the platform's tables, through outages and lost history."""

import asyncio
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import ports

from . import events
from . import logs

T = TypeVar("T")

# Pause after a batch of changes for each node that follows the table, seconds.
# Changes that come in a row reach each node in few answers, while the first
# one of a row still comes at once.
BATCH_PAUSE_PER_NODE = 0.03
# Pauses between calls while the store gives no answer, seconds. All nodes
# together stay far below the store's rate.
MIN_RETRY_PAUSE = 0.1
LONGEST_PAUSE = 0.6


class TableFollower(Generic[T]):
    """Keeps a belief in step with a table.

    :param feed: table to follow.
    :param apply: called with each batch.
    :param on_back: called when the store answers again.
    :param wait: returns the longest wait for a change, in seconds. A call
        whose answer was lost is found out after it, which must be within
        the time after an outage in which a change may still be missed.
    :param nodes: returns the number of nodes that follow the table.
    :param longest_pause: longest pause after a batch of changes, in seconds;
        a change may come that much later.
    """

    def __init__(
        self,
        feed: ports.Feed[T],
        apply: Callable[[ports.Batch[T]], None],
        on_recovery: Callable[[], None],
        wait: Callable[[], float],
        nodes: Callable[[], int],
        clock: clocks.Clock,
        journal: logs.Journal,
        metrics: metrics_.Metrics,
        longest_pause: float,
    ) -> None:
        self._feed = feed
        self._longest_pause = longest_pause
        self._apply = apply
        self._on_recovery = on_recovery
        self._wait = wait
        self._nodes = nodes
        self._clock = clock
        self._journal = journal
        self._since: int | None = None
        self._outage_since: float | None = None
        self._calls = metrics.counter(
            "limpetwalk_store_reads",
            "Reads of the store's tables, by outcome.",
            ("table", "outcome"),
        )
        self.last_answer_at = 0.0

    def restart(self) -> None:
        """Read the whole table at the next call."""
        self._since = None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause = MIN_RETRY_PAUSE
        while True:
            try:
                batch = await self._next()
            except exceptions.HistoryLost:
                self._note("history_lost")
                self._journal.emit(
                    events.HistoryDropped(self._feed.name, self._since or 0)
                )
                self._since = None
                continue
            except exceptions.StoreError as exc:
                self._note("unavailable")
                self._note_outage(str(exc))
                await asyncio.sleep(pause)
                pause = min(LONGEST_PAUSE, pause * 2)
                continue
            pause = MIN_RETRY_PAUSE
            self._note("ok")
            self._note_answer()
            if batch.changes or batch.full_read:
                self._apply(batch)
            self._since = max(self._since or 0, batch.version)
            if batch.changes and not batch.full_read:
                await asyncio.sleep(self._batch_pause())

    def _batch_pause(self) -> float:
        return min(self._longest_pause, BATCH_PAUSE_PER_NODE * self._nodes())

    async def _next(self) -> ports.Batch[T]:
        if self._since is None:
            return await self._feed.read()
        # The first answer after an outage is wanted at once.
        wait = self._wait() if self._outage_since is None else 0.0
        return await self._feed.follow(self._since, wait)

    def _note(self, outcome: str) -> None:
        self._calls.labels(self._feed.name, outcome).inc()

    def _note_outage(self, reason: str) -> None:
        if self._outage_since is None:
            self._outage_since = self._clock.monotonic()
            self._journal.emit(
                events.DependencyLost(self._feed.name, reason[:200])
            )

    def _note_answer(self) -> None:
        self.last_answer_at = self._clock.monotonic()
        if self._outage_since is not None:
            away = self.last_answer_at - self._outage_since
            self._outage_since = None
            self._on_recovery()
            self._journal.emit(
                events.DependencyRegained(self._feed.name, round(away, 3))
            )
