"""Tests of HTTP sessions towards the platform's services."""

import asyncio
import unittest

import aiohttp

from limpetwalk.providers import http
from limpetwalk_bench.hub import raw_server


class SecondCopy(unittest.IsolatedAsyncioTestCase):
    """A service sends an answer once more after it was complete."""

    async def test_late_copy_is_not_the_answer_of_the_next_call(self) -> None:
        answers = 0

        async def answer_twice(conn: raw_server.Connection) -> None:
            nonlocal answers
            answers += 1
            answer = conn.head("Content-Length: 1") + b"%d" % answers
            await conn.send(answer)
            await asyncio.sleep(0.02)
            await conn.send(answer)
            await asyncio.sleep(5)

        server = raw_server.RawServer(answer_twice)
        url = f"http://127.0.0.1:{await server.start()}/"
        self.addAsyncCleanup(server.stop)
        async with http.open_session(aiohttp.ClientTimeout(2)) as session:
            bodies = []
            for _ in range(2):
                async with session.get(url) as resp:
                    bodies.append(await resp.read())
                await asyncio.sleep(0.1)
        self.assertEqual([b"1", b"2"], bodies)
