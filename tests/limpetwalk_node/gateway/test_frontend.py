"""Tests of requests through a complete gateway, with simulated servers."""

import asyncio

from aiohttp import web
import multidict

from limpetwalk_bench.hub import site
from limpetwalk_bench.site import ports

from . import harness


class PlainCall(harness.GatewayCase):
    """Calls of a plain service that must not be retried."""

    async def test_answer_is_forwarded_unchanged_with_the_seal(self) -> None:
        async with self.run_.request(
            "POST", "/once/x%2Fy?q=1", data=b"body"
        ) as resp:
            self.assertEqual(200, resp.status)
            self.assertEqual("seal-p-1", resp.headers["Server-Seal"])
            self.assertEqual(b"done body", await resp.read())
        received = self.server("p-1").executed[0]
        self.assertEqual("/once/x%2Fy?q=1", received.path)
        self.assertEqual(b"body", received.body)

    async def test_server_learns_workspace_and_deadline_not_the_key(
        self,
    ) -> None:
        forged = {"Tenant": "other", "Hold": "x", "Kv-From": "1.2.3.4:1/x"}
        async with self.run_.request("POST", "/once/x", headers=forged):
            pass
        headers = self.server("p-1").executed[0].headers
        self.assertEqual(site.WORKSPACE, headers["Tenant"])
        self.assertLessEqual(int(headers["Deadline-Ms"]), 2000)
        for name in ("Authorization", "Hold", "Kv-From"):
            self.assertNotIn(name, headers)

    async def test_request_is_not_retried_after_a_reset(self) -> None:
        async def reset(req: web.Request) -> web.StreamResponse:
            assert req.transport is not None
            req.transport.abort()
            raise asyncio.CancelledError

        self.server("p-1").behaviour = reset
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(502, resp.status)
        self.assertEqual(1, len(self.server("p-1").executed))

    async def test_request_that_was_not_run_is_refused_with_retry_after(
        self,
    ) -> None:
        async def full(req: web.Request) -> web.StreamResponse:
            return web.Response(status=503, headers={"Not-Executed": "1"})

        self.server("p-1").behaviour = full
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(503, resp.status)
            self.assertIn("Retry-After", resp.headers)

    async def test_unproven_refusal_of_a_server_is_not_passed_on(self) -> None:
        async def busy(req: web.Request) -> web.StreamResponse:
            headers = self.server("p-1").answer_headers(req)
            return web.Response(status=503, headers=headers)

        self.server("p-1").behaviour = busy
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(502, resp.status)
            self.assertNotIn("Server-Seal", resp.headers)

    async def test_failure_of_a_server_keeps_status_and_seal(self) -> None:
        async def fail(req: web.Request) -> web.StreamResponse:
            headers = self.server("p-1").answer_headers(req)
            return web.Response(status=500, headers=headers, body=b"no")

        self.server("p-1").behaviour = fail
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(500, resp.status)
            self.assertEqual("seal-p-1", resp.headers["Server-Seal"])
            self.assertEqual(b"no", await resp.read())

    async def test_silent_server_is_abandoned_at_the_deadline(self) -> None:
        async def hang(req: web.Request) -> web.StreamResponse:
            await asyncio.sleep(30)
            raise AssertionError

        self.server("p-1").behaviour = hang
        async with self.run_.request(
            "POST", "/once/x", headers={"Deadline-Ms": "300"}
        ) as resp:
            self.assertEqual(504, resp.status)

    async def test_truncated_answer_is_not_passed_on_as_complete(self) -> None:
        async def cut(req: web.Request) -> web.StreamResponse:
            headers = self.server("p-1").answer_headers(req)
            resp = web.StreamResponse(headers=headers)
            resp.content_length = 100
            await resp.prepare(req)
            await resp.write(b"half")
            assert req.transport is not None
            req.transport.close()
            return resp

        self.server("p-1").behaviour = cut
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(502, resp.status)

    async def test_answer_to_another_request_is_not_passed_on(self) -> None:
        async def crossed(req: web.Request) -> web.StreamResponse:
            headers = {
                **self.server("p-1").answer_headers(req),
                "Attempt-Id": "b-9",
            }
            return web.Response(headers=headers, body=b"not yours")

        self.server("p-1").behaviour = crossed
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(502, resp.status)


class Admission(harness.GatewayCase):
    """Admission of requests by the cluster state."""

    async def test_unknown_route(self) -> None:
        async with self.run_.request("GET", "/nowhere/x") as resp:
            self.assertEqual(404, resp.status)

    async def test_unknown_key(self) -> None:
        headers = {"Authorization": "Token wrong"}
        async with self.run_.request(
            "POST", "/once/x", headers=headers
        ) as resp:
            self.assertEqual(401, resp.status)

    async def test_caller_that_is_refused_before_its_body_gets_the_answer(
        self,
    ) -> None:
        host, port = self.run_.gateway.addresses["callers"]
        reader, writer = await asyncio.open_connection(host, port)
        self.addCleanup(writer.close)
        body = b"x" * 90_000
        fields = {
            **site.request_headers("a-9", 2000),
            "Content-Length": str(len(body)),
        }
        head = "".join(f"{name}: {text}\r\n" for name, text in fields.items())
        for path, status in (("nowhere", b"404"), ("once", b"200")):
            writer.write(f"POST /{path}/x HTTP/1.1\r\n{head}\r\n".encode())
            for start in range(0, len(body), 10_000):
                writer.write(body[start : start + 10_000])
                await asyncio.sleep(0.01)
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            self.assertEqual(status, answer.split()[1])
            length = answer.lower().split(b"content-length: ")[1]
            await reader.readexactly(int(length.split(b"\r\n")[0]))

    async def test_body_over_the_limit(self) -> None:
        async with self.run_.request(
            "POST", "/once/x", data=b"x" * 100_001
        ) as resp:
            self.assertEqual(413, resp.status)
        self.assertEqual([], self.server("p-1").received)

    async def test_new_configuration_revokes_a_key(self) -> None:
        await self.run_.site.store.put(
            "op",
            "config",
            site.config_row(
                version=5, tenants=[{"name": "other", "api_keys": ["other"]}]
            ),
        )
        state = self.run_.gateway.cluster_state
        await self.run_.until(lambda: state.catalog.version == 5)
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(401, resp.status)

    async def test_no_request_runs_once_the_last_key_is_taken_away(
        self,
    ) -> None:
        for version, tenants in (
            (5, [{"name": site.WORKSPACE, "api_keys": []}]),
            (6, []),
        ):
            await self.run_.site.store.put(
                "op", "config", site.config_row(version, tenants=tenants)
            )
            state = self.run_.gateway.cluster_state
            await self.run_.until(
                lambda version=version: state.catalog.version == version
            )
            for key in (f"Token {site.API_KEY}", "Token never held", None):
                with self.subTest(version=version, key=key):
                    async with self.run_.request(
                        "GET", "/again/x", headers={"Authorization": key}
                    ) as resp:
                        self.assertEqual(401, resp.status)
        self.assertEqual([], self.server("p-1").received)

    async def test_first_of_two_keys_decides_and_neither_is_passed_on(
        self,
    ) -> None:
        held, strange = f"Token {site.API_KEY}", "Token strange"
        for keys, status in (((held, strange), 200), ((strange, held), 401)):
            headers = multidict.CIMultiDict(site.request_headers("a-1", 2000))
            headers.popall("Authorization")
            for key in keys:
                headers.add("Authorization", key)
            async with self.run_.client.post(
                self.run_.url("/once/x"), headers=headers
            ) as resp:
                self.assertEqual(status, resp.status, keys)
        (request,) = self.server("p-1").received
        self.assertNotIn("Authorization", request.headers)
        self.assertEqual(site.WORKSPACE, request.headers["Tenant"])

    async def test_request_does_not_run_if_its_key_goes_before_its_body_ends(
        self,
    ) -> None:
        host, port = self.run_.gateway.addresses["callers"]
        reader, writer = await asyncio.open_connection(host, port)
        self.addCleanup(writer.close)
        fields = {**site.request_headers("a-9", 2000), "Content-Length": "8"}
        head = "".join(f"{name}: {text}\r\n" for name, text in fields.items())
        writer.write(f"POST /once/x HTTP/1.1\r\n{head}\r\nhalf".encode())
        frontend = self.run_.gateway.frontend
        await self.run_.until(lambda: frontend.open_requests == 1)
        await self.run_.site.store.put(
            "op",
            "config",
            site.config_row(
                5, tenants=[{"name": site.WORKSPACE, "api_keys": []}]
            ),
        )
        state = self.run_.gateway.cluster_state
        await self.run_.until(lambda: state.catalog.version == 5)
        writer.write(b"rest")
        answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
        self.assertEqual(b"401", answer.split()[1])
        self.assertEqual([], self.server("p-1").received)

    async def test_log_tells_an_empty_list_of_workspaces_from_a_missing_one(
        self,
    ) -> None:
        without = site.config_row(6)
        del without["tenants"]
        for version, row in (
            (5, site.config_row(5, tenants=[])),
            (6, without),
            (7, site.config_row(7)),
        ):
            await self.run_.site.store.put("op", "config", row)
            state = self.run_.gateway.cluster_state
            await self.run_.until(
                lambda version=version: state.catalog.version == version
            )
        self.assertEqual(
            [(True, 1, 1), (True, 0, 0), (False, 0, 0), (True, 1, 1)],
            [
                (line["keys_required"], line["workspaces"], line["keys"])
                for line in self.run_.lines.events("config.applied")
            ],
        )

    async def test_site_without_tenants_asks_for_no_key(self) -> None:
        row = site.config_row(5)
        del row["tenants"]
        await self.run_.site.store.put("op", "config", row)
        state = self.run_.gateway.cluster_state
        await self.run_.until(lambda: state.catalog.version == 5)
        async with self.run_.request(
            "GET", "/again/x", headers={"Authorization": None}
        ) as resp:
            self.assertEqual(200, resp.status)

    async def test_older_configuration_is_ignored(self) -> None:
        await self.run_.site.store.put(
            "op", "config", site.config_row(version=7)
        )
        state = self.run_.gateway.cluster_state
        await self.run_.until(lambda: state.catalog.version == 7)
        await self.run_.site.store.put(
            "op", "config", site.config_row(version=3)
        )
        await self.run_.until(lambda: self.run_.lines.events("config.ignored"))
        self.assertEqual(7, state.catalog.version)

    async def test_leaving_server_gets_no_new_requests(self) -> None:
        await self.run_.site.store.put(
            "servers",
            "p-1",
            site.server_row(
                site.PLAIN, self.run_.site.ports["p-1"], state="draining"
            ),
        )
        fleet = self.run_.gateway.cluster_state.fleet
        await self.run_.until(lambda: fleet.get("p-1").entry.leaving)
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(503, resp.status)
        self.assertEqual([], self.server("p-1").received)

    async def test_evacuated_zone_gets_no_new_requests(self) -> None:
        await self.run_.site.store.put("op", "evacuate/zone-a", {})
        fleet = self.run_.gateway.cluster_state.fleet
        await self.run_.until(lambda: fleet.evacuated)
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(503, resp.status)
        await self.run_.site.store.remove("op", "evacuate/zone-a")
        await self.run_.until(lambda: not fleet.evacuated)
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(200, resp.status)


class Retry(harness.GatewayCase):
    """Calls that may be retried."""

    services = {"e-1": site.ENGINE, "p-1": site.PLAIN, "p-2": site.PLAIN}

    async def test_reset_call_is_answered_by_another_server(self) -> None:
        async def reset(req: web.Request) -> web.StreamResponse:
            assert req.transport is not None
            req.transport.abort()
            raise asyncio.CancelledError

        self.server("p-1").behaviour = reset
        for _ in range(6):
            async with self.run_.request("GET", "/again/x") as resp:
                self.assertEqual(200, resp.status)
                self.assertEqual("seal-p-2", resp.headers["Server-Seal"])

    async def test_server_that_is_down_costs_no_attempt(self) -> None:
        await self.run_.site.store.put(
            "servers", "p-0", site.server_row(site.PLAIN, 9)
        )
        fleet = self.run_.gateway.cluster_state.fleet
        await self.run_.until(lambda: fleet.get("p-0"))
        for _ in range(6):
            async with self.run_.request("POST", "/once/x") as resp:
                self.assertEqual(200, resp.status)


class ServersDown(harness.GatewayCase):
    """Most servers are down, and the store still lists them."""

    services = {"e-1": site.ENGINE, "p-1": site.PLAIN}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        site_ = self.run_.site
        for number, port in enumerate(ports.free_ports(7), 2):
            row = site.server_row(site.PLAIN, port)
            await site_.store.put("servers", f"p-{number}", row)
        fleet = self.run_.gateway.cluster_state.fleet
        await self.run_.until(lambda: len(fleet.members(site.PLAIN)) == 8)
        # The only server that is up is loaded, so the others are preferred.
        self.run_.gateway.dispatcher.server_loads.start_request("p-1", 1.0)

    async def test_requests_reach_the_only_server_that_is_up(self) -> None:
        for number in range(20):
            async with self.run_.request(
                "POST", "/once/x", headers={"Attempt-Id": f"a-{number}"}
            ) as resp:
                self.assertEqual(200, resp.status)

    async def test_each_server_is_tried_once_and_then_backs_off(self) -> None:
        for number in range(5):
            async with self.run_.request(
                "POST", "/once/x", headers={"Attempt-Id": f"a-{number}"}
            ):
                pass
        failed_attempts = self.run_.lines.events("request.try_ended")
        self.assertLessEqual(len(failed_attempts), 7)


class StoreOutage(harness.GatewayCase):
    """Outages and lost history of the store."""

    async def test_requests_continue_and_changes_follow_the_outage(
        self,
    ) -> None:
        store = self.run_.site.store
        store.faults.status = 503
        await self.run_.until(
            lambda: self.run_.lines.events("dependency.lost")
        )
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(200, resp.status)
        await store.put("op", "config", site.config_row(version=9))
        store.faults.status = 0
        state = self.run_.gateway.cluster_state
        await self.run_.until(lambda: state.catalog.version == 9)
        await self.run_.until(
            lambda: self.run_.lines.events("dependency.regained")
        )

    async def test_lost_history_leads_to_a_full_read(self) -> None:
        store = self.run_.site.store
        store.rows.pop(("servers", "p-1"))
        await store.discard_history()
        fleet = self.run_.gateway.cluster_state.fleet
        await self.run_.until(lambda: fleet.get("p-1") is None)

    async def test_unreadable_entry_removes_its_server_only(
        self,
    ) -> None:
        await self.run_.site.store.put("servers", "p-1", b"\xff\x00")
        await self.run_.until(lambda: self.run_.lines.events("row.unreadable"))
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(503, resp.status)
        async with self.run_.stream() as resp:
            self.assertEqual(200, resp.status)
