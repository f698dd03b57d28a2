"""One request of a caller, as the gateway's decisions see it."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from . import retries
from . import types


@dataclass(slots=True)
class Call:
    """Request of a caller, read whole.

    :param id: identifier of the caller's attempt.
    :param target: path and query, as they were sent.
    :param headers: headers to pass on, as they were sent.
    :param arrived_at: instant at which its header was read.
    :param deadline: instant by which the answer must be out.
    :param last_event: last event that the caller has received, or empty.
    :param session: conversation it belongs to, or empty.
    :param slow: whether the latest answer took unusually long to begin.
    :param fingerprint: equal for a repeat of the same request.
    """

    id: str
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
    slow: bool = False
    attempt_counts: retries.AttemptCounts = field(
        default_factory=retries.AttemptCounts
    )
    tried_servers: set[str] = field(default_factory=set)

    @property
    def priority(self) -> int:
        """Rank of the request, 0 first."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
