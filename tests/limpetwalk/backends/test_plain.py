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
from limpetwalk_bench.hub import raw_server
from limpetwalk_bench.service import app
from limpetwalk_bench.service import settings

from . import backend_fixtures

Kind = base.FailureKind
fault_order = backend_fixtures.fault_order


@dataclass(frozen=True)
class Case:
    """Fault and its expected effects.

    :param wire_result: what an HTTP client observes.
    :param kind: failure that the service client reports; None for an answer.
    :param runs: number of times that the service runs the request.
    :param prior_request: whether a request succeeds before the fault, so that
        the connection is reused.
    """

    name: str
    wire_result: str
    kind: Kind | None
    runs: int
    orders: tuple[faults.FaultOrder, ...] = ()
    sent: bool = True
    crashed: bool = False
    not_run: bool = False
    body: bytes = b'{"reference": "k1"}'
    prior_request: bool = False
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
        (fault_order("crash"),),
        sent=False,
        not_run=True,
    ),
    Case("frozen", "silent", Kind.SILENT, 0, (fault_order("freeze"),)),
    Case(
        "silent connection",
        "silent",
        Kind.SILENT,
        0,
        (fault_order("silent"),),
        prior_request=True,
    ),
    Case(
        "crossed",
        "crossed",
        Kind.MISMATCHED,
        1,
        (fault_order("crossed"),),
    ),
    Case("late", "silent", Kind.SILENT, 1, (fault_order("late", seconds=2),)),
    Case(
        "truncated",
        "lost",
        Kind.CONNECTION_LOST,
        1,
        (fault_order("truncate"),),
    ),
    Case(
        "crash after the effect",
        "lost",
        Kind.CONNECTION_LOST,
        1,
        (fault_order("crash_after_effect"),),
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
        (fault_order("refuse"),),
        not_run=True,
    ),
    Case("own error", "500", None, 1, (fault_order("fail"),), status=500),
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
                    if case.prior_request:
                        await self._send_plainly(session, port, CASES[0])
                    for order in case.orders:
                        await backend_fixtures.apply_fault(service, order)
                    wire_result = await self._send_plainly(session, port, case)
                self.assertEqual(case.wire_result, wire_result)

    async def _send_plainly(self, session, port: int, case: Case) -> str:
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
                if case.prior_request:
                    await client.call_service(
                        backend_fixtures.service_call(request_id="r0")
                    )
                for order in case.orders:
                    await backend_fixtures.apply_fault(service, order)
                await self._check_client(client, service, case)

    async def _check_client(self, client, service, case: Case) -> None:
        call = backend_fixtures.service_call(
            path=case.path, body=case.body, timeout=0.5
        )
        if case.kind is None:
            answer = await client.call_service(call)
            self.assertEqual(case.status, answer.status)
        else:
            with self.assertRaises(base.AttemptFailed) as raised:
                await client.call_service(call)
            exc = raised.exception
            actual = (exc.kind, exc.sent, exc.crashed, exc.not_run)
            expected = (case.kind, case.sent, case.crashed, case.not_run)
            self.assertEqual(expected, actual)
        self.assertEqual(case.runs, service.runs.counts().get("r1", 0))


class PlainClientTest(ServiceCase):
    async def test_outcome_is_fetched_by_request_id(self):
        _, port = await self.start()
        client = self.client(port)
        answer = await client.call_service(backend_fixtures.service_call())
        stored = await client.fetch_outcome("r1")
        self.assertEqual(answer.body, stored.body)
        self.assertIsNone(await client.fetch_outcome("r2"))

    async def test_late_copy_of_an_answer_is_not_the_outcome_of_another(
        self,
    ):
        async def answer_twice(conn: raw_server.Connection) -> None:
            head = (
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                f"X-Request-Id: {conn.headers['x-request-id']}\r\n"
                f"X-Attempt-Id: {conn.headers['x-attempt-id']}\r\n\r\n"
            )
            await conn.send(f"{head}r1".encode())
            await asyncio.sleep(0.02)
            await conn.send(f"{head}r1".encode())
            await asyncio.sleep(5)

        stand_in = raw_server.RawServer(answer_twice)
        client = self.client(await stand_in.start())
        self.addAsyncCleanup(stand_in.stop)
        await client.call_service(backend_fixtures.service_call())
        await asyncio.sleep(0.1)
        with self.assertRaises(base.AttemptFailed) as raised:
            await client.fetch_outcome("r2")
        self.assertIs(base.FailureKind.MISMATCHED, raised.exception.kind)

    async def test_head_cut_at_any_byte_gives_no_answer(self):
        cut = 0
        heads = []

        async def cut_head(conn: raw_server.Connection) -> None:
            head = (
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                f"X-Request-Id: {conn.headers['x-request-id']}\r\n"
                f"X-Attempt-Id: {conn.headers['x-attempt-id']}\r\n"
                "Content-Length: 0\r\n\r\n"
            )
            heads.append(head)
            await conn.send(head[:cut].encode())

        stand_in = raw_server.RawServer(cut_head)
        port = await stand_in.start()
        self.addAsyncCleanup(stand_in.stop)
        client = self.client(port)
        for cut in range(0, 98, 3):
            with self.assertRaises(base.AttemptFailed, msg=f"cut at {cut}"):
                await client.call_service(backend_fixtures.service_call())
        self.assertLess(cut, len(heads[-1]))

    async def test_the_library_does_not_retry_a_put_by_itself(self):
        # When a reused connection closes during the second request, the HTTP
        # library would send a PUT again over a new connection.
        methods = []

        async def handle(req: web.Request) -> web.Response:
            methods.append(req.method)
            if len(methods) == 2:
                req.transport.abort()
                await asyncio.Event().wait()
            return web.Response(headers=_echo_headers(req))

        application = web.Application()
        application.router.add_put("/items/1", handle)
        application.router.add_get("/load", handle)
        stand_in = listener.Listener(application, "127.0.0.1", 0)
        await stand_in.start()
        self.addAsyncCleanup(stand_in.close)
        client = self.client(stand_in.port)
        call = backend_fixtures.service_call("PUT", "/items/1")
        await client.call_service(call)
        with self.assertRaises(base.AttemptFailed) as raised:
            await client.call_service(call)
        self.assertTrue(raised.exception.sent)
        self.assertEqual(2, methods.count("PUT"))

    async def test_redirect_is_returned_and_not_followed(self):
        paths = []

        async def handle(req: web.Request) -> web.Response:
            paths.append(req.path)
            headers = _echo_headers(req) | {"Location": "/elsewhere"}
            return web.Response(status=307, headers=headers)

        application = web.Application()
        application.router.add_route("*", "/{path:.*}", handle)
        stand_in = listener.Listener(application, "127.0.0.1", 0)
        await stand_in.start()
        self.addAsyncCleanup(stand_in.close)
        client = self.client(stand_in.port)
        answer = await client.call_service(backend_fixtures.service_call())
        self.assertEqual(307, answer.status)
        self.assertEqual(["/payments"], paths)

    async def test_hop_headers_are_not_forwarded(self):
        service, port = await self.start()
        client = self.client(port)
        answer = await client.call_service(backend_fixtures.service_call())
        names = {name.lower() for name in answer.headers}
        self.assertFalse(names & plain.HOP_HEADERS)
        self.assertIn("content-type", names)


def _echo_headers(req: web.Request) -> dict[str, str]:
    names = ("X-Request-Id", "X-Attempt-Id")
    return {name: req.headers.get(name, "") for name in names}
