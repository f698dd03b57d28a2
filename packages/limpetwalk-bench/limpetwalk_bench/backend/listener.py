"""HTTP listener that can crash, restart, freeze or silence connections."""

import asyncio
import contextlib
from typing import Any
import uuid

from aiohttp import web


class Listener:
    """Listener of a stand-in.

    :param app: application that it serves.
    :param host: IP number to listen on.
    :param port: TCP port, 0 for any; a restart listens on the same one.
    """

    def __init__(self, app: web.Application, host: str, port: int) -> None:
        self.app = app
        self.host = host
        self.port = port
        self.boot_id = uuid.uuid4().hex
        self._runner: web.AppRunner | None = None
        self._server: asyncio.Server | None = None
        self._silenced: set[int] = set()
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()

    @property
    def is_listening(self) -> bool:
        """Whether the listener accepts connections."""
        return self._server is not None

    async def start(self) -> None:
        """Start listening."""
        if self._runner is None:
            self._runner = web.AppRunner(
                self.app, handler_cancellation=True, access_log=None
            )
            await self._runner.setup()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._runner.server,  # type: ignore[arg-type]
            self.host,
            self.port,
            reuse_address=True,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Refuse new connections and abort the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for transport in self._connections():
            transport.abort()
        self._silenced.clear()
        self._unfrozen.set()

    async def restart(self) -> None:
        """Listen again on the same port with a new boot id."""
        self.crash()
        self.boot_id = uuid.uuid4().hex
        await self.start()

    def renew_boot(self) -> None:
        """Change the boot id without closing connections."""
        self.boot_id = uuid.uuid4().hex

    def silence(self) -> int:
        """Send nothing more on the connections that are open now.

        :returns: number of connections.
        """
        silenced = {id(transport) for transport in self._connections()}
        self._silenced |= silenced
        return len(silenced)

    def freeze(self, frozen: bool) -> None:
        """Accept connections without answering, or answer again."""
        if frozen:
            self._unfrozen.clear()
        else:
            self._unfrozen.set()

    @property
    def frozen(self) -> bool:
        """Whether the listener accepts connections without answering."""
        return not self._unfrozen.is_set()

    async def wait_until_unblocked(self, req: web.BaseRequest) -> None:
        """Wait while a request's connection is silenced or all are frozen.

        A silenced connection is never unblocked.
        """
        if id(req.transport) in self._silenced:
            await asyncio.Event().wait()
        if not self._unfrozen.is_set():
            await self._unfrozen.wait()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._runner is not None:
            with contextlib.suppress(asyncio.TimeoutError):
                await self._runner.cleanup()

    def _connections(self) -> list[Any]:
        if self._runner is None or self._runner.server is None:
            return []
        handlers = self._runner.server.connections
        transports = [handler.transport for handler in handlers]
        return [transport for transport in transports if transport is not None]
