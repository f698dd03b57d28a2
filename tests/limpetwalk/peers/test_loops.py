"""Tests of loops that go on."""

import asyncio
import unittest

from limpetwalk.peers import loops


class RepeatTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_round_that_fails_does_not_end_the_loop(self):
        rounds = 0
        done = asyncio.Event()

        async def step():
            nonlocal rounds
            rounds += 1
            if rounds == 3:
                done.set()
            raise KeyError(rounds)

        task = asyncio.create_task(loops.run_periodically(step, lambda: 0.0))
        async with asyncio.timeout(5.0):
            await done.wait()
        task.cancel()
