"""HTTP listeners of the node as aiomisc services."""

import socket
from typing import Any

from aiohttp import web
import aiomisc
from aiomisc.service import aiohttp as aiomisc_aiohttp

from . import settings
from .api import caller_api
from .api import server
from .operations import operator_api

# Maximum number of connections that wait to be accepted.
BACKLOG = 1024
# Seconds that open connections get to finish when the listener closes.
CLOSE_TIMEOUT = 2.0


def bind(listener: settings.Listener) -> socket.socket:
    """Return a TCP socket bound to the address of a listener."""
    return aiomisc.bind_socket(
        address=str(listener.host), port=listener.port, reuse_port=False
    )


class CallersListener(aiomisc.Service):
    """Serves the callers' API."""

    __required__ = ("sock", "api")

    sock: socket.socket
    api: caller_api.CallerApi

    async def start(self) -> None:
        """Start to accept connections."""
        web_server = server.TypedErrorServer(
            self.api.handle, self.api.refuse_unreadable
        )
        self._runner = web.ServerRunner(
            web_server, shutdown_timeout=CLOSE_TIMEOUT
        )
        await self._runner.setup()
        site = web.SockSite(self._runner, self.sock, backlog=BACKLOG)
        await site.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Close the listener and its remaining connections."""
        await self._runner.cleanup()


class OperatorsListener(aiomisc_aiohttp.AIOHTTPService):
    """Serves the operators' interface."""

    __required__ = ("interface",)

    interface: operator_api.OperatorApi

    async def create_application(self) -> web.Application:
        """Return the web application of the operators' interface."""
        return self.interface.application()
