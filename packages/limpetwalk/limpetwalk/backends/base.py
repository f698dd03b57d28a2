"""Protocol between an entry node and a backend server."""

from collections.abc import AsyncGenerator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import enum
from typing import Any
from typing import Protocol

from ..conf import snapshot


@dataclass(frozen=True, slots=True)
class EngineCall:
    """One attempt of a chat completion at a model engine.

    :param request_id: identifier of the request, the same for each attempt.
    :param attempt_id: identifier of the attempt, echoed by the engine.
    :param target: model version that must answer.
    :param body: body of the chat completion as the caller sent it.
    :param priority: 0 is served first.
    :param deadline: monotonic time by which the answer must be complete, in
        seconds.
    :param resume_from: number of leading tokens to skip, as an earlier
        attempt delivered them already.
    """

    request_id: str
    attempt_id: str
    target: snapshot.ModelVersion
    body: Mapping[str, Any]
    priority: int
    deadline: float
    resume_from: int = 0


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of an answer.

    :param input_tokens: tokens of the prompt.
    :param output_tokens: tokens generated.
    """

    input_tokens: int
    output_tokens: int


@dataclass(frozen=True, slots=True)
class Delta:
    """Piece of a streamed answer.

    :param text: text of the piece.
    :param tokens: tokens in the piece.
    """

    text: str
    tokens: int = 1


@dataclass(frozen=True, slots=True)
class Finished:
    """Terminal event: the answer is complete.

    :param usage: token counts of the answer.
    :param reason: why generation ended (``stop`` or ``length``).
    """

    usage: Usage
    reason: str


EngineEvent = Delta | Finished


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One attempt of a call to a plain service.

    :param request_id: identifier of the request.
    :param attempt_id: identifier of the attempt, echoed by the service.
    :param method: HTTP method.
    :param path: path and query below the service.
    :param headers: headers to forward.
    :param body: body as the caller sent it.
    :param deadline: monotonic time by which the answer must be complete, in
        seconds.
    """

    request_id: str
    attempt_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    deadline: float


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Complete answer of a plain service.

    :param status: HTTP status code.
    :param body: complete body.
    :param headers: headers to return to the caller.
    """

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


class FailureKind(enum.Enum):
    """How an attempt failed."""

    CONNECT_FAILED = "connect_failed"
    NOT_RUN = "not_run"
    OVERLOADED = "overloaded"
    SILENT = "silent"
    CONNECTION_LOST = "connection_lost"
    TRUNCATED = "truncated"
    MISMATCHED = "crossed"
    SERVER_ERROR = "server_error"
    REJECTED = "rejected"
    DEADLINE = "deadline"


class AttemptFailed(Exception):
    """An attempt at a backend server produced no complete answer.

    :param kind: how the attempt failed.
    :param sent: whether any byte of the request may have been sent; False
        proves that the backend server did not run it.
    :param crashed: whether the backend server probably crashed while it
        ran the request.
    :param detail: description for the log and for the caller's refusal.
    """

    def __init__(
        self,
        kind: FailureKind,
        sent: bool,
        crashed: bool = False,
        detail: str = "",
    ) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.sent = sent
        self.crashed = crashed
        self.detail = detail

    @property
    def not_run(self) -> bool:
        """Whether the server certainly did not run the request."""
        return not self.sent or self.kind in (
            FailureKind.NOT_RUN,
            FailureKind.OVERLOADED,
            FailureKind.REJECTED,
        )


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a backend server reports of itself, with a delay.

    :param boot_id: identifier that changes with each start of the server;
        empty when unknown.
    :param running: number of requests in the current batch.
    :param waiting: number of requests in the queue.
    :param token_ms: recent time between tokens, in milliseconds.
    :param age: age of the report when it was received, in seconds.
    """

    boot_id: str
    running: int
    waiting: int
    token_ms: float
    age: float


class BackendClient(Protocol):
    """Client of one backend server; plug-ins of kind BACKEND_PROTOCOL.

    A plug-in is called with the ``snapshot.Server`` and the
    ``snapshot.Tuning`` and returns the client.

    :param boot_id: boot id in the latest response of the server; empty when
        unknown.
    """

    boot_id: str

    def complete(self, call: EngineCall) -> AsyncGenerator[EngineEvent, None]:
        """Run a chat completion and yield its events as they arrive.

        The last event is ``Finished``. Closing the iterator early cancels
        the request at the engine.

        :raises AttemptFailed: when there is no complete answer.
        """
        ...

    async def call_service(self, call: ServiceCall) -> ServiceAnswer:
        """Call a plain service and return its answer.

        :raises AttemptFailed: when there is no complete answer.
        """
        ...

    async def fetch_outcome(self, request_id: str) -> ServiceAnswer | None:
        """Return the answer that the server stores for a request, if any.

        :raises AttemptFailed: when the server can't be asked or answers
            with an error.
        """
        ...

    async def fetch_load(self) -> LoadReport:
        """Return the server's load report.

        :raises AttemptFailed: when the server sends no valid report.
        """
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
