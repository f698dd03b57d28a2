"""Tests of the node program with real processes on loopback."""

import asyncio
import json
import signal
import subprocess
import sys
import unittest

import aiohttp

from . import processes

CHAT = "/v1/chat/completions"


def chat(model="assistant", **changes):
    body = {
        "model": model,
        "messages": [{"role": "user", "content": "which rule applies here?"}],
        "max_tokens": 8,
    }
    return {**body, **changes}


def setUpModule():
    global SITE
    SITE = processes.Site()


def tearDownModule():
    SITE.close()


class Base(unittest.IsolatedAsyncioTestCase):
    def start(self, **shutdown):
        node = SITE.start_node(**shutdown)
        self.addCleanup(node.stop)
        return node

    async def asyncSetUp(self):
        self.node = await asyncio.to_thread(self.start)
        self.http = aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {processes.KEY}"},
            timeout=aiohttp.ClientTimeout(processes.TIMEOUT),
        )
        self.addAsyncCleanup(self.http.close)
        await self.await_status("/ready", 200)

    async def await_status(self, path, status):
        """Poll the operators' interface until a path returns a status."""
        async with asyncio.timeout(processes.TIMEOUT):
            while True:
                async with self.http.get(self.node.operators + path) as resp:
                    if resp.status == status:
                        return await resp.read()
                await asyncio.sleep(0.02)

    async def ask(self, body, path=CHAT, **headers):
        async with self.http.post(
            self.node.url + path, json=body, headers=headers
        ) as resp:
            return resp, await resp.json()


class Serving(Base):
    async def test_requests_of_each_kind(self):
        resp, body = await self.ask(chat())
        self.assertEqual(200, resp.status)
        self.assertEqual(["small:v1"], body["limpetwalk"]["steps"])
        self.assertEqual(8, body["usage"]["completion_tokens"])
        await self.check_escalation()
        await self.check_denied_model()
        await self.check_session()
        await self.check_service()
        await self.check_bills()

    async def check_escalation(self):
        hard = {"request_class": "hard"}
        _, body = await self.ask(chat(metadata=hard))
        self.assertEqual(["small:v1", "large:v1"], body["limpetwalk"]["steps"])

    async def check_denied_model(self):
        resp, body = await self.ask(
            chat("strong"), Authorization=f"Bearer {processes.OTHER_KEY}"
        )
        self.assertEqual(403, resp.status)
        self.assertEqual("model_not_allowed", body["error"]["reason"])

    async def check_session(self):
        _, session = await self.ask({}, "/v1/sessions")
        rollout = {
            "model": "small",
            "base": "v1",
            "candidate": "v2",
            "share": 1.0,
            "state": "running",
            "guard": "sequential",
        }
        await asyncio.to_thread(SITE.apply, rollouts={"r": rollout})
        await self.await_generation(SITE.generation)
        _, unpinned = await self.ask(chat())
        self.assertEqual("v2", unpinned["limpetwalk"]["version"])
        token = {"X-Session": session["token"]}
        _, pinned = await self.ask(chat(), **token)
        self.assertEqual("v1", pinned["limpetwalk"]["version"])

    async def await_generation(self, generation):
        async with asyncio.timeout(processes.TIMEOUT):
            while True:
                status = json.loads(await self.await_status("/status", 200))
                if status["generation"] == generation:
                    return
                await asyncio.sleep(0.05)

    async def check_service(self):
        body = {"reference": "pay-1", "amount": 5}
        path = "/services/registry/payments"
        key = {"Idempotency-Key": "pay-1"}
        first_resp, first = await self.ask(body, path, **key)
        second_resp, second = await self.ask(body, path, **key)
        self.assertEqual((200, 200), (first_resp.status, second_resp.status))
        self.assertEqual(first, second)
        self.assertEqual("true", second_resp.headers["Idempotent-Replayed"])
        url = f"http://127.0.0.1:{SITE.service_ports['control']}/_runs"
        async with self.http.get(url) as resp:
            self.assertEqual(1, len((await resp.json())["runs"]))

    async def check_bills(self):
        entries = await asyncio.to_thread(SITE.bill_entries)
        subjects = sorted(
            entry.subject for entry in entries if entry.subject != "orders"
        )
        self.assertEqual(["assistant"] * 4 + ["registry"], subjects)


class LostNode(Base):
    """A node is killed after it sent a request and before it has the answer.

    The request must not be run a second time by another node.
    """

    PATH = "/services/orders/payments"
    BODY = {"reference": "lost-1", "amount": 7}
    KEY = {"Idempotency-Key": "lost-1"}

    async def runs(self):
        url = f"http://127.0.0.1:{SITE.slow_ports['control']}/_runs"
        async with self.http.get(url) as resp:
            return (await resp.json())["runs"]

    async def lose_node(self):
        """Kill a node while the service runs a request for it."""
        lost_node = await asyncio.to_thread(super().start)
        async with asyncio.timeout(processes.TIMEOUT):
            first = asyncio.create_task(self.send_until_run(lost_node))
            while not await self.runs():
                await asyncio.sleep(0.02)
        lost_node.popen.kill()
        await asyncio.gather(first, return_exceptions=True)

    async def send_until_run(self, node):
        while True:
            async with self.http.post(
                node.url + self.PATH, json=self.BODY, headers=self.KEY
            ) as resp:
                if resp.status != 503:
                    return
            await asyncio.sleep(0.02)

    async def test_request_is_not_run_again(self):
        await self.lose_node()
        resp, body = await self.ask(self.BODY, self.PATH, **self.KEY)
        if resp.status != 200:
            self.assertEqual("outcome_unknown", body["error"]["reason"])
            self.assertEqual("unknown", body["error"]["run"])
        async with asyncio.timeout(processes.TIMEOUT):
            while (await self.outcome())["state"] != "answered":
                await asyncio.sleep(0.1)
        resp, _ = await self.ask(self.BODY, self.PATH, **self.KEY)
        self.assertEqual(200, resp.status)
        self.assertEqual("true", resp.headers["Idempotent-Replayed"])
        self.assertEqual(1, len(await self.runs()))
        entries = await asyncio.to_thread(SITE.bill_entries)
        billed = [entry for entry in entries if entry.request_key == "lost-1"]
        self.assertEqual(1, len(billed))

    async def outcome(self):
        async with self.http.get(f"{self.node.url}/outcomes/lost-1") as resp:
            return await resp.json()


class PausedNode(Base):
    """A node is paused while a service runs a request for it.

    The request must not be run a second time by another node, nor by the
    paused one when it continues.
    """

    PATH = "/services/orders/payments"
    BODY = {"reference": "paused-1", "amount": 7}
    KEY = {"Idempotency-Key": "paused-1"}

    async def runs(self):
        url = f"http://127.0.0.1:{SITE.slow_ports['control']}/_runs"
        async with self.http.get(url) as resp:
            log = await resp.json()
        return [run for run in log["runs"] if run["key"] == "paused-1"]

    async def send(self, node, answers):
        """Retry the request until it is answered or its outcome is unknown.

        :param answers: list to which each status and body is added.
        """
        while True:
            async with self.http.post(
                node.url + self.PATH, json=self.BODY, headers=self.KEY
            ) as resp:
                answers.append((resp.status, await resp.text()))
                if resp.status not in (409, 503):
                    return resp.status
            await asyncio.sleep(0.05)

    async def test_request_is_not_run_again(self):
        answers = []
        paused = await asyncio.to_thread(SITE.start_node, "node-paused")
        try:
            async with asyncio.timeout(processes.TIMEOUT):
                first = asyncio.create_task(self.send(paused, answers))
                while not await self.runs():
                    if first.done() and not await self.runs():
                        self.fail("the request ended before it was run")
                    await asyncio.sleep(0.02)
                paused.popen.send_signal(signal.SIGSTOP)
                # By the time the other node responds to the retries, the
                # service has sent its answer to the paused node, which
                # hasn't read it.
                second = await self.send(self.node, answers)
                self.assertIn(second, (200, 502))
                paused.popen.send_signal(signal.SIGCONT)
                self.assertIn(await first, (200, 502))
                while (await self.outcome())["state"] != "answered":
                    await asyncio.sleep(0.1)
        except (AssertionError, TimeoutError) as exc:
            log = await asyncio.to_thread(paused.log)
            raise AssertionError(f"answers: {answers}; log: {log}") from exc
        finally:
            await asyncio.to_thread(paused.stop)
        self.assertEqual(200, await self.send(self.node, answers))
        self.assertEqual(1, len(await self.runs()))
        entries = await asyncio.to_thread(SITE.bill_entries)
        billed = [
            entry for entry in entries if entry.request_key == "paused-1"
        ]
        self.assertEqual(1, len(billed))

    async def outcome(self):
        url = f"{self.node.url}/outcomes/paused-1"
        async with self.http.get(url) as resp:
            return await resp.json()


class Stopping(Base):
    def terminate(self):
        self.node.popen.send_signal(signal.SIGTERM)

    async def read_stream(self, resp):
        return (await resp.read()).decode()

    def start(self):
        # Long enough to observe each phase on a busy machine.
        return super().start(balancer_wait=1.0)

    async def test_streams_in_flight_are_finished(self):
        async with self.http.post(
            self.node.url + CHAT,
            json=chat("strong", stream=True, max_tokens=400),
        ) as resp:
            await resp.content.readline()
            self.terminate()
            await self.await_status("/ready", 503)
            self.terminate()
            late_resp, body = await self.ask(chat("strong"))
            if late_resp.status != 200:
                self.assertEqual("shutting_down", body["error"]["reason"])
                self.assertEqual("not_run", body["error"]["run"])
                self.assertEqual("close", late_resp.headers["Connection"])
            text = await self.read_stream(resp)
        self.assertIn("data: [DONE]", text)
        self.assertEqual(0, await asyncio.to_thread(self.node.wait))
        self.assertIn(
            "0 requests unfinished, 0 bill entries unflushed", self.node.log()
        )

    async def test_stops_while_the_store_is_down(self):
        SITE.control({"service": "table", "faults": {"down": True}})
        self.addCleanup(
            SITE.control, {"service": "table", "faults": {"down": False}}
        )
        self.terminate()
        self.assertEqual(0, await asyncio.to_thread(self.node.wait))


class Settings(unittest.TestCase):
    def run_with(self, text):
        path = SITE.folder / "bad.yaml"
        path.write_text(text, "utf-8")
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "limpetwalk_node.main",
                f"--settings={path}",
            ],
            capture_output=True,
            text=True,
            timeout=processes.TIMEOUT,
        )

    def test_findings_are_reported_together(self):
        process = self.run_with("name: ''\nextra: 1\ncallers: {host: x}\n")
        self.assertEqual(1, process.returncode)
        for location in ("name:", "extra:", "callers.host:", "platform:"):
            self.assertIn(f"bad.yaml: {location}", process.stderr)
        self.assertNotIn("Traceback", process.stderr)

    def test_invalid_yaml(self):
        process = self.run_with("name: [")
        self.assertEqual(1, process.returncode)
        self.assertNotIn("Traceback", process.stderr)
