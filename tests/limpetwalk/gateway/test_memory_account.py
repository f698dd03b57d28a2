"""Tests of the account of the bytes that a node holds."""

import random
import unittest

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
