"""Connections to one backend server, and proof of what left over them."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
import contextlib
from dataclasses import dataclass
import enum
import types

import aiohttp

from . import base

REQUEST_ID_HEADER = "X-Request-Id"
ATTEMPT_ID_HEADER = "X-Attempt-Id"
BOOT_ID_HEADER = "X-Boot-Id"
RUN_STATE_HEADER = "X-Run-State"
TIMEOUT_HEADER = "X-Timeout-Ms"
IDLE_TIMEOUT = 15.0
LOAD_PATH = "/load"
AUTO_HEADERS = ("Accept-Encoding", "Content-Type", "User-Agent")


class Probe(enum.Enum):
    """What a new connection told about a backend server."""

    ANSWERS = "answers"
    NEW_BOOT = "new boot"
    REFUSES = "refuses"
    SILENT = "silent"


class RepeatedSend(aiohttp.ClientError):
    """The HTTP library was about to send an attempt a second time."""


@dataclass(slots=True)
class Exchange:
    """One attempt on its way.

    :param request_id: identifier that the answer must echo.
    :param attempt_id: identifier that the answer must echo.
    :param sent: whether any byte may have left.
    :param boot_id: boot of the server that took the request, or the last
        one known; empty when unknown.
    """

    request_id: str
    attempt_id: str
    sent: bool = False
    boot_id: str = ""

    def headers(self) -> dict[str, str]:
        """Return the headers that carry the identifiers."""
        return {
            REQUEST_ID_HEADER: self.request_id,
            ATTEMPT_ID_HEADER: self.attempt_id,
        }

    def failed(
        self, kind: base.FailureKind, detail: str, crashed: bool = False
    ) -> base.AttemptFailed:
        """Return the failure of this attempt."""
        return base.AttemptFailed(kind, self.sent, crashed, detail)

    def check_echo(
        self, request_id: str | None, attempt_id: str | None
    ) -> None:
        """Check the identifiers of an answer.

        :raises AttemptFailed: when it answers another attempt.
        """
        if (request_id, attempt_id) != (self.request_id, self.attempt_id):
            text = f"expected {self.attempt_id}, got {attempt_id}"
            raise self.failed(base.FailureKind.CROSSED, text)


async def _refuse_repeat(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: object,
) -> None:
    exchange = context.trace_request_ctx
    if exchange is not None and exchange.sent:
        raise RepeatedSend


async def _note_sent(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: object,
) -> None:
    exchange = context.trace_request_ctx
    if exchange is None:
        return
    if exchange.sent:
        raise RepeatedSend
    exchange.sent = True


def _tracing() -> aiohttp.TraceConfig:
    # The library writes as soon as it holds a connection, so holding one
    # counts as sent. It also repeats some methods by itself when a kept
    # connection turns out closed; a second connection for the same
    # attempt is refused, or a PUT would run twice.
    config = aiohttp.TraceConfig()
    config.on_connection_create_start.append(_refuse_repeat)
    config.on_connection_create_end.append(_note_sent)
    config.on_connection_reuseconn.append(_note_sent)
    return config


class Pool:
    """Pool of connections to one backend server.

    :param address: ``host:port`` of the server.
    :param connect_timeout: wait for a connection, in seconds.
    """

    def __init__(self, address: str, connect_timeout: float) -> None:
        self.boot_id = ""
        self._base = f"http://{address}"
        self._connect_timeout = connect_timeout
        self._session: aiohttp.ClientSession | None = None
        self._in_use: dict[aiohttp.ClientSession, int] = {}
        self._probing: asyncio.Task[Probe] | None = None

    @contextlib.asynccontextmanager
    async def send(
        self,
        exchange: Exchange,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and yield the response once its head is read.

        Leaving the context early closes the connection.

        :raises aiohttp.ClientError: see ``failure``.
        """
        session = self._current()
        exchange.boot_id = self.boot_id
        self._in_use[session] = self._in_use.get(session, 0) + 1
        try:
            resp = await session.request(
                method,
                self._base + path,
                headers={**headers, **exchange.headers()},
                data=body,
                allow_redirects=False,
                trace_request_ctx=exchange,
            )
            try:
                self._note_boot(resp)
                exchange.boot_id = self.boot_id
                yield resp
            finally:
                # Closes the connection unless the body was read whole.
                resp.close()
        finally:
            await self._leave(session)

    async def failure(
        self, exchange: Exchange, exc: Exception
    ) -> base.AttemptFailed:
        """Return the failure that an exception of the library stands for."""
        detail = f"{type(exc).__name__}: {exc}"
        if not exchange.sent:
            return exchange.failed(base.FailureKind.CONNECT_FAILED, detail)
        if isinstance(exc, TimeoutError):
            self.renew()
            return exchange.failed(base.FailureKind.SILENT, detail)
        found = await self.probe(exchange.boot_id)
        crashed = found in (Probe.REFUSES, Probe.NEW_BOOT)
        kind = base.FailureKind.CONNECTION_LOST
        return exchange.failed(kind, detail, crashed)

    def renew(self) -> None:
        """Drop the connections as a whole; attempts under way go on."""
        session, self._session = self._session, None
        if session is not None and not self._in_use.get(session):
            asyncio.get_running_loop().create_task(session.close())

    async def probe(self, boot_id: str = "") -> Probe:
        """Ask the server for its load over a new connection.

        Callers at the same time share one probe.

        :param boot_id: boot that is compared with the one found.
        """
        if self._probing is None or self._probing.done():
            loop = asyncio.get_running_loop()
            self._probing = loop.create_task(self._probe())
        found = await asyncio.shield(self._probing)
        if found is Probe.ANSWERS and boot_id not in ("", self.boot_id):
            return Probe.NEW_BOOT
        return found

    async def get_load(self) -> base.LoadReport:
        """Return the load report over a kept connection.

        :raises AttemptFailed: when there is none.
        """
        exchange = Exchange("", "")
        try:
            async with asyncio.timeout(self._connect_timeout * 2):
                async with self.send(
                    exchange, "GET", LOAD_PATH, {}, None
                ) as resp:
                    return _load_report(await resp.json())
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            self.renew()
            raise exchange.failed(
                base.FailureKind.CONNECT_FAILED, repr(exc)
            ) from exc

    async def close(self) -> None:
        """Close all connections."""
        sessions = set(self._in_use)
        if self._session is not None:
            sessions.add(self._session)
        self._session = None
        if self._probing is not None:
            self._probing.cancel()
        for session in sessions:
            await session.close()

    async def _probe(self) -> Probe:
        timeout = aiohttp.ClientTimeout(total=self._connect_timeout)
        try:
            async with aiohttp.request(
                "GET", self._base + LOAD_PATH, timeout=timeout
            ) as resp:
                self._note_boot(resp)
                return Probe.ANSWERS
        except aiohttp.ConnectionTimeoutError:
            return Probe.SILENT
        except aiohttp.ClientConnectorError as exc:
            if isinstance(exc.os_error, ConnectionRefusedError):
                return Probe.REFUSES
            return Probe.SILENT
        except (aiohttp.ClientError, OSError):
            return Probe.SILENT

    def _current(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, keepalive_timeout=IDLE_TIMEOUT
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=AUTO_HEADERS,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=self._connect_timeout
                ),
                trace_configs=[_tracing()],
            )
        return self._session

    async def _leave(self, session: aiohttp.ClientSession) -> None:
        left = self._in_use[session] - 1
        if left:
            self._in_use[session] = left
            return
        del self._in_use[session]
        if session is not self._session:
            await session.close()

    def _note_boot(self, resp: aiohttp.ClientResponse) -> None:
        self.boot_id = resp.headers.get(BOOT_ID_HEADER, self.boot_id)


def timeout_ms(seconds: float) -> str:
    """Return the header text of the time left for a request."""
    return str(max(1, int(seconds * 1000)))


def _load_report(body: object) -> base.LoadReport:
    if not isinstance(body, dict):
        raise ValueError("expected an object")
    try:
        return base.LoadReport(
            str(body["boot_id"]),
            int(body["running"]),
            int(body["waiting"]),
            float(body["token_ms"]),
            float(body["age"]),
        )
    except (KeyError, TypeError) as exc:
        raise ValueError(f"not a load report: {exc}") from exc
