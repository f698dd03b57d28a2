"""TCP proxy on loopback that delays, resets, cuts and silences."""

import asyncio
import socket
import struct

from . import plan

READ_BYTES = 64 * 1024
# Delay of each piece of data while a path is slow, seconds.
DELAY = 0.15
# Socket option with which closing sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Proxy:
    """Path to one listener.

    :param port: port on loopback that it leads to.
    """

    def __init__(self, port: int) -> None:
        self.target_port = port
        self.port = 0
        self._harms: list[plan.Harm] = []
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=READ_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._open):
            writer.transport.abort()

    def harm(self, harm: plan.Harm) -> None:
        """Begin to harm the path."""
        self._harms.append(harm)
        if harm is plan.Harm.RESET:
            for writer in list(self._open):
                _reset(writer)

    def heal(self, harm: plan.Harm) -> None:
        """End one harm; connections that lost data stay silent."""
        self._harms.remove(harm)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if plan.Harm.RESET in self._harms:
            _reset(writer)
            return
        try:
            there = await asyncio.open_connection(
                "127.0.0.1", self.target_port, limit=READ_BYTES
            )
        except OSError:
            _reset(writer)
            return
        self._open |= {writer, there[1]}
        lost_there = frozenset((plan.Harm.CUT_THERE, plan.Harm.SILENCE))
        lost_back = frozenset((plan.Harm.CUT_BACK, plan.Harm.SILENCE))
        for source, sink, lost in (
            (reader, there[1], lost_there),
            (there[0], writer, lost_back),
        ):
            task = asyncio.create_task(self._pump(source, sink, lost))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        lost: frozenset[plan.Harm],
    ) -> None:
        """Pass data on; once some was lost, all that follows is."""
        silent = False
        try:
            while data := await source.read(READ_BYTES):
                silent = silent or bool(lost.intersection(self._harms))
                if silent:
                    continue
                if plan.Harm.DELAY in self._harms:
                    await asyncio.sleep(DELAY)
                sink.write(data)
                await sink.drain()
            if not silent:
                sink.close()
        except OSError:
            _reset(sink)
        finally:
            self._open.discard(sink)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
