"""Stand-in of a backend server that breaks HTTP in ways that a library won't.

It answers each request with given bytes, and may go on sending.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import h11

MAX_HEAD_BYTES = 64 * 1024

Script = Callable[["Connection"], Awaitable[None]]


@dataclass
class Connection:
    """Connection of a caller, with its request.

    :param headers: headers of the request, with names in lower case.
    """

    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    async def send(self, data: bytes) -> None:
        """Send bytes, and wait while the caller doesn't read.

        :raises ConnectionError: when the caller has closed the connection.
        """
        self.writer.write(data)
        await self.writer.drain()

    async def send_without_end(self, data: bytes, pause: float = 0.0) -> None:
        """Send bytes again and again until the caller closes.

        :param pause: seconds between two sends.
        """
        while True:
            await self.send(data)
            await asyncio.sleep(pause)

    def head(self, *lines: str, server: str = "", status: int = 200) -> bytes:
        """Return the head of an answer to the request.

        :param lines: additional header lines.
        :param server: name of the server in the seal.
        """
        usual = [
            f"HTTP/1.1 {status} OK",
            f"Attempt-Id: {self.headers.get('attempt-id', '')}",
            f"Server-Seal: seal-{server}",
        ]
        return "\r\n".join([*usual, *lines, "", ""]).encode()


@dataclass
class RawServer:
    """Server whose answers are scripts.

    :param script: sends the answer to a request.
    :param requests: number of requests that were read.
    :param closed: number of connections that callers have closed.
    """

    script: Script
    requests: int = 0
    closed: int = 0
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> int:
        """Listen on a free port, and return it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening, and end all answers."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            # Keeps the memory of many endless answers out of this process.
            writer.transport.set_write_buffer_limits(high=0)
            conn = await _read_request(reader, writer)
            self.requests += 1
            await self.script(conn)
        except ConnectionError:
            self.closed += 1
        except asyncio.CancelledError:
            # ``stop`` ends this answer.
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


async def _read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Connection:
    parser = h11.Connection(h11.SERVER)
    headers: dict[str, str] = {}
    body = b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(MAX_HEAD_BYTES)
            if not data:
                raise ConnectionResetError("closed before the request's end")
            parser.receive_data(data)
        elif isinstance(event, h11.Request):
            headers = {
                name.decode(): value.decode() for name, value in event.headers
            }
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return Connection(headers, body, writer)
