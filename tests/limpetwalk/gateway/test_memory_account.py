"""Tests of the account of the bytes that a node holds."""

import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import memory_account

LIMIT = 100_000
LARGE = 10_000


class Shares(unittest.TestCase):
    """Memory that workspaces get for bodies of requests."""

    def setUp(self) -> None:
        self.bounds: list[bool] = []
        self.account = memory_account.MemoryAccount(
            lambda: LIMIT, self.bounds.append
        )

    def fill(self, workspace: str) -> list[memory_account.HeldBytes]:
        """Hold bodies of a workspace until one is turned away."""
        held = []
        while (body := self.account.body(workspace)).try_add(LARGE):
            held.append(body)
        return held

    def test_one_workspace_leaves_room_for_the_others(self) -> None:
        self.assertEqual(6, len(self.fill("a")))
        self.assertTrue(self.account.body("b").try_add(LARGE))
        self.assertFalse(self.account.body("a").try_add(LARGE))

    def test_bodies_of_many_workspaces_stay_within_the_limit(self) -> None:
        for number in range(50):
            self.fill(f"w-{number}")
        self.assertLessEqual(self.account.total_bytes, LIMIT)

    def test_small_bodies_are_not_held_to_a_share(self) -> None:
        self.fill("a")
        self.assertTrue(self.account.body("a").try_add(LIMIT // 1000))

    def test_answers_and_counted_parts_leave_less_room(self) -> None:
        self.account.count("tunnels", lambda: LIMIT // 2)
        answer = self.account.answer(LIMIT // 2 - LARGE)
        self.assertEqual([], self.fill("a"))
        answer.release()
        self.assertEqual(3, len(self.fill("a")))

    def test_released_bytes_are_free_once(self) -> None:
        body = self.account.body("a")
        self.assertTrue(body.try_add(LARGE))
        body.release()
        body.release()
        self.assertEqual(0, self.account.total_bytes)

    def test_bound_is_told_when_it_begins_and_ends_to_hold(self) -> None:
        held = self.fill("a")
        self.fill("a")
        self.assertEqual([True], self.bounds)
        for body in held:
            body.release()
        self.assertEqual([True, False], self.bounds)


class AbusiveWorkspace(unittest.TestCase):
    """One workspace sends ten times its usual, with the largest bodies.

    Eight workspaces send a body of 4 MiB every 4 s each, and hold it for 3 s,
    at a node with 120 MB; one of them sends ten times as many.
    """

    def served_share(self, seed: int, factor: float) -> float:
        """Return the share of the other workspaces' bodies that get room."""
        rng = random.Random(seed)
        account = memory_account.MemoryAccount(lambda: 120e6)
        rates = {f"w-{number}": 0.25 for number in range(8)}
        rates["w-0"] *= factor
        arrivals = sorted(
            (rng.uniform(0, 60), workspace)
            for workspace, rate in rates.items()
            for _ in range(int(rate * 60))
        )
        held: list[tuple[float, memory_account.HeldBytes]] = []
        sent = served = 0
        for at, workspace in arrivals:
            for _, body in [each for each in held if each[0] <= at]:
                body.release()
            held = [each for each in held if each[0] > at]
            body = account.body(workspace)
            has_room = body.try_add(4 * 1024 * 1024)
            if has_room:
                held.append((at + 3.0, body))
            if workspace != "w-0":
                sent += 1
                served += has_room
        return served / sent

    def test_other_workspaces_keep_their_share(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                usual = self.served_share(seed, 1.0)
                self.assertGreaterEqual(
                    self.served_share(seed, 10.0), 0.95 * usual
                )


class GivingWay(unittest.TestCase):
    """Bodies and answers that make no progress while room is short."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.yielded: list[str] = []
        self.account = memory_account.MemoryAccount(
            lambda: LIMIT, on_yield=self.yielded.append, clock=self.clock
        )

    def body(self, workspace: str, size: int) -> memory_account.HeldBytes:
        held = self.account.body(workspace, lambda: None)
        self.assertTrue(held.try_add(size))
        return held

    def stall(self) -> None:
        self.clock.advance(memory_account.STALL_TIME + 0.1)

    def test_stalled_body_gives_way_to_a_new_one(self) -> None:
        stalled = self.body("a", 60_000)
        self.stall()
        self.body("a", 60_000)
        self.assertTrue(stalled.gave_way)
        self.assertEqual(60_000, self.account.total_bytes)
        self.assertEqual([memory_account.BODIES], self.yielded)

    def test_longest_stalled_body_gives_way_first(self) -> None:
        first = self.body("a", LARGE)
        second = self.body("a", LARGE)
        self.stall()
        first.record_progress(memory_account.PROGRESS_BYTES)
        self.stall()
        self.body("b", 60_000)
        self.assertTrue(second.gave_way)
        self.assertFalse(first.gave_way)

    def test_body_that_is_being_received_does_not_give_way(self) -> None:
        held = self.body("a", 60_000)
        self.stall()
        held.record_progress(memory_account.PROGRESS_BYTES)
        self.assertFalse(self.account.body("a").try_add(60_000))
        self.assertFalse(held.gave_way)

    def test_byte_now_and_then_is_no_progress(self) -> None:
        held = self.body("a", 60_000)
        for _ in range(20):
            self.clock.advance(0.1)
            held.record_progress(1)
        self.assertTrue(self.account.body("a").try_add(60_000))
        self.assertTrue(held.gave_way)

    def test_complete_body_does_not_give_way(self) -> None:
        held = self.body("a", 60_000)
        held.keep()
        self.stall()
        self.assertFalse(self.account.body("a").try_add(60_000))

    def test_stalled_body_keeps_its_room_while_there_is_room(self) -> None:
        held = self.body("a", LARGE)
        self.stall()
        self.body("a", LARGE)
        self.assertFalse(held.gave_way)

    def test_body_that_can_never_have_room_drives_out_no_other(self) -> None:
        held = self.body("a", LARGE)
        self.stall()
        self.assertFalse(self.account.body("a").try_add(LIMIT + 1))
        self.assertFalse(held.gave_way)

    def test_answers_that_nobody_reads_stay_within_the_limit(self) -> None:
        answers = [self.account.answer(LARGE, lambda: None) for _ in range(30)]
        self.assertLessEqual(self.account.total_bytes, LIMIT)
        self.assertTrue(answers[0].gave_way)
        self.assertFalse(answers[-1].gave_way)

    def test_small_answers_are_delivered_when_bodies_fill_the_node(
        self,
    ) -> None:
        for number in range(50):
            while self.account.body(f"w-{number}").try_add(LARGE):
                pass
        answers = [self.account.answer(800, lambda: None) for _ in range(20)]
        self.assertGreater(self.account.total_bytes, LIMIT)
        self.assertFalse(any(answer.gave_way for answer in answers))

    def test_unread_answer_gives_way_to_a_body(self) -> None:
        answer = self.account.answer(90_000, lambda: None)
        self.assertFalse(self.account.body("a").try_add(60_000))
        self.stall()
        self.body("a", 60_000)
        self.assertTrue(answer.gave_way)
