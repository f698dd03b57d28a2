"""Requests in the form that the dispatchers take."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..backends import base as backends
from ..conf import snapshot

Check = Callable[[], None]


def always_allow() -> None:
    """Allow each attempt; the default check."""


@dataclass(frozen=True, slots=True)
class EngineWork:
    """Chat completion to run on one model version.

    :param request_id: identifier of the request.
    :param target: version that must answer.
    :param body: chat completion body as the caller sent it.
    :param priority: 0 is served first.
    :param deadline: monotonic instant by which the answer must be complete.
    :param affinity: key whose requests prefer the same replica, such as a
        session or the prefix of a prompt; empty for none.
    :param check: called right before each attempt; raises ``Refused`` when
        the request may no longer run.
    :param on_failure: called with the kind of each failed attempt, also when
        the request is retried.
    """

    request_id: str
    target: snapshot.ModelVersion
    body: Mapping[str, Any]
    priority: int
    deadline: float
    affinity: str = ""
    check: Check = always_allow
    on_failure: Callable[[backends.FailureKind], None] | None = None


@dataclass(frozen=True, slots=True)
class ServiceWork:
    """Call of a plain service.

    :param request_id: identifier of the request.
    :param service: name of the service.
    :param method: HTTP method.
    :param path: path and query below the service.
    :param headers: headers to pass on.
    :param body: body as the caller sent it.
    :param priority: 0 is served first.
    :param deadline: monotonic instant by which the answer must be complete.
    :param check: called right before each attempt; raises ``Refused`` when
        the request may no longer run.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    priority: int
    deadline: float
    check: Check = always_allow
