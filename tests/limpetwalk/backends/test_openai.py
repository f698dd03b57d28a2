"""Contract of model engines, on the wire and through the client.

Both tests go over the same table of faults.
"""

import asyncio
import contextlib
from dataclasses import dataclass
import json
import unittest

import aiohttp

from limpetwalk.backends import base
from limpetwalk.backends import openai
from limpetwalk.conf import snapshot
from limpetwalk_bench.backend import faults
from limpetwalk_bench.engine import app
from limpetwalk_bench.engine import settings

from . import backend_fixtures

Kind = base.FailureKind
FAST = {"base_ms": 1.0, "slope_ms": 0.1, "start_cold": False}
OTHER = snapshot.ModelVersion("small", "v9")


@dataclass(frozen=True)
class Case:
    """Fault with what is to be seen of it.

    :param wire: what a plain HTTP client sees.
    :param kind: failure that the client reports; None for an answer.
    :param ran: whether the engine may have begun to run the request.
    """

    name: str
    wire: str
    kind: Kind | None
    ran: bool
    orders: tuple[faults.FaultOrder, ...] = ()
    sent: bool = True
    crashed: bool = False
    not_run: bool = False
    text: str = "hello there"
    model: snapshot.ModelVersion = backend_fixtures.VERSION
    cfg: tuple[tuple[str, object], ...] = ()
    first: bool = False


order = backend_fixtures.order
CASES = (
    Case("healthy", "whole", None, True),
    Case(
        "down",
        "refused",
        Kind.CONNECT_FAILED,
        False,
        (order("crash"),),
        sent=False,
        not_run=True,
    ),
    Case("frozen", "silent", Kind.SILENT, False, (order("freeze"),)),
    Case(
        "silent connection",
        "silent",
        Kind.SILENT,
        False,
        (order("silent"),),
        first=True,
    ),
    Case(
        "crossed header",
        "crossed",
        Kind.CROSSED,
        True,
        (order("crossed", where="header"),),
    ),
    Case(
        "crossed events",
        "crossed",
        Kind.CROSSED,
        True,
        (order("crossed", where="event"),),
    ),
    Case("late", "silent", Kind.SILENT, True, (order("late", seconds=2),)),
    Case("a little late", "whole", None, True, (order("late", seconds=0.01),)),
    Case("truncated", "cut", Kind.TRUNCATED, True, (order("truncate"),)),
    Case(
        "poison",
        "lost",
        Kind.CONNECTION_LOST,
        True,
        text="[[crash]]",
        crashed=True,
    ),
    Case(
        "refuses",
        "503 not_run",
        Kind.NOT_RUN,
        False,
        (order("refuse"),),
        not_run=True,
    ),
    Case(
        "version not served",
        "404 not_run",
        Kind.NOT_RUN,
        False,
        model=OTHER,
        not_run=True,
    ),
    Case(
        "queue full",
        "429 not_run",
        Kind.OVERLOADED,
        False,
        cfg=(("max_queue", 0),),
        not_run=True,
    ),
    Case(
        "bad version",
        "500",
        Kind.SERVER_ERROR,
        True,
        (order("bad_version", one_in=1),),
    ),
    Case(
        "cold and full, failing",
        "500",
        Kind.SERVER_ERROR,
        True,
        cfg=(
            ("start_cold", True),
            ("cold_allowance", 0),
            ("cold_overload", "error"),
        ),
    ),
    Case(
        "cold and full, falling over",
        "lost",
        Kind.CONNECTION_LOST,
        True,
        crashed=True,
        cfg=(("start_cold", True), ("cold_allowance", 0)),
    ),
)


class EngineCase(unittest.IsolatedAsyncioTestCase):
    """Starts engines and clients, and closes them after the test."""

    async def start(self, **cfg) -> tuple[app.EngineApp, int]:
        engine = app.EngineApp(settings.EngineSettings(**(FAST | cfg)))
        ports = await engine.start()
        self.addAsyncCleanup(engine.close)
        return engine, ports["http"]

    def client(
        self, port: int, tuning: snapshot.Tuning = backend_fixtures.TUNING
    ) -> openai.OpenAIClient:
        client = openai.OpenAIClient(
            backend_fixtures.server("e1", port), tuning
        )
        self.addAsyncCleanup(client.close)
        return client

    async def collect(
        self, client: openai.OpenAIClient, call: base.EngineCall
    ) -> list[base.EngineEvent]:
        return [event async for event in client.complete(call)]


def _limits(case: Case) -> snapshot.Tuning:
    """Return short time-outs only for cases that are about them.

    A busy machine may hold the event loop up for longer than the short ones.
    """
    return (
        backend_fixtures.TUNING
        if case.kind is Kind.SILENT
        else backend_fixtures.PATIENT
    )


class EngineContractTest(EngineCase):
    async def test_faults_on_the_wire(self):
        for case in CASES:
            with self.subTest(case.name):
                engine, port = await self.start(**dict(case.cfg))
                async with aiohttp.ClientSession() as session:
                    if case.first:
                        await self._wire(session, port, Case("", "", None, 1))
                    for item in case.orders:
                        await backend_fixtures.bring_about(engine, item)
                    seen = await self._wire(session, port, case)
                self.assertEqual(case.wire, seen)

    async def _wire(self, session, port: int, case: Case) -> str:
        body = backend_fixtures.chat(case.text) | {"stream": True}
        body["model"] = f"{case.model.model}:{case.model.version}"
        headers = {"X-Request-Id": "r1", "X-Attempt-Id": "r1.1"}
        url = f"http://127.0.0.1:{port}/v1/chat/completions"
        try:
            async with asyncio.timeout(0.5):
                async with session.post(
                    url, json=body, headers=headers
                ) as resp:
                    return _seen(resp, await resp.read())
        except TimeoutError:
            return "silent"
        except aiohttp.ClientConnectorError:
            return "refused"
        except aiohttp.ClientError:
            return "lost"

    async def test_faults_through_the_client(self):
        for case in CASES:
            with self.subTest(case.name):
                engine, port = await self.start(**dict(case.cfg))
                client = self.client(port, _limits(case))
                if case.first:
                    await self.collect(
                        client, backend_fixtures.engine_call(request_id="r0")
                    )
                for item in case.orders:
                    await backend_fixtures.bring_about(engine, item)
                await self._check(client, engine, case)

    async def _check(self, client, engine, case: Case) -> None:
        call = backend_fixtures.engine_call(
            backend_fixtures.chat(case.text), version=case.model
        )
        if case.kind is None:
            events = await self.collect(client, call)
            self.assertIsInstance(events[-1], base.Finished)
        else:
            with self.assertRaises(base.AttemptFailed) as caught:
                await self.collect(client, call)
            exc = caught.exception
            seen = (exc.kind, exc.sent, exc.crashed, exc.not_run)
            expected = (case.kind, case.sent, case.crashed, case.not_run)
            self.assertEqual(expected, seen)
        self.assertEqual(case.ran, "r1" in engine.engine.runs.counts())


def _seen(resp: aiohttp.ClientResponse, data: bytes) -> str:
    if resp.status != 200:
        state = resp.headers.get("X-Run-State", "")
        return f"{resp.status} {state}".strip()
    if resp.headers["X-Attempt-Id"] != "r1.1":
        return "crossed"
    if b"data: [DONE]" not in data:
        return "cut"
    events = [
        json.loads(line[6:])
        for line in data.splitlines()
        if line.startswith(b"data: {")
    ]
    if events[-1]["attempt_id"] != "r1.1":
        return "crossed"
    return "whole"


def joined(events):
    """Return the text of a stream; pieces that arrive together are one."""
    return "".join(
        event.text for event in events if isinstance(event, base.Delta)
    )


def counted(events):
    """Return the tokens that the pieces of a stream stand for."""
    return sum(
        event.tokens for event in events if isinstance(event, base.Delta)
    )


class OpenAIClientTest(EngineCase):
    async def test_a_crash_in_the_middle_is_told_as_a_crash(self):
        engine, port = await self.start(base_ms=5)
        client = self.client(port, backend_fixtures.PATIENT)
        got = []
        with self.assertRaises(base.AttemptFailed) as caught:
            async for event in client.complete(backend_fixtures.engine_call()):
                got.append(event)
                engine.engine.crash()
        self.assertIs(Kind.CONNECTION_LOST, caught.exception.kind)
        self.assertTrue(caught.exception.crashed)
        self.assertTrue(got)

    async def test_a_crash_with_a_restart_is_told_by_the_boot_id(self):
        engine, port = await self.start(base_ms=5)
        client = self.client(port, backend_fixtures.PATIENT)
        with self.assertRaises(base.AttemptFailed) as caught:
            async for _ in client.complete(backend_fixtures.engine_call()):
                await engine.engine.restart()
        self.assertTrue(caught.exception.crashed)

    async def test_a_lost_connection_alone_is_no_crash(self):
        engine, port = await self.start(base_ms=5)
        client = self.client(port, backend_fixtures.PATIENT)
        with self.assertRaises(base.AttemptFailed) as caught:
            async for _ in client.complete(backend_fixtures.engine_call()):
                for conn in engine.listener._connections():
                    conn.abort()
        self.assertIs(Kind.CONNECTION_LOST, caught.exception.kind)
        self.assertFalse(caught.exception.crashed)

    async def test_a_freeze_between_tokens_is_seen(self):
        engine, port = await self.start(base_ms=5)
        client = self.client(port)
        got = []
        with self.assertRaises(base.AttemptFailed) as caught:
            async for event in client.complete(backend_fixtures.engine_call()):
                got.append(event)
                await backend_fixtures.bring_about(
                    engine, backend_fixtures.order("freeze")
                )
        self.assertIs(Kind.SILENT, caught.exception.kind)
        self.assertTrue(got)

    async def test_new_connections_work_after_silent_ones(self):
        engine, port = await self.start()
        client = self.client(port)
        await self.collect(client, backend_fixtures.engine_call())
        engine.listener.silence()
        with self.assertRaises(base.AttemptFailed):
            await self.collect(client, backend_fixtures.engine_call())
        events = await self.collect(client, backend_fixtures.engine_call())
        self.assertIsInstance(events[-1], base.Finished)

    async def test_a_resumed_stream_goes_on_at_the_offset(self):
        _, port = await self.start()
        client = self.client(port, backend_fixtures.PATIENT)
        whole = await self.collect(client, backend_fixtures.engine_call())
        tokens = joined(whole).split()
        for offset in (1, 3, len(tokens) - 1):
            rest = await self.collect(
                client, backend_fixtures.engine_call(resume_from=offset)
            )
            self.assertEqual(tokens[offset:], joined(rest).split())
            self.assertEqual(len(tokens) - offset, counted(rest))
            self.assertEqual(whole[-1], rest[-1])

    async def test_closing_early_cancels_the_work(self):
        engine, port = await self.start(base_ms=20)
        client = self.client(port, backend_fixtures.PATIENT)
        stream = client.complete(
            backend_fixtures.engine_call(backend_fixtures.chat(tokens=500))
        )
        async with contextlib.aclosing(stream):
            async for _ in stream:
                break
        run = engine.engine.runs.runs[0]
        async with asyncio.timeout(5):
            while run.outcome == "running":
                await asyncio.sleep(0)
        self.assertEqual("cancelled", run.outcome)

    async def test_a_passed_deadline_is_told_apart_from_silence(self):
        _, port = await self.start(base_ms=50)
        client = self.client(port, backend_fixtures.PATIENT)
        call = backend_fixtures.engine_call(
            backend_fixtures.chat(tokens=500), timeout=0.2
        )
        with self.assertRaises(base.AttemptFailed) as caught:
            await self.collect(client, call)
        self.assertIs(Kind.DEADLINE, caught.exception.kind)

    async def test_the_engine_gives_up_at_the_deadline_by_itself(self):
        engine, port = await self.start(base_ms=50)
        async with aiohttp.ClientSession() as session:
            body = backend_fixtures.chat(tokens=500) | {"model": "small:v1"}
            headers = {"X-Timeout-Ms": "100"}
            url = f"http://127.0.0.1:{port}/v1/chat/completions"
            with self.assertRaises(aiohttp.ClientError):
                async with session.post(url, json=body, headers=headers):
                    pass
        self.assertEqual("cancelled", engine.engine.runs.runs[0].outcome)

    async def test_a_body_that_the_engine_rejects_is_not_run(self):
        _, port = await self.start()
        client = self.client(port)
        with self.assertRaises(base.AttemptFailed) as caught:
            await self.collect(
                client, backend_fixtures.engine_call({"messages": []})
            )
        self.assertIs(Kind.REJECTED, caught.exception.kind)
        self.assertTrue(caught.exception.not_run)

    async def test_load_report_and_boot_id_are_read(self):
        engine, port = await self.start()
        client = self.client(port, backend_fixtures.PATIENT)
        self.assertEqual("", client.boot_id)
        report = await client.fetch_load()
        self.assertEqual(engine.listener.boot_id, report.boot_id)
        await backend_fixtures.bring_about(
            engine, backend_fixtures.order("cold")
        )
        await self.collect(client, backend_fixtures.engine_call())
        self.assertEqual(engine.listener.boot_id, client.boot_id)
        self.assertNotEqual(report.boot_id, client.boot_id)
