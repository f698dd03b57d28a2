"""A TCP connection to a peer."""

import asyncio

from .. import clock as clocks
from . import codec

SEND_BUFFER_BYTES = 4 * 1024 * 1024


class Link:
    """Connection to a peer that carries frames in both directions.

    Frames are written directly to the transport, whose buffer is the send
    queue. A frame that would make the buffer exceed ``SEND_BUFFER_BYTES`` is
    dropped, unless the buffer is empty.

    :param reader: stream of bytes from the peer.
    :param writer: stream of bytes to the peer.
    :param dialled: whether this node opened the connection.
    :param clock: source of time.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dialled: bool,
        clock: clocks.Clock,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._clock = clock
        self.dialled = dialled
        self.peer = ""
        self.closed = False
        self.last_received_at = clock.monotonic()
        self.bytes_received = 0
        self.bytes_sent = 0

    def write(self, frame: bytes) -> bool:
        """Queue a frame.

        :returns: False when the frame was dropped.
        """
        transport = self._writer.transport
        if transport.is_closing():
            return False
        queued_bytes = transport.get_write_buffer_size()
        if queued_bytes and queued_bytes + len(frame) > SEND_BUFFER_BYTES:
            return False
        self._writer.write(frame)
        self.bytes_sent += len(frame)
        return True

    async def read(self) -> bytes:
        """Return the next frame without its length prefix.

        :raises MalformedFrame: when the length is out of bounds.
        :raises asyncio.IncompleteReadError: when the peer closed the
            connection.
        :raises OSError: when the connection failed.
        """
        length_prefix = await self._reader.readexactly(codec.LENGTH_BYTES)
        size_bytes = int.from_bytes(length_prefix, "little")
        if not 0 < size_bytes <= codec.MAX_FRAME_BYTES:
            raise codec.MalformedFrame(
                f"frame length of {size_bytes} bytes, expected 1 to"
                f" {codec.MAX_FRAME_BYTES}"
            )
        data = await self._reader.readexactly(size_bytes)
        self.last_received_at = self._clock.monotonic()
        self.bytes_received += codec.LENGTH_BYTES + size_bytes
        return data

    def close(self) -> None:
        """Abort the connection; frames still in its buffer are lost."""
        self.closed = True
        self._writer.transport.abort()
