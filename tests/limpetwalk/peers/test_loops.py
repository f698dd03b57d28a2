"""Tests of periodic tasks."""

import asyncio
import unittest

from limpetwalk.peers import loops


class RunPeriodicallyTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_failed_run_does_not_end_the_loop(self):
        runs = 0
        done = asyncio.Event()

        async def step():
            nonlocal runs
            runs += 1
            if runs == 3:
                done.set()
            raise KeyError(runs)

        task = asyncio.create_task(loops.run_periodically(step, lambda: 0.0))
        async with asyncio.timeout(5.0):
            await done.wait()
        task.cancel()
