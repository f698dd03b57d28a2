"""Rating service stand-in with a hidden quality per version."""

import random
import re

from aiohttp import web
import pydantic

from . import faults

DEFAULT_QUALITY = 0.8
DEFAULT_SPREAD = 0.1
# The engine stand-in writes the hidden quality of an answer into its text.
QUALITY_MARKER = re.compile(r"\[q(?:uality)?=(\d+(?:\.\d+)?)\]")


class Question(pydantic.BaseModel):
    """Question and answer to be scored."""

    request_id: str
    request_class: str
    model: str
    version: str
    question: str
    answer: str


class Quality(pydantic.BaseModel):
    """Mean score of the answers of a version to a class of requests.

    :param subject: ``model:version``, or ``*`` for all others.
    :param request_class: class of requests, or ``*`` for all others.
    :param mean: mean score, 0.0 to 1.0.
    :param spread: standard deviation.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    subject: str
    request_class: str = "*"
    mean: float = pydantic.Field(ge=0.0, le=1.0)
    spread: float = pydantic.Field(DEFAULT_SPREAD, ge=0.0)


class RatingStandIn:
    """Rating service.

    :param service: faults and counts of the service.
    :param seed: seed of the scores; a request always gets the same score.
    """

    def __init__(self, service: faults.FaultyService, seed: int) -> None:
        self.bias = 0.0
        self._service = service
        self._seed = seed
        self._qualities: dict[tuple[str, str], Quality] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service."""
        return [web.post("/rate", self._rate)]

    def update(self, qualities: list[Quality]) -> None:
        """Set the hidden quality of versions."""
        for quality in qualities:
            key = (quality.subject, quality.request_class)
            self._qualities[key] = quality

    def score(self, question: Question) -> float:
        """Return the score of an answer, 0.0 to 1.0."""
        stated = QUALITY_MARKER.search(question.answer)
        if stated is not None:
            return self._clip(float(stated.group(1)))
        quality = self._quality(question)
        subject = f"{question.model}:{question.version}"
        rng = random.Random(f"{self._seed}/{question.request_id}/{subject}")
        return self._clip(rng.gauss(quality.mean, quality.spread))

    def _clip(self, score: float) -> float:
        return min(1.0, max(0.0, score + self.bias))

    def _quality(self, question: Question) -> Quality:
        subject = f"{question.model}:{question.version}"
        for key in (
            (subject, question.request_class),
            (subject, "*"),
            ("*", question.request_class),
            ("*", "*"),
        ):
            if key in self._qualities:
                return self._qualities[key]
        return Quality(subject="*", mean=DEFAULT_QUALITY)

    async def _rate(self, req: web.Request) -> web.StreamResponse:
        self._service.count("rate")
        body = await req.read()

        async def apply(_: web.Request) -> web.StreamResponse:
            try:
                question = Question.model_validate_json(body)
            except pydantic.ValidationError as exc:
                return web.Response(status=400, text=str(exc))
            return web.json_response({"score": self.score(question)})

        return await self._service.handle(req, False, apply)
