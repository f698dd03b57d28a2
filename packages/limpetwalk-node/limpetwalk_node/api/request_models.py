"""Models of callers' request bodies, validated before anything is run."""

import json
from typing import Any
from typing import TypeVar

import pydantic

from limpetwalk import refusals

CLASS_LENGTH_LIMIT = 64
DEFAULT_CLASS = "default"

Model = TypeVar("Model", bound=pydantic.BaseModel)


class _OpenModel(pydantic.BaseModel):
    """Model that keeps unknown fields."""

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)


class Message(_OpenModel):
    """Message of a chat; unknown fields are forwarded."""

    role: str
    content: str | list[dict[str, Any]] | None = None

    @property
    def text(self) -> str:
        """Text of the message, without parts of other kinds."""
        if isinstance(self.content, str):
            return self.content
        parts = (part.get("text") for part in self.content or ())
        return "\n".join(part for part in parts if isinstance(part, str))


class StreamOptions(_OpenModel):
    """Options of a streamed answer."""

    include_usage: bool = False


class ChatRequest(_OpenModel):
    """Body of ``POST /v1/chat/completions``.

    :param n: number of requested answers; the router only gives one.
    """

    model: str = pydantic.Field(min_length=1, max_length=256)
    messages: list[Message] = pydantic.Field(min_length=1)
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    max_completion_tokens: int | None = pydantic.Field(default=None, ge=1)
    n: int | None = pydantic.Field(default=None, ge=1, le=1)
    metadata: dict[str, Any] | None = None

    @property
    def question(self) -> str:
        """Text of the last user message, else of the last message."""
        for message in reversed(self.messages):
            if message.role == "user":
                return message.text
        return self.messages[-1].text

    def request_class(self, header: str | None) -> str:
        """Return the request class set by the caller, or the default.

        :param header: value of ``X-Request-Class``, which takes precedence
            over the metadata.
        """
        request_class = header or (self.metadata or {}).get("request_class")
        if not isinstance(request_class, str) or not request_class:
            return DEFAULT_CLASS
        return request_class[:CLASS_LENGTH_LIMIT]


class SessionRequest(pydantic.BaseModel):
    """Body of ``POST /v1/sessions``; empty for all models."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    model: str | None = None


def parse(model: type[Model], data: dict[str, Any]) -> Model:
    """Return a validated model.

    :raises Refused: when the data is not valid; the message has the first
        findings and the number of further ones.
    """
    try:
        return model.model_validate(data)
    except pydantic.ValidationError as exc:
        findings = exc.errors(include_url=False, include_input=False)
        summary = "; ".join(
            f"{'.'.join(map(str, error['loc']))}: {error['msg']}"
            for error in findings[:5]
        )
        more = f"; and {len(findings) - 5} more" if len(findings) > 5 else ""
        raise malformed(f"The body does not fit: {summary}{more}.") from None


def parse_json(body: bytes) -> dict[str, Any]:
    """Return the JSON object of a body.

    :raises Refused: when the body is not a JSON object.
    """
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as exc:
        detail = str(exc)[:200].encode("ascii", "replace").decode()
        raise malformed(f"The body is not JSON: {detail}.") from None
    if not isinstance(data, dict):
        raise malformed("The body is JSON but not an object.")
    return data


def malformed(message: str) -> refusals.Refused:
    """Return the refusal of a malformed body."""
    return refusals.Refused(
        refusals.Refusal(
            refusals.Reason.MALFORMED_BODY,
            refusals.RunState.NOT_RUN,
            400,
            message,
        )
    )
