"""One TCP connection to a peer."""

import asyncio

from .. import clock as clocks
from . import codec

SEND_BUFFER_BYTES = 4 * 1024 * 1024


class Link:
    """Connection to a peer, which carries frames both ways.

    Frames go straight into the transport, whose buffer is the send queue;
    a frame that would make it longer than ``SEND_BUFFER_BYTES`` is dropped.

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
        self.heard_at = clock.monotonic()
        self.bytes_in = 0
        self.bytes_out = 0

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
        self.bytes_out += len(frame)
        return True

    async def read(self) -> bytes:
        """Return the next frame without its length.

        :raises MalformedFrame: when its length is out of bounds.
        :raises asyncio.IncompleteReadError: when the connection ended.
        :raises OSError: when the connection broke.
        """
        head = await self._reader.readexactly(codec.LENGTH_BYTES)
        size_bytes = int.from_bytes(head, "little")
        if not 0 < size_bytes <= codec.MAX_FRAME_BYTES:
            raise codec.MalformedFrame(f"frame of {size_bytes} bytes")
        data = await self._reader.readexactly(size_bytes)
        self.heard_at = self._clock.monotonic()
        self.bytes_in += codec.LENGTH_BYTES + size_bytes
        return data

    def close(self) -> None:
        """Drop the connection and what is queued on it."""
        self.closed = True
        self._writer.transport.abort()
