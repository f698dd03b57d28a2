"""Tests of a follower of a table: changes, outages and lost history."""

import asyncio
import unittest
from unittest import mock

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import ports
from limpetwalk.gateway import types
from limpetwalk_node.gateway import table_follower

from . import harness

LONGEST_PAUSE = 0.8


class Feed:
    """Feed that returns the versions or raises the errors given to it."""

    name = "table"

    def __init__(self, *results: int | types.Version | Exception) -> None:
        self._results = list(results)
        self.calls: list[int | None] = []
        self.waits: list[float] = []
        self.pause = 0.0

    async def read(self) -> ports.Batch[str]:
        return await self._next_result(None)

    async def follow(
        self, since: types.Version, wait: float
    ) -> ports.Batch[str]:
        self.waits.append(wait)
        if wait:
            await asyncio.sleep(self.pause)
        return await self._next_result(since.counter)

    async def _next_result(self, since: int | None) -> ports.Batch[str]:
        self.calls.append(since)
        if not self._results:
            await asyncio.sleep(3600)
        result = self._results.pop(0)
        if isinstance(result, Exception):
            raise result
        version = (
            types.Version(1, result) if isinstance(result, int) else result
        )
        change = ports.Change("k", version, "entry")
        return ports.Batch((change,), since is None, version, 0.0)


def patient_follower(feed: Feed) -> table_follower.TableFollower[str]:
    """Return a follower that waits long for a change."""
    return table_follower.TableFollower(
        feed,
        lambda batch: None,
        lambda: None,
        lambda: 20.0,
        lambda: 1,
        clocks.SystemClock(),
        harness.journal(harness.Lines()),
        metrics_.Metrics(),
        lambda: LONGEST_PAUSE,
    )


class FollowerCase(unittest.IsolatedAsyncioTestCase):
    """Follower of a feed that the test prepares."""

    async def follow(
        self, *results: int | Exception, nodes: int = 1, seconds: float = 0.5
    ) -> Feed:
        feed = Feed(*results)
        self.batches: list[ports.Batch[str]] = []
        self.recoveries = 0
        self.lines = harness.Lines()

        def count_recovery() -> None:
            self.recoveries += 1

        follower = table_follower.TableFollower(
            feed,
            self.batches.append,
            count_recovery,
            lambda: 1.0,
            lambda: nodes,
            clocks.SystemClock(),
            harness.journal(self.lines),
            metrics_.Metrics(),
            lambda: LONGEST_PAUSE,
        )
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(seconds):
                await follower.run()
        return feed


class Following(FollowerCase):
    """Full reads, changes and outages."""

    async def test_full_read_comes_first_then_changes(self) -> None:
        feed = await self.follow(3, 5)
        self.assertEqual([None, 3, 5], feed.calls)
        self.assertEqual([True, False], [b.full_read for b in self.batches])

    async def test_outage_and_its_end_are_logged_once(self) -> None:
        outage = exceptions.StoreUnavailable("away")
        feed = await self.follow(3, outage, outage, 5, seconds=1.0)
        self.assertEqual([None, 3, 3, 3, 5], feed.calls)
        self.assertEqual([1.0, 0.0, 0.0, 1.0], feed.waits)
        self.assertEqual(1, self.recoveries)
        self.assertEqual(1, len(self.lines.events("dependency.lost")))
        self.assertEqual(1, len(self.lines.events("dependency.regained")))

    async def test_lost_history_leads_to_a_full_read(self) -> None:
        feed = await self.follow(3, exceptions.HistoryLost("3"), 9)
        self.assertEqual([None, 3, None, 9], feed.calls)

    async def test_first_restoration_of_a_store_is_noticed(self) -> None:
        await self.follow(
            types.Version(0, 9),
            exceptions.HistoryLost(),
            types.Version(1, 4),
        )
        self.assertEqual(
            [(True, False), (False, True)],
            [(batch.full_read, batch.restored) for batch in self.batches],
        )

    async def test_rows_are_kept_until_a_restored_table_has_settled(
        self,
    ) -> None:
        restored = types.Version(2, 2)
        with mock.patch.object(table_follower, "SETTLE_TIME", 0.2):
            await self.follow(
                9,
                exceptions.HistoryLost("1.9"),
                restored,
                exceptions.HistoryLost("2.2"),
                restored,
            )
        self.assertEqual(
            [(True, False), (False, True), (False, True)],
            [(batch.full_read, batch.restored) for batch in self.batches],
        )

    async def test_version_never_decreases(self) -> None:
        feed = await self.follow(9, 4)
        self.assertEqual([None, 9, 9], feed.calls)


class PeersKnowMore(FollowerCase):
    """A call hangs, because its answer was lost, and peers know more."""

    async def check(
        self, version: int, outage_began: bool = False, seconds: float = 0.9
    ) -> Feed:
        """Follow a feed whose second call hangs, with a report of a peer."""
        feed = Feed(3)
        follower = patient_follower(feed)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.1)
        self.assertEqual(
            (types.Version(1, 3), False),
            (follower.state.version, follower.state.unavailable),
        )
        for _ in range(20):
            follower.note_peer(types.Version(1, version), outage_began)
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return feed

    async def test_node_that_is_behind_calls_again_without_waiting(
        self,
    ) -> None:
        feed = await self.check(4)
        self.assertEqual([20.0, 0.0], feed.waits)

    async def test_outage_of_peers_leads_to_a_call(self) -> None:
        feed = await self.check(3, outage_began=True)
        self.assertEqual([20.0, 0.0], feed.waits)

    async def test_known_version_leads_to_no_call(self) -> None:
        feed = await self.check(3)
        self.assertEqual([20.0], feed.waits)

    async def test_wrong_version_costs_few_calls(self) -> None:
        feed = Feed(3, *([3] * 50))
        follower = patient_follower(feed)
        feed.pause = 3600.0
        task = asyncio.create_task(follower.run())
        for _ in range(30):
            await asyncio.sleep(0.05)
            follower.note_peer(types.Version(1, 10**9), False)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertLessEqual(len(feed.waits), 3)


class ManyNodes(FollowerCase):
    """Many nodes follow rows that change in quick succession."""

    async def test_successive_changes_are_read_in_few_calls(self) -> None:
        feed = await self.follow(*range(1, 40), nodes=74, seconds=1.0)
        self.assertLessEqual(len(feed.calls), 4)
