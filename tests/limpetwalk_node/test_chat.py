import asyncio
import json
import unittest
from unittest import mock

from limpetwalk import refusals
from limpetwalk.conf import snapshot
from limpetwalk_node import caller_writes

from . import fakes

CHAT = "/v1/chat/completions"


def question(**changes):
    body = {
        "model": "assistant",
        "messages": [{"role": "user", "content": "what is the rule?"}],
    }
    return {**body, **changes}


async def read_events(resp):
    """Return the data of each event of a complete stream."""
    text = (await resp.read()).decode()
    return [part.removeprefix("data: ") for part in text.split("\n\n") if part]


class CompleteAnswer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.node = fakes.FakeNode(None)
        await self.node.start()
        self.addAsyncCleanup(self.node.stop)

    async def ask(self, body=None, headers=None):
        async with self.node.http.post(
            CHAT, json=body or question(), headers=headers
        ) as resp:
            return resp.status, await resp.json()

    async def test_cheap_answer_that_meets_the_target_is_released(self):
        status, body = await self.ask()
        self.assertEqual(200, status)
        choice = body["choices"][0]
        self.assertEqual("cheap words", choice["message"]["content"])
        self.assertEqual("stop", choice["finish_reason"])
        self.assertEqual(["small:v1"], body["limpetwalk"]["steps"])
        self.assertEqual(12, body["usage"]["total_tokens"])

    async def test_escalates_when_the_rating_misses_the_target(self):
        self.node.ratings.scores["small"] = 0.1
        _, body = await self.ask()
        self.assertEqual("strong", body["choices"][0]["message"]["content"])
        self.assertEqual(["small:v1", "large:v1"], body["limpetwalk"]["steps"])

    async def test_a_cascade_is_billed_once_at_the_released_price(self):
        self.node.ratings.scores["small"] = 0.1
        _, body = await self.ask()
        (entry,) = self.node.biller.entries
        self.assertEqual(body["id"], f"chatcmpl-{entry.request_id}")
        self.assertEqual(entry.request_id, entry.request_key)
        self.assertEqual(("small:v1", "large:v1"), entry.steps)
        self.assertEqual(12, entry.cost)

    async def test_unknown_fields_go_to_the_engine(self):
        await self.ask(question(temperature=0.1, seed=3))
        (item,) = self.node.engines.work_items
        self.assertEqual(0.1, item.body["temperature"])

    async def test_withdrawal_between_two_steps_takes_effect(self):
        self.node.ratings.scores["small"] = 0.1
        rate = self.node.ratings.rate

        async def withdraw(req, timeout):
            self.node.config.change(workspaces={})
            return await rate(req, timeout)

        self.node.ratings.rate = withdraw
        status, body = await self.ask()
        self.assertEqual(401, status)
        self.assertEqual("run", body["error"]["run"])
        self.assertEqual([], self.node.biller.entries)

    async def test_refusal_after_a_step_that_ran_reports_the_run(self):
        self.node.ratings.scores["small"] = 0.1
        complete = self.node.engines.complete

        def fail_large(item):
            if item.target.model == "large":
                self.node.engines.failure = refusals.Refused(
                    refusals.Refusal(
                        refusals.Reason.NO_BACKEND_SERVER,
                        refusals.RunState.NOT_RUN,
                        503,
                        "none",
                    )
                )
            return complete(item)

        self.node.engines.complete = fail_large
        status, body = await self.ask()
        self.assertEqual(503, status)
        self.assertEqual("run", body["error"]["run"])


class SlowReader(unittest.IsolatedAsyncioTestCase):
    """A caller reads a large complete answer slowly, or not at all."""

    async def asyncSetUp(self):
        self.node = fakes.FakeNode(None)
        await self.node.start()
        self.addAsyncCleanup(self.node.stop)
        self.node.engines.answers["large"] = ["x" * 1_000_000] * 30

    async def connect(self):
        body = json.dumps(question(model="strong")).encode()
        head = (
            f"POST {CHAT} HTTP/1.1\r\nHost: node\r\n"
            f"Authorization: Bearer {fakes.KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.node.port, limit=1024
        )
        self.addCleanup(writer.close)
        writer.write(head.encode() + body)
        return reader

    async def test_request_is_in_flight_until_the_caller_has_read_all(self):
        reader = await self.connect()
        async with asyncio.timeout(10):
            await self.node.biller.billed.wait()
        self.assertFalse(await self.node.lifecycle.wait_idle(0.2))
        size = 0
        async with asyncio.timeout(10):
            while size < 30_000_000:
                size += len(await reader.read(1 << 20))
        self.assertTrue(await self.node.lifecycle.wait_idle(5))

    async def test_caller_that_reads_nothing_is_disconnected(self):
        with mock.patch.object(caller_writes, "WRITE_TIMEOUT", 0.05):
            await self.connect()
            async with asyncio.timeout(10):
                await self.node.biller.billed.wait()
                self.assertTrue(await self.node.lifecycle.wait_idle(5))
        disconnects = self.node.metrics.value("limpetwalk_callers_left_total")
        self.assertEqual(1, disconnects)


class StreamedAnswer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.node = fakes.FakeNode(None)
        await self.node.start()
        self.addAsyncCleanup(self.node.stop)

    def ask(self, **changes):
        return self.node.http.post(CHAT, json=question(stream=True, **changes))

    async def test_complete_stream_ends_with_done(self):
        async with self.ask(
            model="strong", stream_options={"include_usage": True}
        ) as resp:
            events = await read_events(resp)
        self.assertEqual("[DONE]", events[-1])
        chunks = [json.loads(event) for event in events[:-1]]
        text = "".join(
            chunk["choices"][0]["delta"].get("content", "")
            for chunk in chunks
            if chunk["choices"]
        )
        self.assertEqual("strong", text)
        self.assertEqual(11, chunks[-1]["usage"]["total_tokens"])
        self.assertEqual(1, len(self.node.biller.entries))

    async def test_failure_in_a_stream_is_a_typed_event_without_done(self):
        self.node.engines.answers["large"] = ["one", "two"]
        self.node.engines.fail_after = 1
        self.node.engines.failure = refusals.Refused(
            refusals.Refusal(
                refusals.Reason.BACKEND_SERVER_FAILED,
                refusals.RunState.RUN,
                502,
                "cut",
            )
        )
        async with self.ask(model="strong") as resp:
            self.assertEqual(200, resp.status)
            events = await read_events(resp)
        self.assertNotIn("[DONE]", events)
        error = json.loads(events[-1])["error"]
        self.assertEqual("backend_server_failed", error["reason"])
        self.assertEqual([], self.node.biller.entries)
        self.assertEqual(
            1, self.node.refusal_count("backend_server_failed", "run")
        )

    async def test_refusal_before_the_first_token_has_its_status(self):
        self.node.engines.failure = refusals.Refused(
            refusals.Refusal(
                refusals.Reason.QUEUE_FULL,
                refusals.RunState.NOT_RUN,
                503,
                "full",
                retry_after=2.0,
            )
        )
        async with self.ask(model="strong") as resp:
            self.assertEqual(503, resp.status)
            self.assertEqual("2", resp.headers["Retry-After"])

    async def test_work_is_cancelled_when_the_caller_leaves(self):
        self.node.engines.gate = asyncio.Event()
        async with self.ask(model="strong") as resp:
            await self.node.engines.reached.wait()
            resp.close()
        async with asyncio.timeout(5):
            await self.node.engines.cancelled.wait()
            self.assertTrue(await self.node.lifecycle.wait_idle(5))
        self.assertEqual([], self.node.biller.entries)
        self.assertEqual(
            1, self.node.metrics.value("limpetwalk_callers_left_total")
        )

    async def test_caller_that_reads_nothing_is_disconnected(self):
        self.node.engines.answers["large"] = ["x" * 100_000] * 200
        body = json.dumps(question(model="strong", stream=True)).encode()
        head = (
            f"POST {CHAT} HTTP/1.1\r\nHost: node\r\n"
            f"Authorization: Bearer {fakes.KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with mock.patch.object(caller_writes, "WRITE_TIMEOUT", 0.05):
            _, writer = await asyncio.open_connection(
                "127.0.0.1", self.node.port, limit=1024
            )
            writer.write(head.encode() + body)
            async with asyncio.timeout(10):
                await self.node.engines.cancelled.wait()
                self.assertTrue(await self.node.lifecycle.wait_idle(5))
            writer.close()
        self.assertEqual([], self.node.biller.entries)


class Session(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.node = fakes.FakeNode(None)
        await self.node.start()
        self.addAsyncCleanup(self.node.stop)

    async def post(self, path, body, **headers):
        async with self.node.http.post(
            path, json=body, headers=headers
        ) as resp:
            return resp, await resp.json()

    def set_default_version(self, version="v2"):
        models = dict(self.node.config.applied.snapshot.models)
        small = models["small"]
        models["small"] = snapshot.Model(
            "small", small.versions, version, 100, 200
        )
        self.node.config.change(models=models)

    def withdraw(self, version):
        versions = self.node.config.applied.snapshot.models["small"].versions
        versions[version] = snapshot.VersionState.WITHDRAWN

    async def test_version_stays_when_the_default_changes(self):
        _, opened = await self.post("/v1/sessions", {"model": "assistant"})
        self.assertEqual({"small": "v1", "large": "v1"}, opened["versions"])
        self.set_default_version()
        token = {"X-Session": opened["token"]}
        resp, body = await self.post(CHAT, question(), **token)
        self.assertEqual("small:v1", resp.headers["X-Model-Version"])
        self.assertNotIn("X-Session", resp.headers)
        _, body = await self.post(CHAT, question())
        self.assertEqual("v2", body["limpetwalk"]["version"])

    async def test_answer_without_a_session_opens_one(self):
        resp, _ = await self.post(CHAT, question())
        self.set_default_version()
        token = {"X-Session": resp.headers["X-Session"]}
        _, body = await self.post(CHAT, question(), **token)
        self.assertEqual("v1", body["limpetwalk"]["version"])

    async def test_withdrawn_version_is_refused_and_runs_nothing(self):
        _, opened = await self.post("/v1/sessions", {})
        self.set_default_version()
        self.withdraw("v1")
        token = {"X-Session": opened["token"]}
        resp, body = await self.post(CHAT, question(), **token)
        self.assertEqual(409, resp.status)
        self.assertEqual("version_withdrawn", body["error"]["reason"])
        self.assertEqual("not_run", body["error"]["run"])
        self.assertIn("/v1/sessions", body["error"]["message"])
        self.assertEqual([], self.node.engines.work_items)

    async def test_token_of_another_workspace(self):
        _, opened = await self.post("/v1/sessions", {})
        _, body = await self.post(
            CHAT,
            question(),
            **{
                "X-Session": opened["token"],
                "Authorization": f"Bearer {fakes.OTHER_KEY}",
            },
        )
        self.assertEqual("unknown_session", body["error"]["reason"])

    async def test_models_of_the_workspace(self):
        async with self.node.http.get(
            "/v1/models",
            headers={"Authorization": f"Bearer {fakes.OTHER_KEY}"},
        ) as resp:
            body = await resp.json()
        # The other workspace may not use any model of the second cascade.
        self.assertEqual(["assistant"], [m["id"] for m in body["data"]])
