"""Tests of the detection of suspensions."""

import asyncio
import unittest
from unittest import mock

from limpetwalk_node.gateway import pauses

from . import harness


class LastPause(unittest.IsolatedAsyncioTestCase):
    """What a signal learns of the suspension that it waited for."""

    def setUp(self) -> None:
        self.now = 100.0
        self.enterContext(mock.patch.object(pauses, "_now", lambda: self.now))
        self.enterContext(mock.patch.object(pauses, "CHECK_INTERVAL", 0.01))
        self.lines = harness.Lines()
        self.reread = mock.AsyncMock()
        self.detector = pauses.PauseDetector(
            harness.journal(self.lines), self.reread
        )

    def test_start_is_no_suspension(self) -> None:
        self.now += 0.001
        self.assertEqual(0.0, self.detector.last_pause())

    def test_no_suspension(self) -> None:
        self.now += 0.9
        self.assertEqual(0.0, self.detector.last_pause())

    def test_suspension_that_no_check_has_seen_yet(self) -> None:
        self.now += 3.0
        self.assertEqual(3.0, self.detector.last_pause())

    async def test_suspension_counts_until_the_next_check(self) -> None:
        self.reread.side_effect = asyncio.CancelledError
        task = asyncio.create_task(self.detector.run())
        await asyncio.sleep(0)
        self.now += 3.0
        await asyncio.gather(task, return_exceptions=True)
        self.reread.assert_awaited_once()
        self.assertEqual(
            [3.0], [line["gap_s"] for line in self.lines.events("node.paused")]
        )
        self.assertEqual(3.0, self.detector.last_pause())
        self.now += 0.02
        self.assertEqual(0.0, self.detector.last_pause())
