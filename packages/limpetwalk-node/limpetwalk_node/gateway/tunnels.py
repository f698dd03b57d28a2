"""Carries connections of other nodes to servers.

A node that has lost its link to a server asks a peer for a tunnel: a
``CONNECT`` request (RFC 9110, section 9.3.6) to the peer's address. The peer
connects to the server and passes bytes on, in both directions, without
looking at them. An answer other than 200 says that no byte has reached the
server.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import hmac
import socket
import struct
from typing import cast

import h11

from limpetwalk import metrics as metrics_
from limpetwalk.gateway import fleet
from limpetwalk.gateway import server_links

from . import events
from . import logs
from . import upstream

# Header of a request for a tunnel that names the server.
SERVER_HEADER = "Limpetwalk-Server"
# Timeout of the connection to the server, seconds.
CONNECT_TIMEOUT = 0.1
# Limits of the head of a request: size in bytes, and seconds until it is
# complete.
MAX_HEAD_BYTES = 4096
HEAD_TIMEOUT = 0.5
# Largest number of tunnels, and of connections at which requests for them may
# arrive.
MAX_TUNNELS = 256
MAX_CONNECTIONS = 2 * MAX_TUNNELS
# Bytes above which the other end of a tunnel isn't read.
BUFFER_BYTES = 32 * 1024
# Time for which the asking node may read the rest of an answer after the
# server has closed its connection, in seconds.
LINGER_TIMEOUT = 10.0
# Idle time before a keep-alive probe, time between two, and number of
# unanswered ones after which an asking node counts as gone.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Value of SO_LINGER (on, 0 seconds) with which closing sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Length of the queue of connections that wait to be accepted.
BACKLOG = 128


@dataclass(frozen=True, slots=True)
class Declined:
    """Answer to a request for a tunnel that isn't opened."""

    status: int
    reason: str


# The server refused the connection, or didn't answer in time.
REFUSED = Declined(502, "refused")
TIMED_OUT = Declined(504, "timed_out")
# This node can't tell whether the server is up.
LINK_LOST = Declined(503, "link_lost")
FULL = Declined(503, "full")
STOPPING = Declined(503, "stopping")
UNKNOWN_SERVER = Declined(403, "unknown_server")
UNAUTHORIZED = Declined(407, "unauthorized")
WRONG_METHOD = Declined(405, "method")
MALFORMED = Declined(400, "malformed")


class Tunnels:
    """Accepts requests of other nodes for tunnels to servers.

    :param secret: secret that requests must carry.
    :param servers: servers to which tunnels may lead.
    :param links: links of this node to servers.
    """

    def __init__(
        self,
        secret: str,
        servers: fleet.Fleet,
        links: server_links.ServerLinks,
        journal: logs.Journal,
        metrics: metrics_.Metrics,
    ) -> None:
        self._credentials = b"Bearer " + secret.encode()
        self._servers = servers
        self._links = links
        self._journal = journal
        self._ends: set[_AskingEnd] = set()
        self._server: asyncio.Server | None = None
        self.closing = False
        self._results = metrics.counter(
            "limpetwalk_tunnels",
            "Requests of other nodes for a connection to a server, by result.",
            ("result",),
        )
        metrics.gauge(
            "limpetwalk_open_tunnels",
            "Connections to servers that are carried for other nodes.",
        ).set_function(lambda: self.open_count)

    @property
    def held_bytes(self) -> int:
        """Largest size of what the open tunnels hold, in bytes."""
        return 2 * BUFFER_BYTES * self.open_count

    @property
    def open_count(self) -> int:
        """Number of connections that are carried for other nodes."""
        return sum(1 for end in self._ends if end.admitted)

    async def start(self, address: tuple[str, int]) -> None:
        """Accept connections.

        :param address: ``(host, port)`` to listen at.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _AskingEnd(self),
            *address,
            backlog=BACKLOG,
            reuse_address=True,
        )

    def close(self) -> None:
        """Close the listener and all tunnels."""
        if self._server is not None:
            self._server.close()
        for end in list(self._ends):
            end.abort()

    def try_add(self, end: "_AskingEnd") -> bool:
        """Count a connection that was accepted, if there is room for it."""
        if len(self._ends) >= MAX_CONNECTIONS:
            return False
        self._ends.add(end)
        return True

    def discard(self, end: "_AskingEnd") -> None:
        """Stop counting a connection."""
        self._ends.discard(end)

    def find(self, req: h11.Request) -> fleet.Member | Declined:
        """Return the server that a request asks for."""
        headers = dict(req.headers)
        given = headers.get(b"proxy-authorization", b"")
        if not hmac.compare_digest(given, self._credentials):
            return UNAUTHORIZED
        if req.method != b"CONNECT":
            return WRONG_METHOD
        server_id = headers.get(SERVER_HEADER.lower().encode(), b"")
        member = self._servers.get(server_id.decode("latin-1"))
        if member is None or req.target != authority(member).encode():
            return UNKNOWN_SERVER
        if self.closing:
            return STOPPING
        if self.open_count >= MAX_TUNNELS:
            return FULL
        if self._servers.is_leaving(member.entry):
            return UNKNOWN_SERVER
        if self._links.cut_off or self._links.is_lost(member.id):
            return LINK_LOST
        return member

    async def connect(
        self,
        member: fleet.Member,
        factory: Callable[[], "_ServerEnd"],
    ) -> Declined | None:
        """Connect to a server directly.

        :param factory: returns the protocol of the connection.
        """
        entry = member.entry
        loop = asyncio.get_running_loop()
        declined = TIMED_OUT
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.create_connection(factory, entry.host, entry.port)
        except ConnectionRefusedError:
            declined = REFUSED
        except (OSError, TimeoutError):
            pass
        else:
            self._links.record_connected(member.id)
            return None
        self._links.record_failed(member.id)
        return declined if self._links.works else LINK_LOST

    def record(self, result: str) -> None:
        """Count the result of a request."""
        self._results.labels(result).inc()

    def record_declined(self, declined: Declined, peer: str) -> None:
        """Count and log a request that was declined."""
        self.record(declined.reason)
        self._journal.emit(events.TunnelDeclined(peer, declined.reason))


def authority(member: fleet.Member) -> str:
    """Return the target of a request for a tunnel to a server."""
    return f"{member.entry.host}:{member.entry.port}"


class _End(asyncio.Protocol):
    """One of the two connections of a tunnel.

    :ivar other: the other connection, None until it is established.
    """

    def __init__(self) -> None:
        self.other: _End | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options of the connection."""
        # Transports of uvloop have no common base class with asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=BUFFER_BYTES)
        upstream.set_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Pass bytes on."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def pause_writing(self) -> None:
        """Stop reading from the other end while this one's buffer is full."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the other end again."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def abort(self) -> None:
        """Close the connection at once, without the bytes still buffered."""
        if self.transport is not None:
            self.transport.abort()


class _ServerEnd(_End):
    """Connection to the server.

    :param asking: connection from the node that asked for it.
    """

    def __init__(self, asking: "_AskingEnd") -> None:
        super().__init__()
        self._asking = asking

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open the tunnel, before the server sends or ends anything."""
        super().connection_made(transport)
        self._asking.open(self)

    def eof_received(self) -> bool:
        """Pass on the end of the answer, and keep the rest open for it."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write_eof()
            asyncio.get_running_loop().call_later(
                LINGER_TIMEOUT, self.other.abort
            )
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on a failure, so that no answer looks complete."""
        if self.other is not None:
            self.other.abort()


class _AskingEnd(_End):
    """Connection from the node that asks for a tunnel."""

    def __init__(self, tunnels: Tunnels) -> None:
        super().__init__()
        self._tunnels = tunnels
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._opened = False

    @property
    def admitted(self) -> bool:
        """Whether the request for a tunnel was sound."""
        return self._connecting is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the request, for a limited time."""
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
        if not self._tunnels.try_add(self):
            self.abort()
            return
        self._head_timer = asyncio.get_running_loop().call_later(
            HEAD_TIMEOUT, self.abort
        )

    def data_received(self, data: bytes) -> None:
        """Read the request; pass on what comes after it was answered."""
        if self.other is not None:
            super().data_received(data)
            return
        if self._connecting is not None:
            # Nothing may be sent before the answer.
            self.abort()
            return
        self._head_bytes += len(data)
        self._conn.receive_data(data)
        try:
            event = self._conn.next_event()
        except h11.RemoteProtocolError:
            self._decline(MALFORMED)
            return
        if self._head_bytes > MAX_HEAD_BYTES:
            self._decline(MALFORMED)
            return
        if event is h11.NEED_DATA:
            return
        self._stop_timer()
        assert isinstance(event, h11.Request)
        found = self._tunnels.find(event)
        if isinstance(found, fleet.Member) and self._conn.trailing_data[0]:
            found = MALFORMED
        if isinstance(found, Declined):
            self._decline(found)
        else:
            self._connecting = asyncio.create_task(self._connect(found))

    def eof_received(self) -> None:
        """End the request, since the asking node never closes one side."""
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection to the server, so that it stops its work."""
        self._stop_timer()
        self._tunnels.discard(self)
        if self._connecting is not None:
            self._connecting.cancel()
        if self.other is not None:
            other, self.other = self.other, None
            other.other = None
            other.abort()

    def open(self, server_end: _ServerEnd) -> None:
        """Tell the asking node that the server is connected."""
        if self.transport is None or self.transport.is_closing():
            server_end.abort()
            return
        # Even the end of this process must not look like that of an answer.
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.write(
            self._conn.send(h11.Response(status_code=200, headers=[]))
        )
        self.other, server_end.other = server_end, self
        self._opened = True
        self._tunnels.record("opened")

    async def _connect(self, member: fleet.Member) -> None:
        declined = await self._tunnels.connect(
            member, lambda: _ServerEnd(self)
        )
        if declined is not None and not self._opened:
            self._decline(declined)

    def _decline(self, declined: Declined) -> None:
        self._stop_timer()
        assert self.transport is not None
        host = self.transport.get_extra_info("peername")
        self._tunnels.record_declined(declined, host[0] if host else "")
        self.transport.write(
            f"HTTP/1.1 {declined.status} {declined.reason}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
        )
        self.transport.close()

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
