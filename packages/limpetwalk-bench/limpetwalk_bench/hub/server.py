"""Stand-in of a backend server: a model engine or a plain service."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import time

from aiohttp import web
import multidict


@dataclass
class ReceivedRequest:
    """Request that reached the server.

    :param executed: whether the server began to work on it.
    :param received_at: instant at which it was there.
    """

    method: str
    path: str
    headers: multidict.CIMultiDict[str]
    body: bytes
    executed: bool = False
    received_at: float = field(default_factory=time.monotonic)


Behaviour = Callable[[web.Request], Awaitable[web.StreamResponse | None]]


@dataclass
class Server:
    """Server that answers as its behaviour says.

    :param id: identifier that requests must be meant for.
    :param events: events of a stream.
    :param confidence: opinion of its answers, by model.
    :param behaviour: answers instead, when it returns a response.
    """

    id: str
    events: int = 5
    event_interval: float = 0.0
    confidence: dict[str, int] = field(default_factory=dict)
    behaviour: Behaviour | None = None
    received: list[ReceivedRequest] = field(default_factory=list)

    def app(self) -> web.Application:
        """Return the application of the server."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    @property
    def executed(self) -> list[ReceivedRequest]:
        """Requests that ran."""
        return [each for each in self.received if each.executed]

    async def _handle(self, req: web.Request) -> web.StreamResponse:
        received = ReceivedRequest(
            req.method, req.raw_path, req.headers.copy(), await req.read()
        )
        self.received.append(received)
        if req.headers.get("Target-Instance") not in (None, self.id):
            return web.Response(status=421, headers={"Instance-Id": self.id})
        received.executed = True
        if self.behaviour is not None:
            resp = await self.behaviour(req)
            if resp is not None:
                return resp
        if "Model" in req.headers:
            return await self._stream(req)
        return web.Response(
            body=b"done " + received.body, headers=self.answer_headers(req)
        )

    def answer_headers(self, req: web.Request) -> dict[str, str]:
        """Return the headers of an answer of this server."""
        return {
            "Attempt-Id": req.headers.get("Attempt-Id", ""),
            "Server-Seal": f"seal-{self.id}",
        }

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
    """Return an event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()
