"""Tests of answers that break off, come twice or are followed by bytes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import gzip
import socket
import struct
from typing import Any

import aiohttp

from limpetwalk_bench.hub import raw_server
from limpetwalk_bench.hub import server
from limpetwalk_bench.hub import site

from . import harness

BODY = b"x" * 1000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Break = Callable[[raw_server.Connection], Awaitable[None]]


async def short_by_length(conn: raw_server.Connection) -> None:
    """Send less than the announced length."""
    await conn.send(conn.head(f"Content-Length: {len(BODY)}") + BODY[:500])


async def without_last_chunk(conn: raw_server.Connection) -> None:
    """Close before the chunk that ends the body."""
    head = conn.head("Transfer-Encoding: chunked")
    await conn.send(head + b"3e8\r\n" + BODY + b"\r\n")


async def within_a_chunk(conn: raw_server.Connection) -> None:
    """Close within a chunk."""
    head = conn.head("Transfer-Encoding: chunked")
    await conn.send(head + b"3e8\r\n" + BODY[:500])


async def reset_without_length(conn: raw_server.Connection) -> None:
    """Reset a connection whose end would end the body."""
    await conn.send(conn.head("Connection: close") + BODY[:500])
    await reset_connection(conn)


async def reset_connection(conn: raw_server.Connection) -> None:
    """Reset a connection once what was sent has arrived."""
    await asyncio.sleep(0.05)
    sock = conn.writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_LINGER,
        RESET_ON_CLOSE,
    )
    conn.writer.transport.abort()


async def compressed_and_cut(conn: raw_server.Connection) -> None:
    """Send the start of a compressed body as if it were whole."""
    data = gzip.compress(BODY)[:-10]
    head = conn.head(f"Content-Length: {len(data)}", "Content-Encoding: gzip")
    await conn.send(head + data)


async def within_the_head(conn: raw_server.Connection) -> None:
    """Close within the headers."""
    await conn.send(conn.head("Content-Length: 5")[:-10])


async def of_another_request(conn: raw_server.Connection) -> None:
    """Send the answer of another request."""
    conn.headers["attempt-id"] = "other"
    await conn.send(conn.head("Content-Length: 5") + b"other")


BREAKS: tuple[Break, ...] = (
    short_by_length,
    without_last_chunk,
    within_a_chunk,
    reset_without_length,
    compressed_and_cut,
    within_the_head,
    of_another_request,
)


class BrokenAnswers(harness.GatewayCase):
    """Plain answers that break off never look complete."""

    services = {"p-9": site.PLAIN}

    async def serve(self, script: raw_server.Script) -> raw_server.RawServer:
        """Replace the servers of the plain service by one with a script."""
        fleet = self.run_.gateway.cluster_state.fleet
        for member in list(fleet.members(site.PLAIN)):
            await self.run_.site.store.remove("servers", member.id)
        await self.run_.until(lambda: not fleet.members(site.PLAIN))
        raw = await self.run_.site.add_raw_server(
            script.__name__, site.PLAIN, script
        )
        await self.run_.until(lambda: fleet.get(script.__name__) is not None)
        return raw

    async def test_caller_gets_a_failure_and_the_work_runs_once(self) -> None:
        for script in BREAKS:
            with self.subTest(script.__name__):
                raw = await self.serve(script)
                async with self.run_.request("POST", "/once/x") as resp:
                    self.assertEqual(502, resp.status)
                    self.assertNotIn("Server-Seal", resp.headers)
                self.assertEqual(1, raw.requests)

    async def test_broken_answer_counts_against_its_server(self) -> None:
        await self.serve(without_last_chunk)
        async with self.run_.request("POST", "/once/x"):
            pass
        member = self.run_.gateway.cluster_state.fleet.get(
            "without_last_chunk"
        )
        assert member is not None
        self.assertEqual(1, member.health.failures_in_row)

    async def test_bytes_after_a_whole_answer_are_dropped(self) -> None:
        async def twice(conn: raw_server.Connection) -> None:
            answer = conn.head("Content-Length: 5") + b"whole"
            await conn.send(answer + answer)
            await conn.send_without_end(b"more" * 1000)

        raw = await self.serve(twice)
        for _ in range(3):
            async with self.run_.request("POST", "/once/x") as resp:
                self.assertEqual(200, resp.status)
                self.assertEqual(b"whole", await resp.read())
        await self.run_.until(lambda: raw.closed == 3)

    async def test_whole_answer_in_single_bytes_is_passed_on(self) -> None:
        async def bytewise(conn: raw_server.Connection) -> None:
            answer = conn.head("Content-Length: 5") + b"whole"
            for start in range(len(answer)):
                await conn.send(answer[start : start + 1])
                await asyncio.sleep(0.001)

        await self.serve(bytewise)
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(b"whole", await resp.read())

    async def test_refusal_of_another_request_does_not_mean_not_run(
        self,
    ) -> None:
        for status in (503, 429, 421):

            async def earlier_refusal(conn: raw_server.Connection) -> None:
                conn.headers["attempt-id"] = "earlier"
                head = conn.head(
                    "Content-Length: 0", "Not-Executed: 1", status=status
                )
                await conn.send(head)

            with self.subTest(status):
                earlier_refusal.__name__ = f"refusing-{status}"
                raw = await self.serve(earlier_refusal)
                async with self.run_.request("POST", "/once/x") as resp:
                    self.assertEqual(502, resp.status)
                self.assertEqual(1, raw.requests)

    async def test_head_cut_at_any_byte_gives_no_answer(self) -> None:
        cut = 0

        async def cut_head(conn: raw_server.Connection) -> None:
            await conn.send(conn.head("Content-Type: text/plain")[:cut])

        await self.serve(cut_head)
        fleet = self.run_.gateway.cluster_state.fleet
        for cut in range(0, 82, 3):
            member = fleet.get("cut_head")
            assert member is not None
            member.health.backoff_until = 0.0
            async with self.run_.request("POST", "/once/x") as resp:
                self.assertEqual(502, resp.status, f"cut at {cut}")
                self.assertNotIn("Server-Seal", resp.headers)


class StreamsWithoutLength(harness.GatewayCase):
    """Streams with neither a length nor chunks, which end with a close."""

    services = {"p-1": site.PLAIN}
    events = b"".join(server.event(number) for number in range(1, 4))

    async def answer(self, data: bytes, reset: bool = False) -> None:
        """Make the only engine answer with bytes and close."""

        async def script(conn: raw_server.Connection) -> None:
            await conn.send(conn.head("Confidence: 100") + data)
            if reset:
                await reset_connection(conn)

        await self.run_.site.add_raw_server("e-9", site.ENGINE, script)
        fleet = self.run_.gateway.cluster_state.fleet
        await self.run_.until(lambda: fleet.get("e-9") is not None)

    async def test_stream_that_ends_after_an_event_is_complete(self) -> None:
        await self.answer(self.events)
        async with self.run_.stream() as resp:
            self.assertEqual(200, resp.status)
            self.assertEqual(self.events, await resp.read())

    async def test_stream_that_ends_inside_an_event_breaks_off(self) -> None:
        await self.answer(self.events + b"id: 4\nda")
        async with self.run_.stream() as resp:
            with self.assertRaises(aiohttp.ClientPayloadError):
                await resp.read()

    async def test_stream_that_is_reset_breaks_off(self) -> None:
        await self.answer(self.events, reset=True)
        async with self.run_.stream() as resp:
            with self.assertRaises(aiohttp.ClientPayloadError):
                await resp.read()

    async def test_stream_without_an_event_is_no_success(self) -> None:
        await self.answer(b"")
        async with self.run_.stream() as resp:
            self.assertEqual(502, resp.status)
            self.assertNotIn("Server-Seal", resp.headers)


class ResumedStreams(harness.GatewayCase):
    """A stream has begun and broke off, and another server is asked."""

    services = {"p-1": site.PLAIN}
    first_events = b"".join(server.event(number) for number in range(1, 3))

    async def resume_with(self, *lines: str, **head: Any) -> bytes:
        """Return what the caller has received when its stream broke off.

        The server that is asked first breaks off after two events.

        :param lines: header lines of the second server's answer.
        :param head: body and status of that answer.
        """
        body = head.pop("body")
        answered: list[str] = []

        async def script(conn: raw_server.Connection) -> None:
            answered.append(conn.headers.get("last-event-id", ""))
            if len(answered) == 1:
                begin = conn.head(
                    "Transfer-Encoding: chunked",
                    "Content-Type: text/event-stream",
                    "Confidence: 100",
                )
                size = f"{len(self.first_events):x}\r\n".encode()
                await conn.send(begin + size + self.first_events + b"\r\n")
            else:
                length = f"Content-Length: {len(body)}"
                await conn.send(conn.head(length, *lines, **head) + body)

        fleet = self.run_.gateway.cluster_state.fleet
        for name in ("e-8", "e-9"):
            await self.run_.site.store.remove("servers", name)
        await self.run_.until(lambda: not fleet.members(site.ENGINE))
        for name in ("e-8", "e-9"):
            await self.run_.site.add_raw_server(name, site.ENGINE, script)
        await self.run_.until(lambda: fleet.get("e-9") is not None)
        received = b""
        async with self.run_.stream() as resp:
            with self.assertRaises(aiohttp.ClientPayloadError):
                async for chunk in resp.content.iter_any():
                    received += chunk
        self.assertEqual(["", "2"], answered[:2])
        return received

    async def test_error_of_the_next_server_is_no_part_of_the_stream(
        self,
    ) -> None:
        for status in (400, 404, 409, 302, 500):
            for body in (b"", b"no such run", b"error: no such run\n\n"):
                with self.subTest(status=status, body=body):
                    self.assertEqual(
                        self.first_events,
                        await self.resume_with(body=body, status=status),
                    )

    async def test_body_of_another_type_is_no_part_of_the_stream(
        self,
    ) -> None:
        self.assertEqual(
            self.first_events,
            await self.resume_with(
                "Content-Type: text/plain", body=b"error: busy\n\n"
            ),
        )


class RefusedStreams(harness.GatewayCase):
    """An engine answers a stream with an error."""

    services = {"p-1": site.PLAIN}

    async def test_error_is_passed_on_whole(self) -> None:
        body = b'{"error": "prompt too long"}'

        async def refuse(conn: raw_server.Connection) -> None:
            length = f"Content-Length: {len(body)}"
            await conn.send(conn.head(length, status=413) + body)

        raw = await self.run_.site.add_raw_server("e-9", site.ENGINE, refuse)
        fleet = self.run_.gateway.cluster_state.fleet
        await self.run_.until(lambda: fleet.get("e-9") is not None)
        async with self.run_.stream() as resp:
            self.assertEqual(413, resp.status)
            self.assertEqual(body, await resp.read())
        self.assertEqual(1, raw.requests)
