"""Base class of backend clients that use a pool of connections."""

from .. import clock as clocks
from ..conf import snapshot
from . import base
from . import pool


class PooledClient:
    """Client that sends its requests over a pool of connections.

    :param server: backend server.
    :param tuning: time-outs.
    :param clock: source of time; None means the system clock.
    """

    def __init__(
        self,
        server: snapshot.Server,
        tuning: snapshot.Tuning,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._tuning = tuning
        self._clock = clock or clocks.SystemClock()
        self._pool = pool.ConnectionPool(
            server.address, tuning.connect_timeout
        )

    @property
    def boot_id(self) -> str:
        """Boot id in the server's latest response; empty when unknown."""
        return self._pool.boot_id

    async def fetch_load(self) -> base.LoadReport:
        """Return the server's load report.

        :raises AttemptFailed: when the server sends no valid report.
        """
        return await self._pool.fetch_load()

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()
