"""Fault switches of a stand-in service, applied to each HTTP request."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum
import random

from aiohttp import web
import pydantic

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ServiceName(enum.Enum):
    """Services of the platform."""

    TABLE = "table"
    OBJECTS = "objects"
    INSTANCES = "instances"
    RATINGS = "ratings"
    WEIGHTS = "weights"


class Switches(pydantic.BaseModel):
    """Faults of one service; each field may be set on its own.

    :param down: whether nothing listens and open connections are cut.
    :param slow: seconds that each request waits before it takes effect; it
        takes effect even when the client has gone.
    :param slow_answer: seconds between the effect and the answer.
    :param apply_then_drop: share of writes that apply and whose connection
        is then cut.
    :param refuse: share of requests answered 503 without effect.
    :param error: share of requests answered 500 after their effect.
    :param malformed: share of answers replaced by text that is none.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    down: bool = False
    slow: float = pydantic.Field(0.0, ge=0.0)
    slow_answer: float = pydantic.Field(0.0, ge=0.0)
    apply_then_drop: float = pydantic.Field(0.0, ge=0.0, le=1.0)
    refuse: float = pydantic.Field(0.0, ge=0.0, le=1.0)
    error: float = pydantic.Field(0.0, ge=0.0, le=1.0)
    malformed: float = pydantic.Field(0.0, ge=0.0, le=1.0)


class FaultyService:
    """Wraps the requests of one service in its faults and counts them.

    :param rng: source of the decisions for shares between 0 and 1.
    :param refuse: makes the answer to a request that is refused.
    """

    def __init__(
        self,
        rng: random.Random,
        refuse: Callable[[], web.Response] | None = None,
    ) -> None:
        self.switches = Switches()
        # Awaited before each effect; tests in this process hold it.
        self.before_effect: Callable[[], Awaitable[None]] | None = None
        self.counts: dict[str, int] = {}
        self._rng = rng
        self._refuse = refuse or refuse_plainly

    def count(self, operation: str) -> None:
        """Count one operation that reached the service."""
        self.counts[operation] = self.counts.get(operation, 0) + 1

    async def handle(
        self, req: web.Request, write: bool, handler: Handler
    ) -> web.StreamResponse:
        """Answer a request by a handler, with the faults switched on.

        :param write: whether the request may change something.
        """
        if self.switches.slow:
            await asyncio.sleep(self.switches.slow)
        if self.before_effect is not None:
            await self.before_effect()
        if self._hit(self.switches.refuse):
            self.count("refused")
            return self._refuse()
        answer = await handler(req)
        if self.switches.slow_answer:
            await asyncio.sleep(self.switches.slow_answer)
        if write and self._hit(self.switches.apply_then_drop):
            self.count("dropped")
            if req.transport is not None:
                req.transport.abort()
        if self._hit(self.switches.error):
            return web.Response(status=500, text="internal error")
        if self._hit(self.switches.malformed):
            return web.Response(text="<not what was asked for")
        return answer

    def _hit(self, share: float) -> bool:
        return share > 0.0 and self._rng.random() < share


def refuse_as_s3() -> web.Response:
    """Return the refusal of an S3 service that takes no work now."""
    return web.Response(
        status=503,
        content_type="application/xml",
        text="<Error><Code>SlowDown</Code><Message>refused</Message></Error>",
    )


def refuse_as_dynamodb() -> web.Response:
    """Return the refusal of a DynamoDB service that takes no work now."""
    return web.json_response(
        {"__type": "com.amazon.coral.availability#ServiceUnavailable"},
        status=503,
    )


def refuse_plainly() -> web.Response:
    """Return the refusal of a service without a protocol for it."""
    return web.Response(status=503, text="refused")
