"""Contract of plain services, on the wire and through the client."""

import asyncio
from dataclasses import dataclass
import unittest

import aiohttp
from aiohttp import web

from limpetwalk.backends import base
from limpetwalk.backends import plain
from limpetwalk_bench.backend import faults
from limpetwalk_bench.backend import listener
from limpetwalk_bench.service import app
from limpetwalk_bench.service import settings

from . import backend_fixtures

Kind = base.FailureKind
order = backend_fixtures.order


@dataclass(frozen=True)
class Case:
    """Fault with what is to be seen of it; ``runs`` counts effects."""

    name: str
    wire: str
    kind: Kind | None
    runs: int
    orders: tuple[faults.FaultOrder, ...] = ()
    sent: bool = True
    crashed: bool = False
    not_run: bool = False
    body: bytes = b'{"reference": "k1"}'
    first: bool = False
    status: int = 200
    path: str = "/payments"


CASES = (
    Case("healthy", "200", None, 1),
    Case("no such route", "404", None, 0, status=404, path="/unheard-of"),
    Case(
        "down",
        "refused",
        Kind.CONNECT_FAILED,
        0,
        (order("crash"),),
        sent=False,
        not_run=True,
    ),
    Case("frozen", "silent", Kind.SILENT, 0, (order("freeze"),)),
    Case(
        "silent connection",
        "silent",
        Kind.SILENT,
        0,
        (order("silent"),),
        first=True,
    ),
    Case("crossed", "crossed", Kind.CROSSED, 1, (order("crossed"),)),
    Case("late", "silent", Kind.SILENT, 1, (order("late", seconds=2),)),
    Case("truncated", "lost", Kind.CONNECTION_LOST, 1, (order("truncate"),)),
    Case(
        "crash after the effect",
        "lost",
        Kind.CONNECTION_LOST,
        1,
        (order("crash_after_effect"),),
        crashed=True,
    ),
    Case(
        "poison",
        "lost",
        Kind.CONNECTION_LOST,
        1,
        body=b'{"reference": "[[crash]]"}',
        crashed=True,
    ),
    Case(
        "refuses",
        "503 not_run",
        Kind.NOT_RUN,
        0,
        (order("refuse"),),
        not_run=True,
    ),
    Case("own error", "500", None, 1, (order("fail"),), status=500),
)


class ServiceCase(unittest.IsolatedAsyncioTestCase):
    """Starts services and clients, and closes them after the test."""

    async def start(self, **cfg) -> tuple[app.ServiceApp, int]:
        service = app.ServiceApp(settings.ServiceSettings(**cfg))
        ports = await service.start()
        self.addAsyncCleanup(service.close)
        return service, ports["http"]

    def client(self, port: int) -> plain.PlainClient:
        declared = backend_fixtures.server("s1", port, service="registry")
        client = plain.PlainClient(declared, backend_fixtures.TUNING)
        self.addAsyncCleanup(client.close)
        return client


class ServiceContractTest(ServiceCase):
    async def test_faults_on_the_wire(self):
        for case in CASES:
            with self.subTest(case.name):
                service, port = await self.start()
                async with aiohttp.ClientSession() as session:
                    if case.first:
                        await self._wire(session, port, CASES[0])
                    for item in case.orders:
                        await backend_fixtures.bring_about(service, item)
                    seen = await self._wire(session, port, case)
                self.assertEqual(case.wire, seen)

    async def _wire(self, session, port: int, case: Case) -> str:
        headers = {"X-Request-Id": "r1", "X-Attempt-Id": "r1.1"}
        url = f"http://127.0.0.1:{port}{case.path}"
        try:
            async with asyncio.timeout(0.5):
                async with session.post(
                    url, data=case.body, headers=headers
                ) as resp:
                    await resp.read()
        except TimeoutError:
            return "silent"
        except aiohttp.ClientConnectorError:
            return "refused"
        except aiohttp.ClientError:
            return "lost"
        if resp.headers["X-Attempt-Id"] != "r1.1":
            return "crossed"
        state = resp.headers.get("X-Run-State", "")
        return f"{resp.status} {state}".strip()

    async def test_faults_through_the_client(self):
        for case in CASES:
            with self.subTest(case.name):
                service, port = await self.start()
                client = self.client(port)
                if case.first:
                    await client.call_service(
                        backend_fixtures.service_call(request_id="r0")
                    )
                for item in case.orders:
                    await backend_fixtures.bring_about(service, item)
                await self._check(client, service, case)

    async def _check(self, client, service, case: Case) -> None:
        call = backend_fixtures.service_call(
            path=case.path, body=case.body, timeout=0.5
        )
        if case.kind is None:
            answer = await client.call_service(call)
            self.assertEqual(case.status, answer.status)
        else:
            with self.assertRaises(base.AttemptFailed) as caught:
                await client.call_service(call)
            exc = caught.exception
            seen = (exc.kind, exc.sent, exc.crashed, exc.not_run)
            expected = (case.kind, case.sent, case.crashed, case.not_run)
            self.assertEqual(expected, seen)
        self.assertEqual(case.runs, service.runs.counts().get("r1", 0))


class PlainClientTest(ServiceCase):
    async def test_outcome_is_asked_by_request_id(self):
        _, port = await self.start()
        client = self.client(port)
        answer = await client.call_service(backend_fixtures.service_call())
        found = await client.fetch_outcome("r1")
        self.assertEqual(answer.body, found.body)
        self.assertIsNone(await client.fetch_outcome("r2"))

    async def test_the_library_does_not_repeat_a_put_by_itself(self):
        # A kept connection that closes on the second request makes the HTTP
        # library send a PUT again over a new one.
        seen = []

        async def handle(req: web.Request) -> web.Response:
            seen.append(req.method)
            if len(seen) == 2:
                req.transport.abort()
                await asyncio.Event().wait()
            return web.Response(headers=_echo(req))

        held = web.Application()
        held.router.add_put("/items/1", handle)
        held.router.add_get("/load", handle)
        stand_in = listener.Listener(held, "127.0.0.1", 0)
        await stand_in.start()
        self.addAsyncCleanup(stand_in.close)
        client = self.client(stand_in.port)
        call = backend_fixtures.service_call("PUT", "/items/1")
        await client.call_service(call)
        with self.assertRaises(base.AttemptFailed) as caught:
            await client.call_service(call)
        self.assertTrue(caught.exception.sent)
        self.assertEqual(2, seen.count("PUT"))

    async def test_a_redirect_is_the_answer_and_not_followed(self):
        seen = []

        async def handle(req: web.Request) -> web.Response:
            seen.append(req.path)
            headers = _echo(req) | {"Location": "/elsewhere"}
            return web.Response(status=307, headers=headers)

        held = web.Application()
        held.router.add_route("*", "/{path:.*}", handle)
        stand_in = listener.Listener(held, "127.0.0.1", 0)
        await stand_in.start()
        self.addAsyncCleanup(stand_in.close)
        client = self.client(stand_in.port)
        answer = await client.call_service(backend_fixtures.service_call())
        self.assertEqual(307, answer.status)
        self.assertEqual(["/payments"], seen)

    async def test_headers_of_one_hop_are_not_passed_on(self):
        service, port = await self.start()
        client = self.client(port)
        answer = await client.call_service(backend_fixtures.service_call())
        names = {name.lower() for name in answer.headers}
        self.assertFalse(names & plain.HOP_HEADERS)
        self.assertIn("content-type", names)


def _echo(req: web.Request) -> dict[str, str]:
    names = ("X-Request-Id", "X-Attempt-Id")
    return {name: req.headers.get(name, "") for name in names}
