"""Following a table through changes, outages and lost history."""

import asyncio
import unittest

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import ports
from limpetwalk_node.gateway import table_follower

from . import harness

LONGEST_PAUSE = 0.8


class Feed:
    """Feed that plays what a test prepared."""

    name = "table"

    def __init__(self, *plays: int | Exception) -> None:
        self._plays = list(plays)
        self.calls: list[int | None] = []
        self.waits: list[float] = []

    async def read(self) -> ports.Batch[str]:
        return await self._play(None)

    async def follow(self, since: int, wait: float) -> ports.Batch[str]:
        self.waits.append(wait)
        return await self._play(since)

    async def _play(self, since: int | None) -> ports.Batch[str]:
        self.calls.append(since)
        if not self._plays:
            await asyncio.sleep(3600)
        play = self._plays.pop(0)
        if isinstance(play, Exception):
            raise play
        change = ports.Change("k", play, "entry")
        return ports.Batch((change,), since is None, play, 0.0)


class WatchCase(unittest.IsolatedAsyncioTestCase):
    """Watch over a feed that the test plays."""

    async def follow(
        self, *plays: int | Exception, nodes: int = 1, seconds: float = 0.5
    ) -> Feed:
        feed = Feed(*plays)
        self.batches: list[ports.Batch[str]] = []
        self.back = 0
        self.lines = harness.Lines()

        def note_back() -> None:
            self.back += 1

        follower = table_follower.TableFollower(
            feed,
            self.batches.append,
            note_back,
            lambda: 1.0,
            lambda: nodes,
            clocks.SystemClock(),
            harness.journal(self.lines),
            metrics_.Metrics(),
            LONGEST_PAUSE,
        )
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(seconds):
                await follower.run()
        return feed


class Following(WatchCase):
    """Reads and changes."""

    async def test_whole_read_comes_first_then_changes(self) -> None:
        feed = await self.follow(3, 5)
        self.assertEqual([None, 3, 5], feed.calls)
        self.assertEqual([True, False], [b.full_read for b in self.batches])

    async def test_outage_is_told_once_and_its_end_too(self) -> None:
        away = exceptions.StoreUnavailable("away")
        feed = await self.follow(3, away, away, 5, seconds=1.0)
        self.assertEqual([None, 3, 3, 3, 5], feed.calls)
        self.assertEqual([1.0, 0.0, 0.0, 1.0], feed.waits)
        self.assertEqual(1, self.back)
        self.assertEqual(1, len(self.lines.events("dependency.lost")))
        self.assertEqual(1, len(self.lines.events("dependency.regained")))

    async def test_lost_history_leads_to_a_whole_read(self) -> None:
        feed = await self.follow(3, exceptions.HistoryLost("3"), 9)
        self.assertEqual([None, 3, None, 9], feed.calls)

    async def test_version_never_goes_back(self) -> None:
        feed = await self.follow(9, 4)
        self.assertEqual([None, 9, 9], feed.calls)


class ManyNodes(WatchCase):
    """Rows change in a row before many nodes."""

    async def test_changes_in_a_row_are_read_in_few_calls(self) -> None:
        feed = await self.follow(*range(1, 40), nodes=74, seconds=1.0)
        self.assertLessEqual(len(feed.calls), 4)
