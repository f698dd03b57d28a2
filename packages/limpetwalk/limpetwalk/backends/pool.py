"""Connections to one backend server, and whether a request was sent."""

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
IDLE_TIMEOUT_SECONDS = 15.0
LOAD_PATH = "/load"
AUTO_HEADERS = ("Accept-Encoding", "Content-Type", "User-Agent")


class ProbeResult(enum.Enum):
    """State of a backend server as a new connection shows it."""

    ANSWERS = "answers"
    NEW_BOOT = "new boot"
    REFUSES = "refuses"
    SILENT = "silent"


class RepeatedSend(aiohttp.ClientError):
    """The HTTP library was about to send an attempt a second time.

    The name of this class is part of the message that callers get.
    """


@dataclass(slots=True)
class Exchange:
    """One attempt at the server and the identifiers of its answer.

    :param request_id: identifier that the answer must echo.
    :param attempt_id: identifier that the answer must echo.
    :param sent: whether any byte of the request may have been sent.
    :param boot_id: boot id of the server that accepted the request, or the
        latest one known; empty when unknown.
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
        """Return an exception for the failure of this attempt."""
        return base.AttemptFailed(kind, self.sent, crashed, detail)

    def check_echo(
        self, request_id: str | None, attempt_id: str | None
    ) -> None:
        """Check the identifiers that an answer echoes.

        :raises AttemptFailed: when they are those of another attempt.
        """
        if (request_id, attempt_id) != (self.request_id, self.attempt_id):
            detail = f"expected {self.attempt_id}, got {attempt_id}"
            raise self.failed(base.FailureKind.MISMATCHED, detail)


async def _reject_second_connection(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: object,
) -> None:
    exchange = context.trace_request_ctx
    if exchange is not None and exchange.sent:
        raise RepeatedSend


async def _mark_sent(
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


def _trace_config() -> aiohttp.TraceConfig:
    # The library writes as soon as it has a connection, so the request
    # counts as sent from then on. It also retries idempotent methods by
    # itself when a reused connection turns out to be closed; a second
    # connection for the same attempt is rejected, as a PUT would otherwise
    # run twice.
    config = aiohttp.TraceConfig()
    config.on_connection_create_start.append(_reject_second_connection)
    config.on_connection_create_end.append(_mark_sent)
    config.on_connection_reuseconn.append(_mark_sent)
    return config


class ConnectionPool:
    """Pool of connections to one backend server.

    :param address: ``host:port`` of the server.
    :param connect_timeout: longest wait for a connection, in seconds.
    """

    def __init__(self, address: str, connect_timeout: float) -> None:
        self.boot_id = ""
        self._base_url = f"http://{address}"
        self._connect_timeout = connect_timeout
        self._session: aiohttp.ClientSession | None = None
        self._in_use: dict[aiohttp.ClientSession, int] = {}
        self._probe_task: asyncio.Task[ProbeResult] | None = None

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

        Leaving the context before the complete body is read closes the
        connection.

        :raises aiohttp.ClientError: when the request fails; see
            ``classify_failure``.
        """
        session = self._current_session()
        exchange.boot_id = self.boot_id
        self._in_use[session] = self._in_use.get(session, 0) + 1
        try:
            resp = await session.request(
                method,
                self._base_url + path,
                headers={**headers, **exchange.headers()},
                data=body,
                allow_redirects=False,
                trace_request_ctx=exchange,
            )
            try:
                self._record_boot_id(resp)
                exchange.boot_id = self.boot_id
                yield resp
            finally:
                # Closes the connection unless the complete body was read.
                resp.close()
        finally:
            await self._release_session(session)

    async def classify_failure(
        self, exchange: Exchange, exc: Exception
    ) -> base.AttemptFailed:
        """Return the failure that an exception of the HTTP library means.

        After a lost connection it probes the server, to tell a crash from
        a failure of the connection alone.
        """
        detail = f"{type(exc).__name__}: {exc}"
        if not exchange.sent:
            return exchange.failed(base.FailureKind.CONNECT_FAILED, detail)
        if isinstance(exc, TimeoutError):
            self.drop_session()
            return exchange.failed(base.FailureKind.SILENT, detail)
        result = await self.probe(exchange.boot_id)
        crashed = result in (ProbeResult.REFUSES, ProbeResult.NEW_BOOT)
        kind = base.FailureKind.CONNECTION_LOST
        return exchange.failed(kind, detail, crashed)

    def drop_session(self) -> None:
        """Use new connections from now on; attempts in flight continue."""
        session, self._session = self._session, None
        if session is not None and not self._in_use.get(session):
            asyncio.get_running_loop().create_task(session.close())

    async def probe(self, boot_id: str = "") -> ProbeResult:
        """Request the server's load over a new connection.

        Concurrent callers share one probe.

        :param boot_id: boot id that the server is expected to have; empty
            expects none.
        :returns: state of the server; ``NEW_BOOT`` when it answers with
            another boot id than expected.
        """
        if self._probe_task is None or self._probe_task.done():
            loop = asyncio.get_running_loop()
            self._probe_task = loop.create_task(self._probe())
        result = await asyncio.shield(self._probe_task)
        if result is ProbeResult.ANSWERS and boot_id not in ("", self.boot_id):
            return ProbeResult.NEW_BOOT
        return result

    async def fetch_load(self) -> base.LoadReport:
        """Return the server's load report, over a reused connection if any.

        :raises AttemptFailed: when the server sends no valid report.
        """
        exchange = Exchange("", "")
        try:
            async with asyncio.timeout(self._connect_timeout * 2):
                async with self.send(
                    exchange, "GET", LOAD_PATH, {}, None
                ) as resp:
                    return _parse_load_report(await resp.json())
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            self.drop_session()
            raise exchange.failed(
                base.FailureKind.CONNECT_FAILED, repr(exc)
            ) from exc

    async def close(self) -> None:
        """Close all connections."""
        sessions = set(self._in_use)
        if self._session is not None:
            sessions.add(self._session)
        self._session = None
        if self._probe_task is not None:
            self._probe_task.cancel()
        for session in sessions:
            await session.close()

    async def _probe(self) -> ProbeResult:
        timeout = aiohttp.ClientTimeout(total=self._connect_timeout)
        try:
            async with aiohttp.request(
                "GET", self._base_url + LOAD_PATH, timeout=timeout
            ) as resp:
                self._record_boot_id(resp)
                return ProbeResult.ANSWERS
        except aiohttp.ConnectionTimeoutError:
            return ProbeResult.SILENT
        except aiohttp.ClientConnectorError as exc:
            if isinstance(exc.os_error, ConnectionRefusedError):
                return ProbeResult.REFUSES
            return ProbeResult.SILENT
        except (aiohttp.ClientError, OSError):
            return ProbeResult.SILENT

    def _current_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, keepalive_timeout=IDLE_TIMEOUT_SECONDS
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=AUTO_HEADERS,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=self._connect_timeout
                ),
                trace_configs=[_trace_config()],
            )
        return self._session

    async def _release_session(self, session: aiohttp.ClientSession) -> None:
        in_use = self._in_use[session] - 1
        if in_use:
            self._in_use[session] = in_use
            return
        del self._in_use[session]
        if session is not self._session:
            await session.close()

    def _record_boot_id(self, resp: aiohttp.ClientResponse) -> None:
        self.boot_id = resp.headers.get(BOOT_ID_HEADER, self.boot_id)


def timeout_ms(seconds: float) -> str:
    """Return the remaining time as a header value, in milliseconds.

    :param seconds: time that is left for a request, in seconds.
    """
    return str(max(1, int(seconds * 1000)))


def _parse_load_report(body: object) -> base.LoadReport:
    if not isinstance(body, dict):
        raise ValueError("the load report is not a JSON object")
    try:
        return base.LoadReport(
            str(body["boot_id"]),
            int(body["running"]),
            int(body["waiting"]),
            float(body["token_ms"]),
            float(body["age"]),
        )
    except (KeyError, TypeError) as exc:
        raise ValueError(
            f"missing or invalid field in the load report: {exc}"
        ) from exc
