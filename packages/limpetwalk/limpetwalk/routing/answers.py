"""Requests for an answer of a cascade, and the events of answers."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..backends import base as backends
from ..conf import snapshot
from . import session_tokens


@dataclass(frozen=True, slots=True)
class AnswerRequest:
    """Request of a caller for an answer of a cascade.

    :param request_id: identifier of the request.
    :param workspace: name of the workspace.
    :param cascade: public model name that was requested.
    :param request_class: class that the caller gave the request.
    :param body: chat completion body as the caller sent it.
    :param question: text that is rated together with the answer.
    :param session: session that pins versions, or None.
    :param deadline: monotonic instant by which the answer must be complete.
    """

    request_id: str
    workspace: str
    cascade: str
    request_class: str
    body: Mapping[str, Any]
    question: str
    session: session_tokens.Session | None
    deadline: float

    @property
    def affinity(self) -> str:
        """Key whose requests prefer the same replica; empty for none."""
        return "" if self.session is None else self.session.id


@dataclass(frozen=True, slots=True)
class Started:
    """First event: the answer that follows is released.

    :param target: version that generates it.
    """

    target: snapshot.ModelVersion


@dataclass(frozen=True, slots=True)
class Answered:
    """Last event: the answer is complete and released.

    :param target: version that generated the answer.
    :param steps: versions that ran, in order.
    :param usage: tokens of the released answer.
    :param reason: why generation ended (``stop`` or ``length``).
    :param price: price of the released answer, in micro-units.
    """

    target: snapshot.ModelVersion
    steps: tuple[snapshot.ModelVersion, ...]
    usage: backends.Usage
    reason: str
    price: int


AnswerEvent = Started | backends.Delta | Answered
