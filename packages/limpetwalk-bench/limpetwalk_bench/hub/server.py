"""Stand-in of a backend server: a model engine or a plain service."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import math
import time

from aiohttp import web
import multidict


@dataclass
class ReceivedRequest:
    """Request that reached the server.

    :param path: path and query as sent, not decoded.
    :param executed: whether the server began to execute it.
    :param received_at: monotonic time of its receipt, in seconds.
    :param ended_at: monotonic time at which the server ended its work.
    """

    method: str
    path: str
    headers: multidict.CIMultiDict[str]
    body: bytes
    executed: bool = False
    received_at: float = field(default_factory=time.monotonic)
    ended_at: float = math.inf


@dataclass
class Brittleness:
    """Server that falls over when it rejects too many requests.

    :param room: requests that it takes at once.
    :param rejections: requests that it may reject in a second.
    :param down_seconds: time for which it is away after a fall.
    :ivar falls: instants at which it fell over.
    """

    room: int
    rejections: int
    down_seconds: float = 2.0
    falls: list[float] = field(default_factory=list)
    active: int = 0
    _rejected_at: list[float] = field(default_factory=list)

    @property
    def is_down(self) -> bool:
        """Whether the server is away."""
        now = time.monotonic()
        return bool(self.falls) and now < self.falls[-1] + self.down_seconds

    def reject(self) -> None:
        """Count a rejection, and fall over when there are too many."""
        now = time.monotonic()
        recent = [at for at in self._rejected_at if at > now - 1.0]
        self._rejected_at = [*recent, now]
        if len(self._rejected_at) > self.rejections:
            self.falls.append(now)
            self._rejected_at = []


Behaviour = Callable[[web.Request], Awaitable[web.StreamResponse | None]]


@dataclass
class Server:
    """Server with configurable answers that records its requests.

    :param id: instance identifier; requests for another one get status 421.
    :param events: number of events in a stream.
    :param event_interval: pause after each event, in seconds.
    :param confidence: value of the ``Confidence`` header, by model.
    :param extra_headers: headers added to each answer.
    :param behaviour: handler called first; its response, if any, replaces
        the usual one.
    :param brittleness: how the server falls over, None if it doesn't.
    :param received: all requests that reached the server, in order.
    """

    id: str
    events: int = 5
    event_interval: float = 0.0
    confidence: dict[str, int] = field(default_factory=dict)
    extra_headers: dict[str, str] = field(default_factory=dict)
    behaviour: Behaviour | None = None
    brittleness: Brittleness | None = None
    received: list[ReceivedRequest] = field(default_factory=list)

    def app(self) -> web.Application:
        """Return the web application of the server."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    @property
    def executed(self) -> list[ReceivedRequest]:
        """Requests that the server executed."""
        return [request for request in self.received if request.executed]

    async def _handle(self, req: web.Request) -> web.StreamResponse:
        received_request = ReceivedRequest(
            req.method, req.raw_path, req.headers.copy(), await req.read()
        )
        self.received.append(received_request)
        if req.headers.get("Target-Instance") not in (None, self.id):
            return web.Response(status=421, headers={"Instance-Id": self.id})
        brittleness = self.brittleness
        if brittleness is None:
            return await self._execute(req, received_request)
        if brittleness.is_down:
            assert req.transport is not None
            req.transport.abort()
            return web.Response(status=502)
        if brittleness.active >= brittleness.room:
            brittleness.reject()
            headers = self.answer_headers(req)
            headers["Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        brittleness.active += 1
        try:
            return await self._execute(req, received_request)
        finally:
            brittleness.active -= 1

    async def _execute(
        self, req: web.Request, received_request: ReceivedRequest
    ) -> web.StreamResponse:
        received_request.executed = True
        try:
            if self.behaviour is not None:
                resp = await self.behaviour(req)
                if resp is not None:
                    return resp
            if "Model" in req.headers:
                return await self._stream(req)
            return web.Response(
                body=b"done " + received_request.body,
                headers=self.answer_headers(req),
            )
        finally:
            received_request.ended_at = time.monotonic()

    def answer_headers(self, req: web.Request) -> dict[str, str]:
        """Return the headers that mark an answer as this server's."""
        headers = {
            "Attempt-Id": req.headers.get("Attempt-Id", ""),
            "Server-Seal": f"seal-{self.id}",
            **self.extra_headers,
        }
        if self.brittleness is not None:
            headers["Server-Brittle"] = str(self.brittleness.rejections)
        return headers

    async def _stream(self, req: web.Request) -> web.StreamResponse:
        headers = self.answer_headers(req)
        headers["Content-Type"] = "text/event-stream"
        model = req.headers["Model"]
        headers["Confidence"] = str(self.confidence.get(model, 100))
        resp = web.StreamResponse(headers=headers)
        await resp.prepare(req)
        first = int(req.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.events + 1):
            await resp.write(event(number))
            await asyncio.sleep(self.event_interval)
        await resp.write_eof()
        return resp


def event(number: int) -> bytes:
    """Return a stream event in the server-sent events format."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()
