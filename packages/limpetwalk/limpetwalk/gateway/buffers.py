"""Memory of a node for bodies and events that are not complete yet.

Serves servers and callers that send without end: each item has a size limit,
and all items of the node share one budget. When the budget is used up, the
largest item gives way, so that items of ordinary size are not affected.
"""

from collections.abc import Callable
from dataclasses import dataclass

KIB = 1024
MIB = 1024 * KIB


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits of a server's response.

    :param head_bytes: maximum size of the status line and headers, and of the
        part of a chunked body that is not data (chunk header, trailers).
    :param informational: maximum number of 1xx responses before the response.
    :param body_bytes: maximum size of a plain response's body.
    :param event_bytes: maximum size of an event of a stream, and of the
        comments and repeated events between two new ones.
    """

    head_bytes: int = 64 * KIB
    informational: int = 16
    body_bytes: int = 4 * MIB
    event_bytes: int = 256 * KIB


class LimitExceeded(Exception):
    """A response or request is larger than allowed.

    :param limit: name of the limit, as in the metrics.
    """

    def __init__(self, limit: str, detail: str) -> None:
        super().__init__(detail)
        self.limit = limit


class BufferBudget:
    """Budget shared by all incomplete bodies and events of a node.

    :param limit_bytes: maximum size of all of them together.
    """

    def __init__(self, limit_bytes: int = 8 * MIB) -> None:
        self._limit_bytes = limit_bytes
        self._held: set[Buffer] = set()
        self.total_bytes = 0

    def open(self, max_bytes: int, on_evict: Callable[[], None]) -> "Buffer":
        """Return an empty buffer.

        :param max_bytes: maximum size of the buffer.
        :param on_evict: called when the buffer gives way to others.
        """
        buffer = Buffer(self, max_bytes, on_evict)
        self._held.add(buffer)
        return buffer

    def _resize(self, buffer: "Buffer", change: int) -> None:
        self.total_bytes += change
        while self.total_bytes > self._limit_bytes:
            max(self._held, key=lambda held: held.size).evict()

    def _remove(self, buffer: "Buffer") -> None:
        if buffer in self._held:
            self._held.remove(buffer)
            self.total_bytes -= buffer.size


class Buffer:
    """Incomplete body or event, which takes memory from a budget."""

    def __init__(
        self,
        budget: BufferBudget,
        max_bytes: int,
        on_evict: Callable[[], None],
    ) -> None:
        self._budget = budget
        self._max_bytes = max_bytes
        self._on_evict = on_evict
        self._data = bytearray()
        self._evicted = False

    def __enter__(self) -> "Buffer":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    @property
    def size(self) -> int:
        """Number of bytes held."""
        return len(self._data)

    def append(self, data: bytes) -> None:
        """Add bytes.

        :raises LimitExceeded: when the buffer has become too large, or has
            given way to others.
        """
        self.check()
        if self.size + len(data) > self._max_bytes:
            raise LimitExceeded(
                "size", f"larger than the limit of {self._max_bytes} bytes"
            )
        self._data += data
        self._budget._resize(self, len(data))
        self.check()

    def consume(self, size: int) -> bytes:
        """Remove and return the first bytes."""
        data = bytes(self._data[:size])
        del self._data[:size]
        self._budget._resize(self, -len(data))
        return data

    def view(self) -> bytearray:
        """Return the bytes held, which the caller must not change."""
        return self._data

    def evict(self) -> None:
        """Drop the bytes to make room for other buffers."""
        self.close()
        self._evicted = True
        self._on_evict()

    def check(self) -> None:
        """Check that the buffer has not given way to others.

        :raises LimitExceeded: when it has.
        """
        if self._evicted:
            raise LimitExceeded(
                "shared_memory",
                "largest incomplete body of a node whose memory for them is"
                " used up",
            )

    def close(self) -> None:
        """Return the memory to the budget."""
        self._budget._remove(self)
        self._data = bytearray()
