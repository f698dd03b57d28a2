"""Connects to servers, directly or through a peer."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import h11

from limpetwalk import metrics as metrics_
from limpetwalk.gateway import buffers
from limpetwalk.gateway import fleet
from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import server_links

from . import events
from . import logs
from . import tunnels
from . import upstream

# Time for a direct connection before a peer is asked too, seconds. It covers
# several round trips within a region.
DIRECT_HEAD_START = 0.05
# Time added to it, in which an event loop that was held up handles a
# connection that is already established, seconds.
STALL_ALLOWANCE = 0.01
# Time for peers that are asked first before a direct connection is tried too,
# seconds.
PEER_HEAD_START = 0.15
# Time for a peer to open a tunnel, seconds.
PEER_TIMEOUT = tunnels.CONNECT_TIMEOUT + 0.03
# Largest number of peers that are asked for one connection.
MAX_ASKED_PEERS = 3
# Status of the answer to a request for a tunnel that was opened.
OK = 200


class NoPeer(Exception):
    """No peer could tell whether the server is up.

    :param asked: whether there was a peer to ask.
    """

    def __init__(self, asked: bool) -> None:
        super().__init__()
        self.asked = asked


class Connector:
    """Opens connections to servers.

    :param links: links of this node to servers.
    :param peer_choice: chooses peers that connect for this node.
    """

    def __init__(
        self,
        links: server_links.ServerLinks,
        peer_choice: server_links.PeerChoice,
        journal: logs.Journal,
        metrics: metrics_.Metrics,
    ) -> None:
        self.links = links
        self._peer_choice = peer_choice
        self._journal = journal
        self._ways = metrics.counter(
            "limpetwalk_server_connections",
            "Connections to servers, by the way taken.",
            ("way",),
        )
        self._unable = metrics.counter(
            "limpetwalk_peers_unable",
            "Peers that could not connect to a server, by reason.",
            ("reason",),
        )

    async def connect(
        self,
        member: fleet.Member,
        timeout: float,
        limits: buffers.ResponseLimits = buffers.ResponseLimits(),
    ) -> upstream.Exchange:
        """Connect to a server.

        :param timeout: longest time to wait, in seconds.
        :param limits: limits of the response.
        :raises ServerUnreachable: when there is no way to the server.
        """
        try:
            if self.links.prefers_peer(member.id):
                async with asyncio.timeout(timeout):
                    return await self._connect_by_peer(member, limits)
            return await self._connect_directly(member, timeout, limits)
        except OSError as exc:
            self._ways.labels("none").inc()
            raise upstream.ServerUnreachable(
                f"connection to {tunnels.authority(member)} failed: {exc!r}",
                isinstance(exc, ConnectionRefusedError),
                self.links.cut_off,
            ) from exc
        except upstream.ServerUnreachable:
            self._ways.labels("none").inc()
            raise

    async def _connect_by_peer(
        self, member: fleet.Member, limits: buffers.ResponseLimits
    ) -> upstream.Exchange:
        """Ask peers, and connect directly if they don't help."""
        try:
            async with asyncio.timeout(PEER_HEAD_START):
                return await self._open_by_peer(member, limits)
        except (NoPeer, TimeoutError):
            return await self._open_directly(member, limits)

    async def _connect_directly(
        self,
        member: fleet.Member,
        timeout: float,
        limits: buffers.ResponseLimits,
    ) -> upstream.Exchange:
        """Connect directly, and ask peers if that fails or takes long."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        by_peer = _Attempt(lambda: self._open_by_peer(member, limits))
        timer = loop.call_later(DIRECT_HEAD_START, by_peer.start_soon)
        try:
            try:
                async with asyncio.timeout_at(deadline) as scope:
                    by_peer.on_result = lambda: scope.reschedule(loop.time())
                    return await self._open_directly(member, limits)
            except OSError as exc:
                failure = exc
                self.links.record_failed(member.id)
            finally:
                by_peer.on_result = None
                timer.cancel()
            try:
                async with asyncio.timeout_at(deadline):
                    exchange = await by_peer.result()
            except NoPeer as exc:
                if exc.asked and self.links.is_in_doubt(member.id):
                    # It keeps its type: a refusal may count as a crash.
                    raise type(failure)(
                        f"{failure!r}, peers can't tell"
                    ) from None
                raise failure from None
            except TimeoutError:
                raise failure from None
        finally:
            by_peer.close()
        self.links.record_lost(member.id)
        return exchange

    async def _open_directly(
        self, member: fleet.Member, limits: buffers.ResponseLimits
    ) -> upstream.Exchange:
        entry = member.entry
        reader, writer = await upstream.open_connection(entry.host, entry.port)
        self.links.record_connected(member.id)
        self._ways.labels("direct").inc()
        return upstream.Exchange(reader, writer, limits)

    async def _open_by_peer(
        self, member: fleet.Member, limits: buffers.ResponseLimits
    ) -> upstream.Exchange:
        """Connect through a peer.

        :raises ServerUnreachable: when a peer says that the server is down.
        :raises NoPeer: when no peer could help.
        """
        asked: list[str] = []
        while len(asked) < MAX_ASKED_PEERS:
            choice = self._peer_choice.next_peer(asked)
            if choice is None:
                break
            name, peer = choice
            asked.append(name)
            try:
                async with asyncio.timeout(PEER_TIMEOUT):
                    reader, writer, status = await _request_tunnel(
                        peer, member
                    )
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
                self._record_unable(name, type(exc).__name__)
                continue
            if status == OK:
                return self._exchange(name, reader, writer, limits)
            writer.transport.abort()
            if status in (tunnels.REFUSED.status, tunnels.TIMED_OUT.status):
                self.links.record_down(member.id)
                raise upstream.ServerUnreachable(
                    f"{tunnels.authority(member)} is down: {name} answered "
                    f"{status}",
                    status == tunnels.REFUSED.status,
                )
            self._record_unable(name, str(status))
        raise NoPeer(bool(asked))

    def _exchange(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: buffers.ResponseLimits,
    ) -> upstream.Exchange:
        self._ways.labels("peer").inc()
        self._peer_choice.record_opened(name)
        return upstream.Exchange(
            reader,
            writer,
            limits,
            lambda: self._peer_choice.record_closed(name),
        )

    def _record_unable(self, name: str, reason: str) -> None:
        self._peer_choice.record_unable(name)
        self._unable.labels(reason).inc()
        self._journal.emit(events.PeerUnable(name, reason))


class _Attempt:
    """Attempt to connect that runs beside another one.

    :param connect: opens the connection.
    :ivar on_result: called when it is clear whether the server is up.
    """

    def __init__(
        self, connect: Callable[[], Coroutine[Any, Any, upstream.Exchange]]
    ) -> None:
        self._connect = connect
        self._task: asyncio.Task[upstream.Exchange] | None = None
        self._delay: asyncio.TimerHandle | None = None
        self._taken = False
        self.on_result: Callable[[], None] | None = None

    def start_soon(self) -> None:
        """Start the attempt after ``STALL_ALLOWANCE``."""
        self._delay = asyncio.get_running_loop().call_later(
            STALL_ALLOWANCE, self._start
        )

    async def result(self) -> upstream.Exchange:
        """Return the connection.

        :raises NoPeer: when no peer could help.
        """
        task = self._start()
        await asyncio.wait((task,))
        self._taken = True
        return task.result()

    def close(self) -> None:
        """Give up the attempt, and close its connection if it isn't used."""
        if self._delay is not None:
            self._delay.cancel()
        if self._task is not None and not self._taken:
            self._task.cancel()
            self._task.add_done_callback(_close_unused)

    def _start(self) -> asyncio.Task[upstream.Exchange]:
        if self._task is None:
            self._task = asyncio.create_task(self._connect())
            self._task.add_done_callback(self._finish)
        return self._task

    def _finish(self, task: asyncio.Task[upstream.Exchange]) -> None:
        if self.on_result is None or task.cancelled():
            return
        if not isinstance(task.exception(), NoPeer):
            self.on_result()


def _close_unused(task: asyncio.Task[upstream.Exchange]) -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()


async def _request_tunnel(
    peer: peer_groups.Peer, member: fleet.Member
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, int]:
    """Ask a peer for a tunnel to a server.

    :returns: the connection to the peer, and the status of its answer.
    :raises OSError: when the connection to the peer fails.
    """
    target = tunnels.authority(member)
    conn = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=tunnels.MAX_HEAD_BYTES
    )
    request = conn.send(
        h11.Request(
            method="CONNECT",
            target=target,
            headers=[
                ("Host", target),
                ("Proxy-Authorization", f"Bearer {peer.secret}"),
                (tunnels.SERVER_HEADER, member.id),
            ],
        )
    )
    conn.send(h11.EndOfMessage())
    reader, writer = await upstream.open_connection(*peer.address)
    try:
        writer.write(request)
        conn.receive_data(await reader.readuntil(b"\r\n\r\n"))
        event = conn.next_event()
        if not isinstance(event, h11.Response):
            raise OSError(f"expected a response, got {event!r}")
    except (asyncio.LimitOverrunError, h11.RemoteProtocolError) as exc:
        writer.transport.abort()
        raise OSError(f"answer to CONNECT is not valid: {exc}") from exc
    except BaseException:
        writer.transport.abort()
        raise
    return reader, writer, event.status_code
