"""Path from one entry node to one backend server, which can be cut."""

import asyncio
import contextlib
import socket

from ..site import ports
from . import fault_plan
from . import proxy

BACKLOG = 100
# Connections that fill a backlog of zero; the kernel completes the first and
# leaves the others, and all later ones, without an answer.
FILLER_COUNT = 3


class NodeLink(proxy.Proxy):
    """Proxy that is reached by one node only.

    :param host: loopback address of the node.
    :param port: loopback port of the listener that it leads to.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__(port)
        self._host = host
        self._cuts: list[fault_plan.LinkCut] = []
        self._listener = socket.socket()
        self._fillers: list[socket.socket] = []

    @property
    def address(self) -> str:
        """Address that the node connects to."""
        return f"{self._host}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port of the node's address."""
        (self.port,) = ports.free_ports(1, self._host)
        self._listener.setblocking(False)
        # A socket that shutdown() stops from listening keeps its port only
        # if it was bound to it explicitly.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((self._host, self.port))
        self._update_listener()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._stop_accepting()
        self._listener.close()
        await super().stop()

    def cut(self, cut: fault_plan.LinkCut) -> None:
        """Cut the path; each cut needs its own ``restore``."""
        self._cuts.append(cut)
        if cut is fault_plan.LinkCut.HANG:
            self.hold()
        elif cut is fault_plan.LinkCut.RESET:
            self.reset_connections()
        self._update_listener()

    def restore(self, cut: fault_plan.LinkCut) -> None:
        """End a cut; connections that hang go on."""
        self._cuts.remove(cut)
        if cut is fault_plan.LinkCut.HANG:
            self.release()
        self._update_listener()

    def _update_listener(self) -> None:
        self._stop_accepting()
        if fault_plan.LinkCut.HANG in self._cuts:
            self._listener.listen(0)
            self._fill_backlog()
        elif self._cuts:
            self._listener.listen(0)
            self._listener.shutdown(socket.SHUT_RD)
        else:
            self._listener.listen(BACKLOG)
            loop = asyncio.get_running_loop()
            loop.add_reader(self._listener, self._accept)

    def _stop_accepting(self) -> None:
        asyncio.get_running_loop().remove_reader(self._listener)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            conn, _ = self._listener.accept()
            self._spawn(self._serve_socket(conn))

    async def _serve_socket(self, conn: socket.socket) -> None:
        conn.setblocking(False)
        reader, writer = await asyncio.open_connection(
            sock=conn, limit=proxy.READ_BYTES
        )
        await self._serve(reader, writer)

    def _fill_backlog(self) -> None:
        for _ in range(FILLER_COUNT):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self.port))
            self._fillers.append(filler)
