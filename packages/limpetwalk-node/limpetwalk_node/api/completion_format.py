"""Format of chat completions, complete and as server-sent events."""

import json
from typing import Any

from limpetwalk import refusals
from limpetwalk.backends import base as backends
from limpetwalk.routing import answers

from . import errors

DONE = b"data: [DONE]\n\n"


class CompletionFormatter:
    """Formats the response to one chat completion request.

    :param request_id: identifier of the request.
    :param model: requested public model name.
    :param created: Unix time in seconds.
    """

    def __init__(self, request_id: str, model: str, created: int) -> None:
        self._request_id = request_id
        self._model = model
        self._created = created

    def full_body(self, text: str, answered: answers.Answered) -> bytes:
        """Return the JSON body of a complete answer."""
        body = self._base("chat.completion")
        message = {"role": "assistant", "content": text}
        body["choices"] = [
            {
                "index": 0,
                "message": message,
                "finish_reason": answered.reason,
            }
        ]
        body["usage"] = _usage(answered.usage)
        body["limpetwalk"] = _origin(answered)
        return json.dumps(body).encode()

    def first_event(self) -> bytes:
        """Return the first event of a stream, which has the role."""
        return self._chunk({"role": "assistant", "content": ""}, None)

    def delta_event(self, text: str) -> bytes:
        """Return the event of a piece of text of the answer."""
        return self._chunk({"content": text}, None)

    def final_events(
        self, answered: answers.Answered, include_usage: bool
    ) -> bytes:
        """Return the last events of a stream with a complete answer.

        :param include_usage: whether the caller requested token counts.
        """
        events = self._chunk({}, answered.reason, _origin(answered))
        if include_usage:
            body = self._base("chat.completion.chunk")
            body["choices"] = []
            body["usage"] = _usage(answered.usage)
            events += _event(body)
        return events + DONE

    def error_event(self, refusal: refusals.Refusal) -> bytes:
        """Return the event that ends a stream whose answer is incomplete."""
        return _event(errors.error_body(refusal, self._request_id))

    def _base(self, kind: str) -> dict[str, Any]:
        return {
            "id": f"chatcmpl-{self._request_id}",
            "object": kind,
            "created": self._created,
            "model": self._model,
        }

    def _chunk(
        self,
        delta: dict[str, str],
        reason: str | None,
        origin: dict[str, Any] | None = None,
    ) -> bytes:
        body = self._base("chat.completion.chunk")
        body["choices"] = [
            {"index": 0, "delta": delta, "finish_reason": reason}
        ]
        if origin is not None:
            body["limpetwalk"] = origin
        return _event(body)


def _event(body: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(body).encode() + b"\n\n"


def _usage(usage: backends.Usage) -> dict[str, int]:
    return {
        "prompt_tokens": usage.input_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.input_tokens + usage.output_tokens,
    }


def _origin(answered: answers.Answered) -> dict[str, Any]:
    return {
        "model": answered.target.model,
        "version": answered.target.version,
        "steps": [f"{step.model}:{step.version}" for step in answered.steps],
    }
