"""Tests of plain services, runs of records and outcomes of keys."""

import asyncio
import unittest

import yarl

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import refusals
from limpetwalk.providers import memory
from limpetwalk.records import base as records
from limpetwalk.records import store
from limpetwalk_node import lifecycle
from limpetwalk_node.api import services
from limpetwalk_node.servers import server_outcomes

from . import fakes

PAYMENTS = "/services/registry/payments"


def make_refused(run, reason=refusals.Reason.BACKEND_SERVER_FAILED):
    return refusals.Refused(refusals.Refusal(reason, run, 502, "failed"))


class Base(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.table = memory.MemoryTable()
        self.records = self.open_records("node-1/1")
        self.node = fakes.FakeNode(self.records)
        await self.node.start()
        self.addAsyncCleanup(self.node.stop)

    def open_records(self, holder):
        return store.TableRecordStore(
            self.table,
            clocks.SystemClock(),
            holder,
            lambda name: True,
            lambda: 3600.0,
        )

    async def pay(self, key="k-1", body=b'{"amount": 5}', path=PAYMENTS):
        headers = {} if key is None else {"Idempotency-Key": key}
        async with self.node.http.post(
            path, data=body, headers=headers
        ) as resp:
            return resp, await resp.json()

    async def outcome(self, key):
        async with self.node.http.get(f"/outcomes/{key}") as resp:
            return resp.status, await resp.json()


class IdempotentRoute(Base):
    async def test_answer_is_returned_and_billed(self):
        async with self.node.http.get(
            "/services/registry/filings/7?full=1"
        ) as resp:
            self.assertEqual(201, resp.status)
            self.assertEqual({"ok": True}, await resp.json())
        (item,) = self.node.services.runs
        self.assertEqual("/filings/7?full=1", item.path)
        self.assertEqual(1, len(self.node.biller.entries))

    async def test_unknown_service_or_route_is_refused(self):
        cases = [
            ("/services/orders/x", "unknown_service"),
            ("/services/registry/other", "unknown_route"),
            ("/services/registry/filings/%2e%2e", "unknown_route"),
            ("/services/registry/filings/a%2Fb", "unknown_route"),
            ("/services/registry/filings", "unknown_route"),
            ("/services/registry", "unknown_route"),
        ]
        for path, reason in cases:
            with self.subTest(path=path):
                url = yarl.URL(f"{self.node.url}{path}", encoded=True)
                async with self.node.http.get(url) as resp:
                    body = await resp.json()
                self.assertEqual(reason, body["error"]["reason"])
        self.assertEqual([], self.node.services.runs)

    async def test_service_of_another_workspace_is_refused(self):
        async with self.node.http.get(
            "/services/registry/filings/7",
            headers={"Authorization": f"Bearer {fakes.OTHER_KEY}"},
        ) as resp:
            body = await resp.json()
        self.assertEqual("service_not_allowed", body["error"]["reason"])


class NonIdempotentRoute(Base):
    async def test_runs_once_and_replays_its_answer(self):
        first_resp, first = await self.pay()
        second_resp, second = await self.pay()
        self.assertEqual((201, 201), (first_resp.status, second_resp.status))
        self.assertEqual(first, second)
        self.assertNotIn("Idempotent-Replayed", first_resp.headers)
        self.assertEqual("true", second_resp.headers["Idempotent-Replayed"])
        self.assertEqual(1, len(self.node.services.runs))
        keys = {entry.request_key for entry in self.node.biller.entries}
        ids = {entry.request_id for entry in self.node.biller.entries}
        self.assertEqual(({"k-1"}, 1), (keys, len(ids)))
        # A replay writes its bill entry again, since the node that ran the
        # request may have been lost before it wrote the entry.
        self.assertEqual(2, len(self.node.biller.entries))

    async def test_late_replay_is_not_billed_again(self):
        # The ledger no longer has the keys of old entries, so that it would
        # bill a late replay a second time.
        await self.pay()
        self.node.clock.offset = 3600.0
        resp, _ = await self.pay()
        self.assertEqual("true", resp.headers["Idempotent-Replayed"])
        self.assertEqual(1, len(self.node.biller.entries))

    async def test_key_is_required(self):
        resp, body = await self.pay(key=None)
        self.assertEqual(400, resp.status)
        self.assertEqual("idempotency_key_missing", body["error"]["reason"])
        self.assertEqual([], self.node.services.runs)

    async def test_key_of_another_body_is_refused(self):
        await self.pay()
        resp, body = await self.pay(body=b'{"amount": 6}')
        self.assertEqual(422, resp.status)
        self.assertEqual("idempotency_key_reused", body["error"]["reason"])
        self.assertEqual(1, len(self.node.services.runs))

    async def test_retry_during_the_run_gets_its_answer(self):
        self.node.services.gate = asyncio.Event()
        first = asyncio.create_task(self.pay())
        await self.node.services.reached.wait()
        second = asyncio.create_task(self.pay())
        other_resp, _ = await self.pay(body=b"other")
        self.node.services.gate.set()
        (first_resp, _), (second_resp, _) = await asyncio.gather(first, second)
        self.assertEqual(
            (201, 201, 422), (first_resp.status, second_resp.status, 422)
        )
        self.assertEqual(422, other_resp.status)
        self.assertEqual(1, len(self.node.services.runs))

    async def test_run_goes_on_when_the_caller_leaves(self):
        self.node.services.gate = asyncio.Event()
        first = asyncio.create_task(self.pay())
        await self.node.services.reached.wait()
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        self.node.services.gate.set()
        self.assertTrue(await self.node.lifecycle.wait_idle(5))
        self.assertEqual(1, len(self.node.biller.entries))
        resp, _ = await self.pay()
        self.assertEqual("true", resp.headers["Idempotent-Replayed"])

    async def test_store_down_is_refused_before_anything_is_sent(self):
        self.table.faults.unavailable = True
        resp, body = await self.pay()
        self.assertEqual(503, resp.status)
        self.assertEqual("store_unavailable", body["error"]["reason"])
        self.assertEqual("unknown", body["error"]["run"])
        self.assertEqual([], self.node.services.runs)

    async def test_a_retry_of_a_run_is_never_reported_as_not_run(self):
        _, body = await self.pay()
        self.table.faults.unavailable = True
        resp, body = await self.pay()
        self.assertEqual("unknown", body["error"]["run"])
        self.table.faults.unavailable = False
        self.node.config.fresh = False
        resp, body = await self.pay()
        self.assertEqual("unknown", body["error"]["run"])
        self.node.config.fresh = True
        self.node.is_full = True
        resp, body = await self.pay()
        self.assertEqual("unknown", body["error"]["run"])
        self.node.is_full = False
        self.node.lifecycle.phase = lifecycle.Phase.DRAINING
        resp, body = await self.pay()
        self.assertEqual("unknown", body["error"]["run"])
        self.assertEqual(1, len(self.node.services.runs))

    async def test_answer_reaches_the_caller_when_it_cannot_be_stored(self):
        self.node.services.gate = asyncio.Event()
        first = asyncio.create_task(self.pay())
        await self.node.services.reached.wait()
        self.table.faults.unavailable = True
        self.node.services.gate.set()
        resp, _ = await first
        self.assertEqual(201, resp.status)
        self.assertEqual(
            1,
            self.node.metrics.value(
                "limpetwalk_record_notes_total", {"outcome": "delayed"}
            ),
        )
        self.table.faults.unavailable = False
        self.assertTrue(await self.node.lifecycle.wait_idle(5))
        resp, _ = await self.pay()
        self.assertEqual("true", resp.headers["Idempotent-Replayed"])
        self.assertEqual(1, len(self.node.services.runs))

    async def test_unknown_outcome_is_reported_and_not_retried(self):
        self.node.services.failure = make_refused(refusals.RunState.UNKNOWN)
        resp, body = await self.pay()
        self.assertEqual("outcome_unknown", body["error"]["reason"])
        self.assertEqual("unknown", body["error"]["run"])
        self.assertIn("/outcomes/k-1", body["error"]["message"])
        _, body = await self.pay()
        self.assertEqual("outcome_unknown", body["error"]["reason"])
        self.assertEqual(1, len(self.node.services.runs))
        self.assertEqual([], self.node.biller.entries)
        status, body = await self.outcome("k-1")
        self.assertEqual((200, "unknown"), (status, body["run"]))

    def store_answer(self):
        """Store the answer of the only run at the backend server."""
        (item,) = self.node.services.runs
        self.node.stored_answers[item.request_id] = (
            server_outcomes.StoredAnswer("registry", self.node.services.answer)
        )

    async def test_unknown_outcome_is_resolved_by_the_stored_answer(self):
        self.node.services.failure = make_refused(refusals.RunState.UNKNOWN)
        await self.pay()
        self.store_answer()
        status, body = await self.outcome("k-1")
        self.assertEqual((200, "answered"), (status, body["state"]))
        resp, _ = await self.pay()
        self.assertEqual(201, resp.status)
        self.assertEqual("true", resp.headers["Idempotent-Replayed"])
        self.assertEqual(1, len(self.node.services.runs))
        keys = {entry.request_key for entry in self.node.biller.entries}
        self.assertEqual({"k-1"}, keys)

    async def test_retry_after_an_unknown_outcome_asks_the_server(self):
        self.node.services.failure = make_refused(refusals.RunState.UNKNOWN)
        await self.pay()
        self.store_answer()
        resp, _ = await self.pay()
        self.assertEqual(201, resp.status)
        self.assertEqual(1, len(self.node.services.runs))

    async def test_answer_that_comes_after_the_record_was_closed(self):
        # Another node that considers this one lost closes its record as
        # unknown.
        self.node.services.gate = asyncio.Event()
        first = asyncio.create_task(self.pay())
        await self.node.services.reached.wait()
        record = await self.records.read("bercvar", "k-1")
        await self.records.finish(record, records.RecordState.UNKNOWN)
        self.node.services.gate.set()
        self.assertEqual(201, (await first)[0].status)
        _, outcome = await self.outcome("k-1")
        self.assertEqual("answered", outcome["state"])

    async def test_outcome_of_a_run_in_progress_is_not_changed(self):
        self.node.services.gate = asyncio.Event()
        first = asyncio.create_task(self.pay())
        await self.node.services.reached.wait()
        _, outcome = await self.outcome("k-1")
        self.assertEqual("dispatched", outcome["state"])
        self.assertEqual("unknown", outcome["run"])
        self.node.services.gate.set()
        self.assertEqual(201, (await first)[0].status)

    async def test_request_that_did_not_run_may_be_sent_again(self):
        self.node.services.failure = make_refused(refusals.RunState.NOT_RUN)
        _, body = await self.pay()
        self.assertEqual("not_run", body["error"]["run"])
        self.node.services.failure = None
        resp, _ = await self.pay()
        self.assertEqual(201, resp.status)

    async def test_record_of_a_lost_node_is_not_run_again(self):
        lost_records = self.open_records("node-2/1")
        ident = records.RecordIdent("bercvar", "k-1", self.digest())
        claim = await lost_records.claim(ident, "r-1")
        await lost_records.dispatch(claim.record, "a-1", "registry-1")
        self.node.lost_holders.add("node-2/1")
        _, body = await self.pay()
        self.assertEqual("outcome_unknown", body["error"]["reason"])
        self.assertEqual([], self.node.services.runs)

    async def test_record_of_another_live_node_is_in_progress(self):
        other = self.open_records("node-2/1")
        ident = records.RecordIdent("bercvar", "k-1", self.digest())
        await other.claim(ident, "r-1")
        resp, body = await self.pay()
        self.assertEqual(409, resp.status)
        self.assertEqual("request_in_progress", body["error"]["reason"])
        self.assertEqual("1", resp.headers["Retry-After"])

    def digest(self):
        return services.request_digest(
            "POST", "registry", "/payments", b'{"amount": 5}'
        )


class LostWriteAnswer(Base):
    async def test_dispatch_whose_write_answer_was_lost_is_undone(self):
        dispatch = self.records.dispatch

        async def write_unseen(record, attempt_id, server):
            await dispatch(record, attempt_id, server)
            raise exceptions.StoreUnavailable("lost")

        self.records.dispatch = write_unseen
        _, body = await self.pay()
        self.assertEqual("not_run", body["error"]["run"])
        self.assertEqual([], self.node.services.runs)
        del self.records.dispatch
        _, outcome = await self.outcome("k-1")
        self.assertEqual("not_run", outcome["state"])
        resp, _ = await self.pay()
        self.assertEqual(201, resp.status)

    async def test_request_that_never_ran_isnt_unknown_until_noted(self):
        """Guard against an unknown outcome of a request that wasn't sent.

        The next attempt once came before the store had taken the note that
        the first one had not run, and was refused for good.
        """
        dispatch, finish = self.records.dispatch, self.records.finish

        async def write_unseen(record, attempt_id, server):
            await dispatch(record, attempt_id, server)
            raise exceptions.StoreUnavailable("lost")

        async def refuse(record, state):
            raise exceptions.StoreUnavailable("refused")

        self.records.dispatch, self.records.finish = write_unseen, refuse
        _, body = await self.pay()
        self.assertEqual("not_run", body["error"]["run"])
        self.records.dispatch = dispatch
        resp, body = await self.pay()
        self.assertEqual(409, resp.status)
        self.assertEqual("request_in_progress", body["error"]["reason"])
        self.records.finish = finish
        async with asyncio.timeout(5):
            while resp.status == 409:
                resp, body = await self.pay()
        self.assertEqual(201, resp.status)
        self.assertEqual(1, len(self.node.services.runs))

    async def test_request_that_ends_unsent_meanwhile_may_be_sent_again(self):
        other = self.open_records("node-2/1")
        ident = records.RecordIdent(
            "bercvar",
            "k-1",
            services.request_digest(
                "POST", "registry", "/payments", b'{"amount": 5}'
            ),
        )
        claim = await other.claim(ident, "r-1")
        waiting = asyncio.create_task(self.pay())
        await asyncio.sleep(0.05)
        await other.finish(claim.record, records.RecordState.NOT_RUN)
        resp, body = await waiting
        self.assertEqual(409, resp.status)
        self.assertEqual("not_run", body["error"]["run"])
        resp, _ = await self.pay()
        self.assertEqual(201, resp.status)


class OutcomeOfKey(Base):
    async def test_answer_is_returned(self):
        await self.pay()
        status, body = await self.outcome("k-1")
        self.assertEqual((200, "answered"), (status, body["state"]))
        self.assertEqual(201, body["answer"]["status"])

    async def test_unknown_key(self):
        status, body = await self.outcome("k-2")
        self.assertEqual(404, status)
        self.assertEqual("unknown_outcome_key", body["error"]["reason"])

    async def test_key_of_another_workspace_is_unknown(self):
        await self.pay()
        async with self.node.http.get(
            "/outcomes/k-1",
            headers={"Authorization": f"Bearer {fakes.OTHER_KEY}"},
        ) as resp:
            self.assertEqual(404, resp.status)
