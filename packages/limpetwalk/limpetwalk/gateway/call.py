"""One request of a caller, with the state of its attempts."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import math

from . import retries
from . import types


@dataclass(slots=True)
class Call:
    """Request of a caller, read completely.

    :param caller_attempt_id: identifier of the caller's attempt.
    :param target: path and query, as they were sent.
    :param headers: headers to forward, as they were sent.
    :param arrived_at: instant at which its header was read.
    :param deadline: instant by which the response must be sent.
    :param last_event: identifier of the last event that the caller received,
        or empty.
    :param session: key of the session that it belongs to, or empty.
    :param fingerprint: equal when a caller sends the same request again.
    :param patience: time without an answer after which another server may be
        asked besides a silent one, in seconds; infinite for never.
    :param slow: whether the first byte of the latest response took unusually
        long.
    :param answering_since: instant of the first event of the latest response,
        None when there was none.
    :param attempt_counts: numbers of attempts so far.
    :param tried_servers: identifiers of the servers that it was sent to.
    :param known_crashes: crashed servers that were known to have had a request
        like it, when it was sent to a server, by that server's identifier.
    """

    caller_attempt_id: str
    method: str
    target: str
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes
    route: types.Route
    service: str
    workspace: types.Workspace | None
    config_version: int
    arrived_at: float
    deadline: float
    prompt: types.Prompt
    last_event: str
    session: str
    fingerprint: str
    patience: float = math.inf
    slow: bool = False
    answering_since: float | None = None
    attempt_counts: retries.AttemptCounts = field(
        default_factory=retries.AttemptCounts
    )
    tried_servers: set[str] = field(default_factory=set)
    known_crashes: dict[str, frozenset[str]] = field(default_factory=dict)

    @property
    def traits(self) -> tuple[str, ...]:
        """What this request may have in common with others."""
        return (self.fingerprint, *self.prompt.shared_parts)

    @property
    def priority(self) -> int:
        """Priority of the request, 0 is the highest."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
