"""TCP proxy on loopback that injects link faults."""

import asyncio
from collections.abc import Coroutine
import socket
import struct

from . import fault_plan

READ_BYTES = 64 * 1024
# Delay of each chunk of data under ``LinkFault.DELAY``, in seconds.
DELAY = 0.15
# Value of SO_LINGER (on, 0 seconds) with which closing sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Proxy:
    """Proxy in front of one listener.

    :param port: loopback port of the listener.
    """

    def __init__(self, port: int) -> None:
        self.target_port = port
        self.port = 0
        self._faults: list[fault_plan.LinkFault] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._hold_count = 0
        self._flowing = asyncio.Event()
        self._flowing.set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=READ_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the proxy's own listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    def add_fault(self, fault: fault_plan.LinkFault) -> None:
        """Start a fault.

        The faults of one path add up; each needs its own ``remove_fault``.
        """
        self._faults.append(fault)
        if fault is fault_plan.LinkFault.RESET:
            self.reset_connections()

    def remove_fault(self, fault: fault_plan.LinkFault) -> None:
        """End a fault; a direction that has lost data stays blocked."""
        self._faults.remove(fault)

    def hold(self) -> None:
        """Forward nothing, and lose nothing, until ``release``."""
        self._hold_count += 1
        self._flowing.clear()

    def release(self) -> None:
        """End one ``hold``; with the last one, forward what was held."""
        self._hold_count -= 1
        if not self._hold_count:
            self._flowing.set()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if fault_plan.LinkFault.RESET in self._faults:
            _reset(writer)
            return
        try:
            upstream = await asyncio.open_connection(
                "127.0.0.1", self.target_port, limit=READ_BYTES
            )
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, upstream[1]}
        drop_to_server = frozenset(
            (
                fault_plan.LinkFault.DROP_TO_SERVER,
                fault_plan.LinkFault.DROP_BOTH,
            )
        )
        drop_from_server = frozenset(
            (
                fault_plan.LinkFault.DROP_FROM_SERVER,
                fault_plan.LinkFault.DROP_BOTH,
            )
        )
        for source, sink, drop_faults in (
            (reader, upstream[1], drop_to_server),
            (upstream[0], writer, drop_from_server),
        ):
            self._spawn(self._pump(source, sink, drop_faults))

    def _spawn(self, coro: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        drop_faults: frozenset[fault_plan.LinkFault],
    ) -> None:
        """Copy data until its end; drop all of it after a first loss.

        :param drop_faults: faults under which this direction loses data.
        """
        dropping = False
        try:
            while data := await source.read(READ_BYTES):
                dropping = dropping or bool(
                    drop_faults.intersection(self._faults)
                )
                if dropping:
                    continue
                if fault_plan.LinkFault.DELAY in self._faults:
                    await asyncio.sleep(DELAY)
                await self._flowing.wait()
                sink.write(data)
                await sink.drain()
            if not dropping:
                await self._flowing.wait()
                sink.close()
        except OSError:
            _reset(sink)
        finally:
            self._writers.discard(sink)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
