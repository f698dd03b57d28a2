"""Tests of the memory for incomplete bodies and of stream progress."""

import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import buffers
from limpetwalk.gateway import stream_progress


class Budget(unittest.TestCase):
    """Many bodies share a budget."""

    def setUp(self) -> None:
        self.budget = buffers.BufferBudget(1000)
        self.evicted: list[str] = []

    def open(self, name: str, limit: int = 900) -> buffers.Buffer:
        """Open a buffer that notes its eviction."""
        return self.budget.open(limit, lambda: self.evicted.append(name))

    def test_body_above_its_limit_is_refused(self) -> None:
        buffer = self.open("a", 10)
        buffer.append(b"x" * 10)
        with self.assertRaises(buffers.LimitExceeded) as caught:
            buffer.append(b"x")
        self.assertEqual("size", caught.exception.limit)

    def test_largest_body_gives_way_to_the_others(self) -> None:
        small, large = self.open("small"), self.open("large")
        large.append(b"x" * 800)
        small.append(b"x" * 300)
        self.assertEqual(["large"], self.evicted)
        self.assertEqual(300, self.budget.total_bytes)
        self.assertEqual(b"x" * 300, bytes(small.view()))
        with self.assertRaises(buffers.LimitExceeded) as caught:
            large.check()
        self.assertEqual("shared_memory", caught.exception.limit)

    def test_body_that_grows_beyond_the_budget_gives_way_itself(self) -> None:
        small, large = self.open("small"), self.open("large")
        small.append(b"x" * 300)
        with self.assertRaises(buffers.LimitExceeded):
            large.append(b"x" * 800)
        self.assertEqual(["large"], self.evicted)
        self.assertEqual(300, self.budget.total_bytes)

    def test_closed_and_consumed_bytes_return_to_the_budget(self) -> None:
        with self.open("a") as buffer:
            buffer.append(b"abcdef")
            self.assertEqual(b"abc", buffer.consume(3))
            self.assertEqual(3, self.budget.total_bytes)
        self.assertEqual(0, self.budget.total_bytes)
        self.assertEqual([], self.evicted)


class Progress(unittest.TestCase):
    """A table of speeds: which streams are kept, and which are stalled."""

    longest_pause = 1.0

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.progress = stream_progress.StreamProgress(self.clock, 1000)

    def test_slow_but_sound_stream_is_kept(self) -> None:
        for pause in (0.1, 0.9, 0.99):
            for _ in range(20):
                self.clock.advance(pause)
                left = self.progress.time_left(self.longest_pause)
                self.assertGreater(left, 0)
                self.progress.record_event()

    def test_filler_is_no_progress(self) -> None:
        for size, pause in ((1, 0.1), (15, 0.05), (1, 0.3)):
            with self.subTest(size=size, pause=pause):
                self.progress.record_event()
                started = self.clock.monotonic()
                while self.progress.time_left(self.longest_pause) > 0:
                    self.progress.record_filler(size)
                    self.clock.advance(pause)
                elapsed = self.clock.monotonic() - started
                self.assertLess(elapsed, self.longest_pause + 2 * pause)

    def test_much_filler_ends_the_stream_at_once(self) -> None:
        with self.assertRaises(buffers.LimitExceeded) as caught:
            for _ in range(11):
                self.progress.record_filler(100)
        self.assertEqual("filler", caught.exception.limit)
