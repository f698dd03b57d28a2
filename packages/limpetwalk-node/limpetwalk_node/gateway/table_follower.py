"""Follows the platform's tables through outages and lost history."""

import asyncio
from collections.abc import Callable
import dataclasses
import math
from typing import Any
from typing import Generic
from typing import TypeVar

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import ports
from limpetwalk.gateway import store_watch
from limpetwalk.gateway import types

from . import events
from . import logs

T = TypeVar("T")

# Pause after a batch of changes per node that follows the table, seconds. It
# collects successive changes into few answers, while the first change is still
# delivered at once.
BATCH_PAUSE_PER_NODE = 0.03
# Bounds of the pause between calls while the store does not answer, seconds.
# They keep the calls of all nodes far below the store's rate limit.
MIN_RETRY_PAUSE = 0.1
MAX_RETRY_PAUSE = 0.6
# Time in which a call may still return what peers already know, and shortest
# interval between two calls that are repeated because of what peers know, in
# seconds.
NEWS_GRACE = 0.4
NEWS_INTERVAL = 2.0
# Time after which a restored store holds again what it had lost, and no longer
# what was removed since its copy was made, in seconds. Servers' entries expire
# after three intervals of about a second.
SETTLE_TIME = 5.0


class TableFollower(Generic[T]):
    """Applies the changes of a table as they are published.

    :param feed: table to follow.
    :param apply: called with each batch.
    :param on_recovery: called when the store answers again after an outage.
    :param wait: returns the longest wait for a change, in seconds. A call
        whose answer was lost is detected only after this wait, so it must be
        shorter than the time after an outage within which changes must be
        known.
    :param nodes: returns the number of nodes that follow the table.
    :param longest_pause: returns the longest pause after a batch of changes,
        in seconds, by which a change may be delayed.
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
        longest_pause: Callable[[], float],
    ) -> None:
        self._feed = feed
        self.longest_pause = longest_pause
        self._apply = apply
        self._on_recovery = on_recovery
        self._wait = wait
        self._nodes = nodes
        self._clock = clock
        self._journal = journal
        self._latest = types.Version()
        self._full_read_due = True
        self._last_change = types.Version()
        self._settled_at: float | None = None
        self._outage_since: float | None = None
        self._news = asyncio.Event()
        self._next_news_at = 0.0
        self._calls = metrics.counter(
            "limpetwalk_store_reads",
            "Reads of the store's tables, by outcome.",
            ("table", "outcome"),
        )
        self.last_answer_at = 0.0

    @property
    def state(self) -> store_watch.TableState:
        """What this node knows of the table."""
        return store_watch.TableState(
            self._feed.name,
            self._last_change,
            self._outage_since is not None,
        )

    def note_peer(self, version: types.Version, outage_began: bool) -> None:
        """Call again soon if a peer knows more than the call under way.

        :param version: version of the latest change that a peer knows.
        :param outage_began: whether peers have lost the store just now.
        """
        if self._full_read_due:
            return
        if outage_began or version > self._latest:
            self._news.set()

    def restart(self) -> None:
        """Make the next call a full read of the table."""
        self._full_read_due = True

    async def run(self) -> None:
        """Follow the table until cancelled."""
        retry_pause = MIN_RETRY_PAUSE
        while True:
            try:
                batch = await self._next()
            except exceptions.HistoryLost:
                self._count_read("history_lost")
                self._journal.emit(
                    events.HistoryDropped(self._feed.name, str(self._latest))
                )
                self._full_read_due = True
                continue
            except exceptions.StoreError as exc:
                self._count_read("unavailable")
                self._note_outage(str(exc))
                await asyncio.sleep(retry_pause)
                retry_pause = min(MAX_RETRY_PAUSE, retry_pause * 2)
                continue
            retry_pause = MIN_RETRY_PAUSE
            self._count_read("ok")
            self._note_answer()
            has_read = self._latest > types.Version()
            if has_read and self._latest.era < batch.version.era:
                self._note_restoration(batch)
            if batch.full_read and not self._is_settled():
                batch = dataclasses.replace(
                    batch, full_read=False, restored=True
                )
            if batch.changes or batch.full_read or batch.restored:
                self._apply(batch)
            self._last_change = max(
                self._last_change,
                max(
                    (change.version for change in batch.changes),
                    default=types.Version(),
                ),
            )
            self._latest = max(self._latest, batch.version)
            self._full_read_due = False
            if batch.changes and not (batch.full_read or batch.restored):
                await asyncio.sleep(self._batch_pause())

    def _batch_pause(self) -> float:
        return min(self.longest_pause(), BATCH_PAUSE_PER_NODE * self._nodes())

    async def _next(self) -> ports.Batch[T]:
        now = self._clock.monotonic()
        settle_time = math.inf
        if self._settled_at is not None:
            settle_time = self._settled_at - now
        if self._full_read_due or settle_time <= 0:
            return await self._feed.read()
        # Don't wait for a change during an outage, so that its end is
        # noticed at once.
        wait = self._wait() if self._outage_since is None else 0.0
        wait = min(wait, settle_time)
        self._news.clear()
        call = asyncio.ensure_future(self._feed.follow(self._latest, wait))
        try:
            if await self._answered_before_news(call):
                return call.result()
        finally:
            call.cancel()
        self._count_read("superseded")
        return await self._feed.follow(self._latest, 0.0)

    async def _answered_before_news(
        self, call: "asyncio.Future[ports.Batch[T]]"
    ) -> bool:
        """Wait for a call, until peers know more than it has returned."""
        news: asyncio.Future[Any] = asyncio.ensure_future(self._news.wait())
        try:
            waited: set[asyncio.Future[Any]] = {call, news}
            await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
        finally:
            news.cancel()
        now = self._clock.monotonic()
        grace = max(NEWS_GRACE, self._next_news_at - now)
        if not call.done():
            await asyncio.wait({call}, timeout=grace)
        if call.done():
            return True
        self._next_news_at = self._clock.monotonic() + NEWS_INTERVAL
        return False

    def _count_read(self, outcome: str) -> None:
        self._calls.labels(self._feed.name, outcome).inc()

    def _note_outage(self, reason: str) -> None:
        if self._outage_since is None:
            self._outage_since = self._clock.monotonic()
            self._journal.emit(
                events.DependencyLost(self._feed.name, reason[:200])
            )

    def _is_settled(self) -> bool:
        """Return whether a full read tells which rows were removed."""
        if self._settled_at is not None:
            if self._clock.monotonic() < self._settled_at:
                return False
            self._settled_at = None
        return True

    def _note_restoration(self, batch: ports.Batch[T]) -> None:
        """Keep what the copy lacks until the table has settled."""
        self._settled_at = self._clock.monotonic() + SETTLE_TIME
        self._on_recovery()
        self._journal.emit(
            events.StoreRestored(
                self._feed.name,
                str(self._latest),
                str(batch.version),
                len(batch.changes),
            )
        )

    def _note_answer(self) -> None:
        self.last_answer_at = self._clock.monotonic()
        if self._outage_since is not None:
            outage_seconds = self.last_answer_at - self._outage_since
            self._outage_since = None
            self._on_recovery()
            self._journal.emit(
                events.DependencyRegained(
                    self._feed.name, round(outage_seconds, 3)
                )
            )
