"""Listener of one stand-in service that can be stopped and restarted."""

import asyncio
import socket

from aiohttp import web

HOST = "127.0.0.1"
BODY_LIMIT_BYTES = 64 * 1024 * 1024


class Listener:
    """HTTP listener that uses the same port again after a stop.

    :param routes: routes that it serves.
    :param port: TCP port; 0 lets the system choose.
    """

    def __init__(self, routes: list[web.RouteDef], port: int) -> None:
        self.port = port
        self._routes = routes
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start listening, unless it listens already."""
        if self._runner is not None:
            return
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        app.add_routes(self._routes)
        runner = web.AppRunner(
            app, access_log=None, handle_signals=False, shutdown_timeout=0.1
        )
        await runner.setup()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, self.port))
        self.port = sock.getsockname()[1]
        await web.SockSite(runner, sock).start()
        self._runner = runner

    async def stop(self) -> None:
        """Stop listening and abort the open connections."""
        runner = self._runner
        self._runner = None
        if runner is None:
            return
        assert runner.server is not None
        for connection in runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.shield(runner.cleanup())
