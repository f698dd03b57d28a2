"""Rating service client over HTTP with JSON bodies."""

import asyncio
import dataclasses

import aiohttp
import pydantic

from .. import exceptions
from .. import registry
from . import base
from . import http
from . import settings


class _ScoreResponse(pydantic.BaseModel):
    score: float = pydantic.Field(ge=0.0, le=1.0, allow_inf_nan=False)


@registry.register(registry.Kind.RATING_SERVICE, "http")
class HttpRatingService:
    """Rating service that scores answers posted to it.

    :param cfg: settings of the rating service.
    """

    def __init__(self, cfg: settings.RatingSettings) -> None:
        self._cfg = cfg
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Create the HTTP session; no connection is opened yet."""
        self._session = http.open_session()

    async def rate(self, req: base.RatingRequest, timeout: float) -> float:
        """Return a score from 0.0 to 1.0."""
        assert self._session is not None
        try:
            async with self._session.post(
                self._cfg.url,
                json=dataclasses.asdict(req),
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as resp:
                resp.raise_for_status()
                body = await resp.read()
            return _ScoreResponse.model_validate_json(body).score
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            pydantic.ValidationError,
        ) as exc:
            reason = str(exc) or type(exc).__name__
            raise exceptions.RatingUnavailable(reason) from exc

    async def close(self) -> None:
        """Release connections."""
        if self._session is not None:
            await self._session.close()
