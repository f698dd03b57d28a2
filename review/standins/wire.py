"""HTTP/1.1 of the stand-ins, on asyncio's streams."""

import asyncio
from dataclasses import dataclass
from dataclasses import field


@dataclass
class Message:
    """Request or response; ``first`` is its first line."""

    first: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True
    events: list[bytes] = field(default_factory=list)

    @property
    def target(self) -> str:
        return self.first.split(" ")[1]

    @property
    def method(self) -> str:
        return self.first.split(" ")[0]

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the first line and headers, None when the peer has closed."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def _read_chunks(reader: asyncio.StreamReader):
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"x", 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield data


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return a complete request, None when the peer has closed."""
    message = await read_head(reader)
    if message is None:
        return None
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = b"".join([data async for data in _read_chunks(reader)])
    else:
        size = int(message.headers.get("content-length", 0))
        message.body = await reader.readexactly(size)
    return message


async def read_response(reader: asyncio.StreamReader) -> Message:
    """Return a response; ``complete`` tells whether its body was whole.

    :raises EOFError: when the connection closed before a head.
    """
    message = await read_head(reader)
    if message is None:
        raise EOFError("closed without an answer")
    body = bytearray()
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            async for data in _read_chunks(reader):
                body += data
        elif "content-length" in message.headers:
            size = int(message.headers["content-length"])
            while len(body) < size:
                data = await reader.read(size - len(body))
                if not data:
                    raise EOFError
                body += data
        else:
            while data := await reader.read(65536):
                body += data
    except (OSError, EOFError, ValueError):
        message.complete = False
    message.body = bytes(body)
    return message


def response(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Return a request with a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
