"""Weight store stand-in: S3 reads with a rate limit."""

from aiohttp import web

from limpetwalk import clock as clocks

from . import faults
from . import objects

DEFAULT_READS_PER_SECOND = 2.0
DEFAULT_SIZE_BYTES = 65536


class WeightService:
    """Rate-limited weight store that has weights under every name.

    :param service: faults and counts of the service.
    :param clock: clock of the rate limit.
    """

    def __init__(
        self, service: faults.FaultyService, clock: clocks.Clock
    ) -> None:
        self.rate = DEFAULT_READS_PER_SECOND
        self._service = service
        self._clock = clock
        self._tokens = 1.0
        self._filled_at = clock.monotonic()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service."""
        return [web.get("/{bucket}/{name:.+}", self._get, allow_head=False)]

    async def _get(self, req: web.Request) -> web.StreamResponse:
        self._service.count("GetObject")

        async def apply(_: web.Request) -> web.StreamResponse:
            if not self._admit():
                self._service.count("SlowDown")
                return objects.error(503, "SlowDown")
            return web.Response(body=bytes(DEFAULT_SIZE_BYTES))

        return await self._service.handle(req, False, apply)

    def _admit(self) -> bool:
        now = self._clock.monotonic()
        burst = max(1.0, self.rate)
        refilled = self._tokens + (now - self._filled_at) * self.rate
        self._tokens = min(burst, refilled)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
