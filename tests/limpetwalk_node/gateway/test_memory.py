"""Tests of the memory that bodies of requests may take in a gateway."""

import asyncio
import gc
import unittest
from unittest import mock

from aiohttp import web
import multidict

from limpetwalk.gateway import memory_account
from limpetwalk_bench.hub import site
from limpetwalk_node.gateway import node
from limpetwalk_node.gateway import outbound
from limpetwalk_node.gateway import replies
from limpetwalk_node.gateway import upstream

from . import harness

BODY = b"x" * 90_000
# Limit for four bodies of one workspace.
LIMIT = 600_000


class Answers(unittest.TestCase):
    """Complete answers, which are counted until they are written."""

    def test_answer_that_is_never_written_leaves_the_account(self) -> None:
        account = memory_account.MemoryAccount(lambda: LIMIT)
        head = upstream.ResponseHead(200, multidict.CIMultiDict())
        answer = outbound.CompleteAnswer(head, BODY, "p-1")
        resp = replies.complete_response(answer, account)
        self.assertEqual(len(BODY), account.total_bytes)
        del resp
        gc.collect()
        self.assertEqual(0, account.total_bytes)


class RequestBodies(harness.GatewayCase):
    """Bodies of allowed size, but more than the node can hold."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        settings = self.run_.gateway.platform.settings
        share = LIMIT / settings.memory_bytes
        self.enterContext(mock.patch.object(node, "MEMORY_SHARE", share))
        self.ended = asyncio.Event()

        async def hang(req: web.Request) -> None:
            await self.ended.wait()

        self.server("p-1").behaviour = hang

    async def send(self, path: str = "/once/x", **kwargs: object) -> int:
        async with self.run_.request("POST", path, **kwargs) as resp:
            await resp.read()
            if resp.status == 503:
                self.assertIn("Retry-After", resp.headers)
            return resp.status

    async def fill(self) -> list["asyncio.Task[int]"]:
        tasks = [asyncio.create_task(self.send(data=BODY)) for _ in range(4)]
        await self.run_.until(lambda: len(self.server("p-1").received) == 4)
        return tasks

    async def test_body_without_room_is_refused_and_not_run(self) -> None:
        tasks = await self.fill()
        self.assertEqual(503, await self.send(data=BODY))

        async def chunks():  # type: ignore[no-untyped-def]
            for _ in range(9):
                yield BODY[:10_000]

        self.assertEqual(503, await self.send(data=chunks()))
        self.assertEqual(4, len(self.server("p-1").received))
        self.ended.set()
        self.assertEqual([200] * 4, await asyncio.gather(*tasks))
        self.assertEqual(200, await self.send(data=BODY))
        holds = [
            line["holds"] for line in self.run_.lines.events("memory.bound")
        ]
        self.assertEqual([True, False], holds)

    async def test_stalled_body_gives_way_and_is_refused(self) -> None:
        self.ended.set()
        host, port = self.run_.gateway.addresses["callers"]
        headers = site.request_headers("stalled", 20_000)
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(BODY)}")
        stalled = []
        for _ in range(4):
            reader, writer = await asyncio.open_connection(host, port)
            self.addCleanup(writer.close)
            head = "\r\n".join(["POST /once/x HTTP/1.1", *lines, "", ""])
            writer.write(head.encode() + BODY[1:])
            stalled.append(reader)
        frontend = self.run_.gateway.frontend
        await self.run_.until(lambda: frontend.open_requests == 4)
        self.assertEqual(503, await self.send(data=BODY))
        await asyncio.sleep(memory_account.STALL_TIME + 0.1)
        self.assertEqual(200, await self.send(data=BODY))
        answer = await stalled[0].readuntil(b"\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"Retry-After", answer)
        self.assertEqual(1, len(self.server("p-1").received))

    async def test_slow_body_is_served_while_there_is_room(self) -> None:
        self.ended.set()
        await self.run_.extend_timeouts()

        async def pieces():  # type: ignore[no-untyped-def]
            for _ in range(2):
                yield BODY[:1000]
                await asyncio.sleep(memory_account.STALL_TIME + 0.1)

        self.assertEqual(200, await self.send(data=pieces()))

    async def test_memory_is_free_once_requests_have_ended(self) -> None:
        tasks = await self.fill()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.ended.set()
        frontend = self.run_.gateway.frontend
        await self.run_.until(lambda: not frontend.busy)
        for path in ("/nowhere/x", "/again/x", "/once/x"):
            await self.send(path, data=BODY)
        async with self.run_.stream() as resp:
            await resp.read()
        await self.run_.until(lambda: not frontend.busy)
        self.assertEqual(0, self.run_.gateway.memory.total_bytes)
