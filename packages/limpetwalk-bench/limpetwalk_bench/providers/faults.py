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
    """Faults of one service; each field may be set separately.

    :param down: whether the port is closed and open connections are aborted.
    :param slow: seconds that each request waits before it takes effect; it
        takes effect even when the client has disconnected.
    :param slow_answer: seconds between the effect and the answer.
    :param apply_then_drop: share of writes that apply and whose connection
        is then aborted.
    :param refuse: share of requests answered 503 without effect.
    :param error: share of requests answered 500 after their effect.
    :param malformed: share of answers replaced by malformed text.
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
    """Applies the faults of one service to its requests and counts them.

    :param rng: random source of the decisions for shares.
    :param refuse: creates the answer to a refused request; None for a
        plain text.
    """

    def __init__(
        self,
        rng: random.Random,
        refuse: Callable[[], web.Response] | None = None,
    ) -> None:
        self.switches = Switches()
        # Awaited before a request takes effect; tests in this process use it
        # to delay requests.
        self.before_effect: Callable[[], Awaitable[None]] | None = None
        self.counts: dict[str, int] = {}
        self._rng = rng
        self._refuse = refuse or refuse_as_text

    def count(self, operation: str) -> None:
        """Count one operation that reached the service."""
        self.counts[operation] = self.counts.get(operation, 0) + 1

    async def handle(
        self, req: web.Request, write: bool, handler: Handler
    ) -> web.StreamResponse:
        """Answer a request by a handler and apply the active faults.

        :param write: whether the request may change data.
        :param handler: applies the request and returns the answer.
        """
        if self.switches.slow:
            await asyncio.sleep(self.switches.slow)
        if self.before_effect is not None:
            await self.before_effect()
        if self._happens(self.switches.refuse):
            self.count("refused")
            return self._refuse()
        answer = await handler(req)
        if self.switches.slow_answer:
            await asyncio.sleep(self.switches.slow_answer)
        if write and self._happens(self.switches.apply_then_drop):
            self.count("dropped")
            if req.transport is not None:
                req.transport.abort()
        if self._happens(self.switches.error):
            return web.Response(status=500, text="internal error")
        if self._happens(self.switches.malformed):
            return web.Response(text="<not what was asked for")
        return answer

    def _happens(self, share: float) -> bool:
        return share > 0.0 and self._rng.random() < share


def refuse_as_s3() -> web.Response:
    """Return the answer of an S3 service that refuses a request."""
    return web.Response(
        status=503,
        content_type="application/xml",
        text="<Error><Code>SlowDown</Code><Message>refused</Message></Error>",
    )


def refuse_as_dynamodb() -> web.Response:
    """Return the answer of a DynamoDB service that refuses a request."""
    return web.json_response(
        {"__type": "com.amazon.coral.availability#ServiceUnavailable"},
        status=503,
    )


def refuse_as_text() -> web.Response:
    """Return a refusal in plain text, for services without an error format."""
    return web.Response(status=503, text="refused")
