"""Tests of the search for what crashes servers."""

import random
import unittest

from limpetwalk.gateway import crash_suspects


def suspect(attempt: str, *traits: str) -> crash_suspects.Suspect:
    return crash_suspects.Suspect(attempt, traits)


class SharedPart(unittest.TestCase):
    """Requests that share nothing but a part that crashes servers."""

    def setUp(self) -> None:
        self.suspects = crash_suspects.CrashSuspects()

    def crash(self, number: int, *suspects: crash_suspects.Suspect) -> None:
        self.suspects.record_crash(f"s-{number}", float(number), suspects)

    def test_part_is_blocked_whatever_else_a_request_has(self) -> None:
        for number in range(3):
            self.crash(
                number, suspect(f"a-{number}", f"p-{number}", "bad", "f")
            )
            self.suspects.record_answer(["f"], number + 0.5)
        self.assertEqual({"bad"}, self.suspects.blocking(["new", "bad"]))
        self.assertFalse(self.suspects.blocking(["f", "p-0"]))

    def test_two_crashes_do_not_block(self) -> None:
        for number in range(2):
            self.crash(number, suspect(f"a-{number}", "bad"))
        self.assertFalse(self.suspects.blocking(["bad"]))

    def test_parts_that_always_come_together_are_blocked_only_together(
        self,
    ) -> None:
        for number in range(3):
            self.crash(number, suspect(f"a-{number}", "first", "bad"))
        self.assertTrue(self.suspects.blocking(["first", "bad"]))
        self.assertFalse(self.suspects.blocking(["first", "other"]))
        self.suspects.record_answer(["first", "other"], 4.0)
        self.assertEqual({"bad"}, self.suspects.blocking(["x", "bad"]))

    def test_answers_clear_parts_at_servers_that_crashed_by_chance(
        self,
    ) -> None:
        for number in range(6):
            self.crash(
                number,
                suspect(f"a-{number}", "bad"),
                suspect(f"b-{number}", "busy"),
            )
            self.suspects.record_answer(["busy"], number + 0.5)
        self.assertFalse(self.suspects.blocking(["busy"]))
        self.assertTrue(self.suspects.blocking(["bad"]))

    def test_report_that_comes_after_an_answer_does_not_count(self) -> None:
        self.suspects.record_answer(["busy"], 9.0)
        for number in range(3):
            self.crash(number, suspect(f"a-{number}", "busy"))
        self.assertFalse(self.suspects.blocking(["busy"]))

    def test_explained_crashes_do_not_count_against_other_parts(self) -> None:
        for number in range(5):
            others = [suspect("b", "unlucky")] if number < 4 else []
            self.crash(number, suspect(f"a-{number}", "bad"), *others)
        self.assertFalse(self.suspects.blocking(["unlucky"]))
        self.assertTrue(self.suspects.blocking(["bad"]))

    def test_two_parts_are_both_found(self) -> None:
        for number in range(8):
            part = "bad" if number % 2 else "worse"
            self.crash(number, suspect(f"a-{number}", part, f"p-{number}"))
        self.assertTrue(self.suspects.blocking(["bad"]))
        self.assertTrue(self.suspects.blocking(["worse"]))

    def test_traits_that_other_nodes_may_block_are_returned(self) -> None:
        for number in range(2):
            self.crash(number, suspect(f"a-{number}", "busy", f"p-{number}"))
        exposed = self.suspects.record_answer(["busy", "p-0"], 5.0)
        self.assertEqual(["busy"], exposed)

    def test_answers_are_returned_once_they_have_cleared_two_crashes(
        self,
    ) -> None:
        returned = []
        for number in range(4):
            self.crash(number, suspect(f"a-{number}", "busy"))
            returned.append(
                self.suspects.record_answer(["busy"], number + 0.5)
            )
        self.assertEqual([[], ["busy"], [], ["busy"]], returned)

    def test_published_answers_are_not_returned_again(self) -> None:
        for number in range(2):
            self.crash(number, suspect(f"a-{number}", "busy"))
            self.assertEqual(
                [], self.suspects.record_answer(["busy"], number + 0.5)
            )
            self.suspects.record_published_answer("busy", number + 0.6)


class CrashesTogether(unittest.TestCase):
    """Servers that lose power together, and a request that crashes a row."""

    def setUp(self) -> None:
        self.suspects = crash_suspects.CrashSuspects()

    def test_power_loss_of_many_servers_blocks_nothing(self) -> None:
        for number in range(30):
            self.suspects.record_crash(
                f"s-{number}",
                10.0 + number / 200,
                [suspect(f"a-{number}", "busy", f"f-{number}")],
            )
        self.assertFalse(self.suspects.blocking(["busy"]))

    def test_request_that_crashes_servers_in_a_row_is_blocked(self) -> None:
        for number in range(3):
            self.suspects.record_crash(
                f"s-{number}", 10.0 + number / 20, [suspect("a", "f")]
            )
        self.assertTrue(self.suspects.blocking(["f"]))

    def test_request_that_crashes_servers_in_overlapping_rounds_is_blocked(
        self,
    ) -> None:
        record = (8.61, 8.65, 8.74, 13.13, 13.22, 13.37, 17.8, 17.92)
        for instants, most_crashes in (
            (record, 4),
            ((0.0, 0.02, 0.04, 4.0, 4.02, 4.04, 8.0, 8.02), 4),
            ((0.0, 0.2, 0.4, 4.0, 4.2, 4.4), 3),
            ((0.0, 0.01, 4.0, 4.01, 8.0, 8.01), 3),
        ):
            with self.subTest(instants=instants):
                self.assertLessEqual(self.crashes(instants), most_crashes)

    def crashes(self, instants: tuple[float, ...]) -> int:
        """Return the number of crashes after which a request is blocked.

        Each crash has a copy of the request, and a sound one beside it. A copy
        knows of the crashes of earlier rounds only.
        """
        suspects = crash_suspects.CrashSuspects()
        for number, at in enumerate(instants):
            known = frozenset(
                f"s-{earlier}"
                for earlier in range(number)
                if at - instants[earlier] > 0.15
            )
            bad = crash_suspects.Suspect(f"a-{number}", ("bad",), known)
            beside = suspect(f"b-{number}", f"f-{number}")
            suspects.record_crash(f"s-{number}", at, [bad, beside])
            self.assertFalse(suspects.blocking([f"f-{number}"]))
            if suspects.blocking(["bad"]):
                return number + 1
        return len(instants) + 1

    def test_request_sent_after_a_crash_is_blocked_after_the_third(
        self,
    ) -> None:
        for number, known in enumerate(((), (), ("s-0",))):
            self.suspects.record_crash(
                f"s-{number}",
                10.0 + number / 25,
                [
                    crash_suspects.Suspect(
                        f"a-{number}", ("bad",), frozenset(known)
                    )
                ],
            )
        self.assertTrue(self.suspects.blocking(["bad"]))

    def test_sound_request_at_servers_that_are_killed_in_turn_is_not_blocked(
        self,
    ) -> None:
        self.suspects.record_answer(["popular"], 9.0)
        for number in range(5):
            known = frozenset(f"s-{earlier}" for earlier in range(number))
            self.suspects.record_crash(
                f"s-{number}",
                10.0 + number / 20,
                [crash_suspects.Suspect("a", ("popular",), known)],
            )
        self.assertFalse(self.suspects.blocking(["popular"]))

    def test_sound_request_at_servers_that_lose_power_together_is_not_blocked(
        self,
    ) -> None:
        for number in range(3):
            self.suspects.record_crash(
                f"s-{number}",
                10.0,
                [
                    crash_suspects.Suspect(
                        f"a-{number}", ("popular",), frozenset()
                    )
                ],
            )
        self.assertFalse(self.suspects.blocking(["popular"]))

    def test_memory_of_crashes_is_bounded(self) -> None:
        for number in range(2 * crash_suspects.MAX_CRASHES):
            self.suspects.record_crash(
                f"s-{number}", float(number), [suspect("a", f"p-{number}")]
            )
        self.assertLessEqual(
            len(self.suspects._servers), crash_suspects.MAX_CRASHES
        )


class BlockTime(unittest.TestCase):
    """Time after which a blocked request is tried again."""

    def block_time(self, crashes: int, at: float, heard_at: float) -> float:
        """Return the time from the last report to the end of the block."""
        suspects = crash_suspects.CrashSuspects()
        for number in range(crashes):
            suspects.record_crash(
                f"s-{number}",
                at + number,
                [suspect(f"a-{number}", "bad")],
                heard_at + number,
            )
        block = suspects.block(["bad"])
        assert block is not None
        return block.until - (heard_at + crashes - 1)

    def test_block_doubles_with_each_crash_up_to_a_limit(self) -> None:
        times = [self.block_time(crashes, 5.0, 5.0) for crashes in range(3, 9)]
        self.assertEqual([300, 600, 1200, 2400, 4800, 4800], times)

    def test_crash_ahead_of_the_shared_clock_does_not_block_for_longer(
        self,
    ) -> None:
        self.assertEqual(300, self.block_time(3, 1e6, 5.0))


class CrashLoad(unittest.TestCase):
    """A fleet under a load with a part that crashes servers.

    Each crash hits the requests that wait at the same server, each of a busy
    first part, one of the workspace and one of its document.
    """

    def test_only_the_part_is_blocked_and_soon(self) -> None:
        for seed in range(40):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, rng: random.Random) -> None:
        suspects = crash_suspects.CrashSuspects()
        crashes = 0
        for step in range(400):
            now = step * 0.3
            sound = [self.request(rng) for _ in range(12)]
            for traits in sound:
                self.assertFalse(suspects.blocking(traits), traits)
            bad = ["first", f"w-{rng.randrange(4)}", "bad", f"f-{step}"]
            if suspects.blocking(bad):
                break
            waiting = rng.sample(sound, 4)
            suspects.record_crash(
                f"s-{step}",
                now,
                [
                    crash_suspects.Suspect(f"{step}-{n}", tuple(traits))
                    for n, traits in enumerate([*waiting, bad])
                ],
            )
            crashes += 1
            for traits in sound:
                if traits not in waiting:
                    suspects.record_answer(traits, now + 0.2)
        self.assertLessEqual(crashes, 5)

    def request(self, rng: random.Random) -> list[str]:
        return [
            "first",
            f"w-{rng.randrange(4)}",
            f"d-{rng.randrange(40)}",
            f"f-{rng.random()}",
        ]


if __name__ == "__main__":
    unittest.main()
