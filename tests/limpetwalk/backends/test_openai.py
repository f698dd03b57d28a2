"""Contract of model engines, on the wire and through the client.

Both contract tests use the same table of faults.
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
FAST_SETTINGS = {"base_ms": 1.0, "slope_ms": 0.1, "start_cold": False}
UNSERVED_VERSION = snapshot.ModelVersion("small", "v9")


@dataclass(frozen=True)
class Case:
    """Fault and its expected effects.

    :param wire_result: what an HTTP client observes.
    :param kind: failure that the engine client reports; None for an answer.
    :param may_have_run: whether the engine may have begun to run the request.
    :param prior_request: whether a request succeeds before the fault, so that
        the connection is reused.
    """

    name: str
    wire_result: str
    kind: Kind | None
    may_have_run: bool
    orders: tuple[faults.FaultOrder, ...] = ()
    sent: bool = True
    crashed: bool = False
    not_run: bool = False
    text: str = "hello there"
    model: snapshot.ModelVersion = backend_fixtures.VERSION
    cfg: tuple[tuple[str, object], ...] = ()
    prior_request: bool = False


fault_order = backend_fixtures.fault_order
CASES = (
    Case("healthy", "whole", None, True),
    Case(
        "down",
        "refused",
        Kind.CONNECT_FAILED,
        False,
        (fault_order("crash"),),
        sent=False,
        not_run=True,
    ),
    Case("frozen", "silent", Kind.SILENT, False, (fault_order("freeze"),)),
    Case(
        "silent connection",
        "silent",
        Kind.SILENT,
        False,
        (fault_order("silent"),),
        prior_request=True,
    ),
    Case(
        "crossed header",
        "crossed",
        Kind.MISMATCHED,
        True,
        (fault_order("crossed", where="header"),),
    ),
    Case(
        "crossed events",
        "crossed",
        Kind.MISMATCHED,
        True,
        (fault_order("crossed", where="event"),),
    ),
    Case(
        "late", "silent", Kind.SILENT, True, (fault_order("late", seconds=2),)
    ),
    Case(
        "a little late",
        "whole",
        None,
        True,
        (fault_order("late", seconds=0.01),),
    ),
    Case("truncated", "cut", Kind.TRUNCATED, True, (fault_order("truncate"),)),
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
        (fault_order("refuse"),),
        not_run=True,
    ),
    Case(
        "version not served",
        "404 not_run",
        Kind.NOT_RUN,
        False,
        model=UNSERVED_VERSION,
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
        (fault_order("bad_version", one_in=1),),
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
        engine = app.EngineApp(
            settings.EngineSettings(**(FAST_SETTINGS | cfg))
        )
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


def _tuning(case: Case) -> snapshot.Tuning:
    """Return short time-outs only for cases that test them.

    On a busy machine the event loop may be delayed for longer than the short
    time-outs.
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
                    if case.prior_request:
                        await self._send_plainly(
                            session, port, Case("", "", None, 1)
                        )
                    for order in case.orders:
                        await backend_fixtures.apply_fault(engine, order)
                    wire_result = await self._send_plainly(session, port, case)
                self.assertEqual(case.wire_result, wire_result)

    async def _send_plainly(self, session, port: int, case: Case) -> str:
        body = backend_fixtures.chat(case.text) | {"stream": True}
        body["model"] = f"{case.model.model}:{case.model.version}"
        headers = {"X-Request-Id": "r1", "X-Attempt-Id": "r1.1"}
        url = f"http://127.0.0.1:{port}/v1/chat/completions"
        try:
            async with asyncio.timeout(0.5):
                async with session.post(
                    url, json=body, headers=headers
                ) as resp:
                    return _describe(resp, await resp.read())
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
                client = self.client(port, _tuning(case))
                if case.prior_request:
                    await self.collect(
                        client, backend_fixtures.engine_call(request_id="r0")
                    )
                for order in case.orders:
                    await backend_fixtures.apply_fault(engine, order)
                await self._check_client(client, engine, case)

    async def _check_client(self, client, engine, case: Case) -> None:
        call = backend_fixtures.engine_call(
            backend_fixtures.chat(case.text), version=case.model
        )
        if case.kind is None:
            events = await self.collect(client, call)
            self.assertIsInstance(events[-1], base.Finished)
        else:
            with self.assertRaises(base.AttemptFailed) as raised:
                await self.collect(client, call)
            exc = raised.exception
            actual = (exc.kind, exc.sent, exc.crashed, exc.not_run)
            expected = (case.kind, case.sent, case.crashed, case.not_run)
            self.assertEqual(expected, actual)
        self.assertEqual(
            case.may_have_run, "r1" in engine.engine.runs.counts()
        )


def _describe(resp: aiohttp.ClientResponse, data: bytes) -> str:
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


def joined_text(events):
    """Return the text of all pieces of a stream."""
    return "".join(
        event.text for event in events if isinstance(event, base.Delta)
    )


def token_count(events):
    """Return the number of tokens in all pieces of a stream."""
    return sum(
        event.tokens for event in events if isinstance(event, base.Delta)
    )


class OpenAIClientTest(EngineCase):
    async def test_crash_during_an_answer_is_reported_as_a_crash(self):
        engine, port = await self.start(base_ms=5)
        client = self.client(port, backend_fixtures.PATIENT)
        events = []
        with self.assertRaises(base.AttemptFailed) as raised:
            async for event in client.complete(backend_fixtures.engine_call()):
                events.append(event)
                engine.engine.crash()
        self.assertIs(Kind.CONNECTION_LOST, raised.exception.kind)
        self.assertTrue(raised.exception.crashed)
        self.assertTrue(events)

    async def test_a_crash_with_a_restart_is_detected_by_the_boot_id(self):
        engine, port = await self.start(base_ms=5)
        client = self.client(port, backend_fixtures.PATIENT)
        with self.assertRaises(base.AttemptFailed) as raised:
            async for _ in client.complete(backend_fixtures.engine_call()):
                await engine.engine.restart()
        self.assertTrue(raised.exception.crashed)

    async def test_a_lost_connection_alone_is_no_crash(self):
        engine, port = await self.start(base_ms=5)
        client = self.client(port, backend_fixtures.PATIENT)
        with self.assertRaises(base.AttemptFailed) as raised:
            async for _ in client.complete(backend_fixtures.engine_call()):
                for conn in engine.listener._connections():
                    conn.abort()
        self.assertIs(Kind.CONNECTION_LOST, raised.exception.kind)
        self.assertFalse(raised.exception.crashed)

    async def test_freeze_between_tokens_is_detected(self):
        engine, port = await self.start(base_ms=5)
        client = self.client(port)
        events = []
        with self.assertRaises(base.AttemptFailed) as raised:
            async for event in client.complete(backend_fixtures.engine_call()):
                events.append(event)
                await backend_fixtures.apply_fault(
                    engine, backend_fixtures.fault_order("freeze")
                )
        self.assertIs(Kind.SILENT, raised.exception.kind)
        self.assertTrue(events)

    async def test_new_connections_work_after_silent_ones(self):
        engine, port = await self.start()
        client = self.client(port)
        await self.collect(client, backend_fixtures.engine_call())
        engine.listener.silence()
        with self.assertRaises(base.AttemptFailed):
            await self.collect(client, backend_fixtures.engine_call())
        events = await self.collect(client, backend_fixtures.engine_call())
        self.assertIsInstance(events[-1], base.Finished)

    async def test_resumed_stream_continues_at_the_offset(self):
        _, port = await self.start()
        client = self.client(port, backend_fixtures.PATIENT)
        complete = await self.collect(client, backend_fixtures.engine_call())
        tokens = joined_text(complete).split()
        for offset in (1, 3, len(tokens) - 1):
            rest = await self.collect(
                client, backend_fixtures.engine_call(resume_from=offset)
            )
            self.assertEqual(tokens[offset:], joined_text(rest).split())
            self.assertEqual(len(tokens) - offset, token_count(rest))
            self.assertEqual(complete[-1], rest[-1])

    async def test_closing_early_cancels_the_run(self):
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

    async def test_passed_deadline_is_distinguished_from_silence(self):
        _, port = await self.start(base_ms=50)
        client = self.client(port, backend_fixtures.PATIENT)
        call = backend_fixtures.engine_call(
            backend_fixtures.chat(tokens=500), timeout=0.2
        )
        with self.assertRaises(base.AttemptFailed) as raised:
            await self.collect(client, call)
        self.assertIs(Kind.DEADLINE, raised.exception.kind)

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
        with self.assertRaises(base.AttemptFailed) as raised:
            await self.collect(
                client, backend_fixtures.engine_call({"messages": []})
            )
        self.assertIs(Kind.REJECTED, raised.exception.kind)
        self.assertTrue(raised.exception.not_run)

    async def test_load_report_and_boot_id_are_read(self):
        engine, port = await self.start()
        client = self.client(port, backend_fixtures.PATIENT)
        self.assertEqual("", client.boot_id)
        report = await client.fetch_load()
        self.assertEqual(engine.listener.boot_id, report.boot_id)
        await backend_fixtures.apply_fault(
            engine, backend_fixtures.fault_order("cold")
        )
        await self.collect(client, backend_fixtures.engine_call())
        self.assertEqual(engine.listener.boot_id, client.boot_id)
        self.assertNotEqual(report.boot_id, client.boot_id)
