"""Tests of the dispatchers against scripted backend servers."""

import asyncio
import contextlib
import dataclasses
import random
import unittest

from limpetwalk import refusals
from limpetwalk.backends import base
from limpetwalk.conf import snapshot
from limpetwalk.routing import dispatchers

from . import fakes

Kind = base.FailureKind
Reason = refusals.Reason
RunState = refusals.RunState
FULL_ANSWER = "".join(fakes.TOKENS)


def _engines(site: fakes.Site) -> dispatchers.EngineDispatcher:
    return dispatchers.EngineDispatcher(
        lambda: site.applied,
        None,  # type: ignore[arg-type]
        site.quarantine,
        site.clock,
        site.metrics,
        random.Random(1),
        site.core,
    )


def _services(site: fakes.Site) -> dispatchers.ServiceDispatcher:
    return dispatchers.ServiceDispatcher(
        lambda: site.applied,
        None,  # type: ignore[arg-type]
        site.quarantine,
        site.clock,
        site.metrics,
        random.Random(1),
        site.core,
    )


async def _text(engines: dispatchers.EngineDispatcher, work) -> str:
    events = [event async for event in engines.complete(work)]
    assert isinstance(events[-1], base.Finished)
    return "".join(
        event.text for event in events if isinstance(event, base.Delta)
    )


class EngineDispatcherTest(unittest.IsolatedAsyncioTestCase):
    def fail_first(self, site: fakes.Site, *steps) -> None:
        """Make the first calls fail, regardless of the server."""
        shared = list(steps)
        for client in site.clients.values():
            client.script = shared

    async def test_each_failure_is_retried_elsewhere_and_counted(self):
        cases = [
            (fakes.failure(Kind.CONNECT_FAILED, False), "connect_failed"),
            (fakes.failure(Kind.NOT_RUN), "not_run"),
            (fakes.failure(Kind.OVERLOADED), "overloaded"),
            (fakes.failure(Kind.SILENT), "silent_connection"),
            (fakes.failure(Kind.CONNECTION_LOST), "connection_lost"),
            (fakes.failure(Kind.TRUNCATED), "truncated_answer"),
            (fakes.failure(Kind.MISMATCHED), "crossed_answer"),
            (fakes.failure(Kind.SERVER_ERROR), "server_error"),
            (fakes.failure(Kind.DEADLINE), "permit_expired"),
            ((2, fakes.failure(Kind.SILENT)), "stream_resumed"),
        ]
        for step, reason in cases:
            with self.subTest(reason):
                site = fakes.Site()
                self.fail_first(site, step)
                text = await _text(_engines(site), site.engine_work())
                self.assertEqual(FULL_ANSWER, text)
                called_clients = [
                    client for client in site.clients.values() if client.calls
                ]
                self.assertEqual(2, len(called_clients))
                count = site.metrics.value(
                    "limpetwalk_retries_total", {"reason": reason}
                )
                self.assertEqual(1, count)

    async def test_on_failure_is_called_although_the_retry_succeeds(self):
        site = fakes.Site()
        self.fail_first(site, fakes.failure(Kind.SERVER_ERROR))
        kinds = []
        work = dataclasses.replace(site.engine_work(), on_failure=kinds.append)
        self.assertEqual(FULL_ANSWER, await _text(_engines(site), work))
        self.assertEqual([Kind.SERVER_ERROR], kinds)

    async def test_a_broken_stream_is_resumed_from_its_offset(self):
        site = fakes.Site()
        self.fail_first(
            site,
            (1, fakes.failure(Kind.CONNECTION_LOST)),
            (3, fakes.failure(Kind.TRUNCATED)),
        )
        text = await _text(_engines(site), site.engine_work())
        self.assertEqual(FULL_ANSWER, text)
        offsets = sorted(call.resume_from for call in site.calls())
        self.assertEqual([0, 1, 3], offsets)
        self.assertEqual(3, len({call.attempt_id for call in site.calls()}))

    async def test_a_refusal_has_the_run_state_of_its_attempts(self):
        cases = [
            (fakes.failure(Kind.CONNECT_FAILED, False), RunState.NOT_RUN),
            (fakes.failure(Kind.NOT_RUN), RunState.NOT_RUN),
            (fakes.failure(Kind.SILENT), RunState.UNKNOWN),
            ((2, fakes.failure(Kind.SILENT)), RunState.RUN),
        ]
        for step, run in cases:
            with self.subTest(run):
                site = fakes.Site()
                self.fail_first(site, *[step] * 9)
                with self.assertRaises(refusals.Refused) as caught:
                    await _text(_engines(site), site.engine_work())
                self.assertEqual(run, caught.exception.refusal.run_state)

    async def test_retries_end_with_the_budget(self):
        site = fakes.Site(tuning=snapshot.Tuning(retry_share=0.0))
        engines = _engines(site)
        failure = fakes.failure(Kind.CONNECTION_LOST)
        self.fail_first(site, *[failure] * 99)
        reasons = []
        for _ in range(4):
            with self.assertRaises(refusals.Refused) as caught:
                await _text(engines, site.engine_work())
            reasons.append(caught.exception.refusal.reason)
        self.assertEqual(Reason.RETRY_BUDGET_SPENT, reasons[-1])
        self.assertEqual(3 + 4, len(site.calls()))

    async def test_a_version_withdrawn_meanwhile_gets_no_retry(self):
        site = fakes.Site()

        class Withdrawing(base.AttemptFailed):
            def __init__(self):
                super().__init__(Kind.SILENT, True)
                site.withdraw("v1")

        engines = _engines(site)
        for client in site.clients.values():
            client.script = [(2, None)]

            async def fail(call, client=client):
                client.calls.append(call)
                raise Withdrawing
                yield

            client.complete = fail
        with self.assertRaises(refusals.Refused) as caught:
            await _text(engines, site.engine_work())
        refusal = caught.exception.refusal
        self.assertEqual(Reason.VERSION_WITHDRAWN, refusal.reason)
        self.assertEqual(RunState.UNKNOWN, refusal.run_state)
        self.assertEqual(1, len(site.calls()))

    async def test_a_zone_out_gets_no_new_work_and_finishes_its_own(self):
        site = fakes.Site(concurrency=100)
        engines = _engines(site)
        gate = asyncio.Event()
        for client in site.clients.values():
            client.script = [(4, gate)] * 9
        tasks = [
            asyncio.create_task(_text(engines, site.engine_work()))
            for _ in range(9)
        ]
        while len(site.calls()) < 9:
            await asyncio.sleep(0)
        site.zone_out("z1")
        before = len(site.clients["s0"].calls)
        self.assertGreater(before, 0)
        for client in site.clients.values():
            client.script = []
        for _ in range(30):
            await _text(engines, site.engine_work())
        self.assertEqual(before, len(site.clients["s0"].calls))
        gate.set()
        self.assertEqual([FULL_ANSWER] * 9, await asyncio.gather(*tasks))

    async def test_a_leaving_server_gets_no_new_work(self):
        site = fakes.Site()
        site.leaving = frozenset([site.replica("s1").server.address])
        engines = _engines(site)
        for _ in range(30):
            await _text(engines, site.engine_work())
        self.assertEqual([], site.clients["s1"].calls)

    async def test_no_available_server_is_refused_as_not_run(self):
        site = fakes.Site()
        for zone in ("z1", "z2", "z3"):
            site.zone_out(zone)
        with self.assertRaises(refusals.Refused) as caught:
            await _text(_engines(site), site.engine_work())
        refusal = caught.exception.refusal
        self.assertEqual(Reason.NO_BACKEND_SERVER, refusal.reason)
        self.assertEqual(RunState.NOT_RUN, refusal.run_state)

    async def test_a_poisoned_request_crashes_two_servers_at_most(self):
        site = fakes.Site(count=5)
        crash = fakes.failure(Kind.CONNECTION_LOST, crashed=True)
        self.fail_first(site, *[crash] * 9)
        engines = _engines(site)
        for _ in range(3):
            with self.assertRaises(refusals.Refused) as caught:
                await _text(engines, site.engine_work("poison"))
        refusal = caught.exception.refusal
        self.assertEqual(Reason.QUARANTINED, refusal.reason)
        self.assertEqual(RunState.NOT_RUN, refusal.run_state)
        self.assertEqual(2, len(site.calls()))

    async def test_a_harmless_request_of_a_crash_is_answered_and_cleared(self):
        site = fakes.Site(count=3)
        crash = fakes.failure(Kind.CONNECTION_LOST, crashed=True)
        engines = _engines(site)
        for _ in range(5):
            self.fail_first(site, crash)
            await _text(engines, site.engine_work("innocent"))
        self.assertEqual(10, len(site.calls()))

    async def test_closing_the_stream_frees_the_replica(self):
        site = fakes.Site(count=1)
        stream = _engines(site).complete(site.engine_work())
        async with contextlib.aclosing(stream) as events:
            await anext(events)
            self.assertEqual(1, site.replica("s0").in_flight)
        self.assertEqual(0, site.replica("s0").in_flight)


class ServiceDispatcherTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.steps: list[str] = []

    def site(self, *script) -> fakes.Site:
        site = fakes.Site(service=fakes.SERVICE)
        shared = list(script)
        for client in site.clients.values():
            client.script = shared
        return site

    async def once(self, site: fakes.Site) -> base.ServiceAnswer:
        async def before_send(server: str, attempt_id: str) -> None:
            called = len(site.calls())
            self.steps.append(f"dispatched {attempt_id} {called}")

        async def on_unsent() -> None:
            self.steps.append("unsent")

        return await _services(site).call_once(
            site.service_work(), before_send, on_unsent
        )

    async def test_before_send_is_awaited_before_the_call_is_sent(self):
        site = self.site()
        await self.once(site)
        self.assertEqual(["dispatched r1.1 0"], self.steps)
        self.assertEqual(1, len(site.calls()))

    async def test_call_known_to_be_unsent_is_retried(self):
        for step in (
            fakes.failure(Kind.CONNECT_FAILED, sent=False),
            fakes.failure(Kind.NOT_RUN),
            fakes.failure(Kind.OVERLOADED),
        ):
            with self.subTest(step.kind):
                self.steps = []
                answer = await self.once(self.site(step))
                self.assertEqual(200, answer.status)
                self.assertEqual(
                    ["dispatched r1.1 0", "unsent", "dispatched r1.2 1"],
                    self.steps,
                )

    async def test_call_that_may_have_run_is_never_retried(self):
        for kind in (
            Kind.SILENT,
            Kind.CONNECTION_LOST,
            Kind.TRUNCATED,
            Kind.MISMATCHED,
            Kind.SERVER_ERROR,
            Kind.DEADLINE,
        ):
            with self.subTest(kind):
                self.steps = []
                site = self.site(fakes.failure(kind))
                with self.assertRaises(refusals.Refused) as caught:
                    await self.once(site)
                refusal = caught.exception.refusal
                self.assertEqual(RunState.UNKNOWN, refusal.run_state)
                self.assertEqual(1, len(site.calls()))
                self.assertNotIn("unsent", self.steps)

    async def test_a_failed_record_sends_nothing(self):
        site = self.site()

        async def before_send(server: str, attempt_id: str) -> None:
            raise ConnectionError("store down")

        async def on_unsent() -> None:
            self.fail("nothing was dispatched")

        with self.assertRaises(ConnectionError):
            await _services(site).call_once(
                site.service_work(), before_send, on_unsent
            )
        self.assertEqual([], site.calls())
        in_flight = [site.replica(f"s{n}").in_flight for n in range(3)]
        self.assertEqual([0, 0, 0], in_flight)

    async def test_an_idempotent_call_is_retried_at_another_server(self):
        site = self.site(fakes.failure(Kind.CONNECTION_LOST))
        answer = await _services(site).call(site.service_work())
        self.assertEqual(200, answer.status)
        self.assertEqual(2, len(site.calls()))

    async def test_a_slow_idempotent_call_is_hedged(self):
        site = self.site()
        services = _services(site)
        for _ in range(20):
            await services.call(site.service_work())
        never = asyncio.Event()
        site.clients["s0"].script = [never] * 9
        for _ in range(9):
            answer = await services.call(site.service_work())
            self.assertEqual(200, answer.status)
        hedged = site.metrics.value(
            "limpetwalk_retries_total", {"reason": "hedged"}
        )
        self.assertGreater(hedged, 0)
        for number in range(3):
            self.assertEqual(0, site.replica(f"s{number}").in_flight)
