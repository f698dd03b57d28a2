"""Connections of callers that a node keeps open at once.

Serves callers that open more connections than a node has descriptors or
memory for. A connection whose caller sends on and on behind a request gives
way to a new one, or that which has been idle for longest. One that just waits
for an answer never does.
"""

from collections.abc import Callable
import itertools
from typing import Protocol

# Descriptors that are left for files, and the share of the others that
# callers may take: each request needs another one for its server.
FILE_DESCRIPTORS = 200
DESCRIPTORS_SHARE = 0.45
# Memory that a connection may take for what has been received but not read,
# and for what its caller hasn't read, bytes; share of a process's memory for
# all of them.
CONNECTION_BYTES = 64 * 1024
MEMORY_SHARE = 0.3


class Connection(Protocol):
    """Connection of a caller."""

    def give_way(self) -> None:
        """Close the connection."""


def max_connections(descriptors: float, memory_bytes: float) -> float:
    """Return the largest number of connections of callers.

    :param descriptors: largest number of descriptors of the process.
    """
    return max(
        1.0,
        min(
            (descriptors - FILE_DESCRIPTORS) * DESCRIPTORS_SHARE,
            memory_bytes * MEMORY_SHARE / CONNECTION_BYTES,
        ),
    )


class ConnectionRoom:
    """Room for connections of callers.

    :param limit: returns the largest number of connections.
    :param yield_busy: called when no connection gives way. Ends a request
        that makes no progress, and returns whether there was one.
    """

    def __init__(
        self, limit: Callable[[], float], yield_busy: Callable[[], bool]
    ) -> None:
        self._limit = limit
        self._yield_busy = yield_busy
        self._open: set[Connection] = set()
        # Idle connections, that which has been idle for longest first.
        self._idle: dict[Connection, None] = {}
        # Those with too much behind a request, in the order in which they had.
        self._flooded: dict[Connection, None] = {}

    def try_add(self, conn: Connection) -> bool:
        """Add a connection, which is idle, if there is room for it."""
        if len(self._open) >= self._limit():
            if not self._close_one() and not self._yield_busy():
                return False
        self._open.add(conn)
        self._idle[conn] = None
        return True

    def record_busy(self, conn: Connection) -> None:
        """Record that a connection has a request under way."""
        self._idle.pop(conn, None)

    def record_flooded(self, conn: Connection) -> None:
        """Record that a caller has sent too much behind a request."""
        if conn in self._open:
            self._flooded[conn] = None

    def record_idle(self, conn: Connection) -> None:
        """Record that a connection has no request under way any more."""
        if conn not in self._open:
            return
        self._flooded.pop(conn, None)
        self._idle[conn] = None
        if len(self._open) > self._limit():
            self._close_one()

    def discard(self, conn: Connection) -> None:
        """Stop counting a connection that was closed."""
        self._open.discard(conn)
        self._flooded.pop(conn, None)
        self._idle.pop(conn, None)

    def _close_one(self) -> bool:
        """Close a connection that gives way, if there is one."""
        for conn in itertools.chain(self._flooded, self._idle):
            self.discard(conn)
            conn.give_way()
            return True
        return False
