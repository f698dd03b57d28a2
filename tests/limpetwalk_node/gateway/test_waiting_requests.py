"""Requests that wait at a gateway for room."""

import asyncio
from unittest import mock

from . import harness


class WaitingRequests(harness.GatewayCase):
    """Gateway whose servers have no room for the requests of one caller."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.dispatcher = self.run_.gateway.dispatcher
        queue = self.dispatcher.request_queue
        self.room = mock.Mock()
        self.room.is_ranked.return_value = True
        self.room.rank.return_value = 2
        self.room.free.return_value = 0.0
        for name, value in (
            ("_enabled", lambda: True),
            ("_room", self.room),
            ("_needed", lambda service: 0.0),
        ):
            patch = mock.patch.object(queue, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        await self.run_.extend_timeouts()

    async def send(self) -> "asyncio.Task[tuple[int, str | None]]":
        """Send a request and wait until it waits at the gateway."""

        async def request() -> tuple[int, str | None]:
            async with self.run_.stream() as resp:
                await resp.read()
                return resp.status, resp.headers.get("Retry-After")

        task = asyncio.create_task(request())
        await self.run_.until(
            lambda: self.dispatcher.request_queue.waiting == 1
        )
        return task

    async def test_waiting_request_is_sent_when_there_is_room(self) -> None:
        task = await self.send()
        self.assertEqual([], self.server("e-1").executed)
        self.room.free.return_value = 1.0
        status, _ = await task
        self.assertEqual(200, status)
        self.assertEqual(1, len(self.server("e-1").executed))
        (event,) = self.run_.lines.events("request.waited")
        self.assertEqual("sent", event["end"])

    async def test_stop_refuses_a_waiting_request_truthfully(self) -> None:
        task = await self.send()
        frontend = self.run_.gateway.frontend
        frontend.begin_stop(0.0)
        frontend.end_open_requests()
        status, retry_after = await task
        self.assertEqual(503, status)
        self.assertIsNotNone(retry_after)
        self.assertEqual([], self.server("e-1").executed)
        self.assertEqual(0, self.dispatcher.request_queue.waiting)

    async def test_request_of_a_caller_that_left_is_never_sent(self) -> None:
        task = await self.send()
        task.cancel()
        await self.run_.until(
            lambda: self.dispatcher.request_queue.waiting == 0
        )
        self.room.free.return_value = 1.0
        self.dispatcher.request_queue.advance("engine")
        await asyncio.sleep(0.1)
        self.assertEqual([], self.server("e-1").executed)
        (event,) = self.run_.lines.events("request.waited")
        self.assertEqual("left", event["end"])
