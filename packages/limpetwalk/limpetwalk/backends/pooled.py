"""What the clients of all backend servers share."""

from .. import clock as clocks
from ..conf import snapshot
from . import base
from . import pool


class PooledClient:
    """Client whose requests go through a pool of connections.

    :param server: backend server.
    :param tuning: timeouts.
    :param clock: source of time; None takes the machine's.
    """

    def __init__(
        self,
        server: snapshot.Server,
        tuning: snapshot.Tuning,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._tuning = tuning
        self._clock = clock or clocks.SystemClock()
        self._pool = pool.Pool(server.address, tuning.connect_timeout)

    @property
    def boot_id(self) -> str:
        """Boot id that the server last showed, empty when unknown."""
        return self._pool.boot_id

    async def fetch_load(self) -> base.LoadReport:
        """Return the server's load report.

        :raises AttemptFailed: when it does not answer.
        """
        return await self._pool.get_load()

    async def close(self) -> None:
        """Close connections."""
        await self._pool.close()
