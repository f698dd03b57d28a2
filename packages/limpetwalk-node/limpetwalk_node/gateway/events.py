"""Events that the gateway logs, with their fields.

Each event is one JSON line. ``docs/reference/events.md`` lists all events.
"""

from dataclasses import dataclass
import enum
from typing import ClassVar


class Sampling(enum.Enum):
    """Whether lines of an event may be left out under load.

    :cvar NEVER: always written.
    :cvar RATE: written up to a number of lines per second, then only counted.
    """

    NEVER = "never"
    RATE = "rate"


@dataclass(frozen=True, slots=True)
class Event:
    """Base class of events.

    :cvar name: kind of the event in its log line.
    """

    name: ClassVar[str]
    sampling: ClassVar[Sampling] = Sampling.NEVER


@dataclass(frozen=True, slots=True)
class NodeStarted(Event):
    """The process has started and listens."""

    name: ClassVar[str] = "node.started"
    node: str
    zone: str
    took_ms: int


@dataclass(frozen=True, slots=True)
class NodeStopping(Event):
    """The process received a signal to stop.

    :param waited_s: time for which the signal may have waited, because the
        process was suspended or was starting.
    """

    name: ClassVar[str] = "node.stopping"
    open_requests: int
    waited_s: float


@dataclass(frozen=True, slots=True)
class NodeStopped(Event):
    """The process ends.

    :param cut: number of requests that were ended because no time was left.
    """

    name: ClassVar[str] = "node.stopped"
    cut: int
    lines_dropped: int


@dataclass(frozen=True, slots=True)
class SettingsReloaded(Event):
    """The settings file was read again.

    :param findings: errors of a file that was not applied.
    """

    name: ClassVar[str] = "settings.reloaded"
    findings: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ReadyChanged(Event):
    """The readiness that the node reports to the balancer changed."""

    name: ClassVar[str] = "node.ready"
    ready: bool
    reason: str


@dataclass(frozen=True, slots=True)
class ProcessPaused(Event):
    """The process was suspended, so all tables are read again.

    :param gap_s: length of the suspension, in seconds.
    """

    name: ClassVar[str] = "node.paused"
    gap_s: float


@dataclass(frozen=True, slots=True)
class DependencyLost(Event):
    """A table of the store can't be read."""

    name: ClassVar[str] = "dependency.lost"
    table: str
    reason: str


@dataclass(frozen=True, slots=True)
class DependencyRegained(Event):
    """A table of the store can be read again.

    :param away_s: length of the outage, in seconds.
    """

    name: ClassVar[str] = "dependency.regained"
    table: str
    away_s: float


@dataclass(frozen=True, slots=True)
class HistoryDropped(Event):
    """The store dropped its history, so a full read of a table follows."""

    name: ClassVar[str] = "dependency.history_lost"
    table: str
    since: str


@dataclass(frozen=True, slots=True)
class StoreRestored(Event):
    """The store was restored from a copy, and versions are given out again.

    :param since: latest version that this node had read.
    :param version: newest version of the restored store.
    :param rows: rows of the table.
    """

    name: ClassVar[str] = "store.restored"
    table: str
    since: str
    version: str
    rows: int


@dataclass(frozen=True, slots=True)
class ConfigApplied(Event):
    """A configuration came into force.

    :param before: version that was in force until then.
    :param keys_required: whether routes that aren't public need a key.
    :param shared_keys: keys that several workspaces hold.
    """

    name: ClassVar[str] = "config.applied"
    version: int
    before: int
    routes: int
    keys_required: bool
    workspaces: int
    keys: int
    shared_keys: int
    whole_read: bool


@dataclass(frozen=True, slots=True)
class ConfigIgnored(Event):
    """A configuration older than the one in force was ignored."""

    name: ClassVar[str] = "config.ignored"
    version: int
    in_force: int


@dataclass(frozen=True, slots=True)
class RowUnreadable(Event):
    """A row could not be decoded."""

    name: ClassVar[str] = "row.unreadable"
    table: str
    key: str
    findings: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServerChanged(Event):
    """The entry of a backend server changed.

    :param state: ready, leaving, cold, lapsed or gone; outdated for an entry
        of a copy, when a later state is known.
    """

    name: ClassVar[str] = "server.changed"
    server: str
    service: str
    state: str
    zone: str
    version: str
    row_version: str


@dataclass(frozen=True, slots=True)
class ServerBackingOff(Event):
    """A backend server failed repeatedly and gets no requests for a while.

    :param for_s: length of the backoff, in seconds.
    """

    name: ClassVar[str] = "server.resting"
    server: str
    failures_in_row: int
    for_s: float


@dataclass(frozen=True, slots=True)
class ServerLimited(Event):
    """A backend server named a limit, a very different one, or no more.

    :param per_s: requests per second that it takes from all nodes together,
        or None when its limit has ended.
    """

    name: ClassVar[str] = "server.limited"
    server: str
    per_s: float | None


@dataclass(frozen=True, slots=True)
class ServerBrittle(Event):
    """A backend server said that it is brittle, or no more.

    :param per_s: rejections per second above which it falls over, or None
        when it is no longer brittle.
    """

    name: ClassVar[str] = "server.brittle"
    server: str
    per_s: float | None


@dataclass(frozen=True, slots=True)
class EvacuatedZonesChanged(Event):
    """The set of evacuated zones changed."""

    name: ClassVar[str] = "zones.evacuated"
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RolloutChanged(Event):
    """A roll-out changed its stage.

    :param share: share of new sessions that go to the new version.
    """

    name: ClassVar[str] = "rollout.changed"
    service: str
    target: str
    phase: str
    share: float
    failures: int
    successes: int
    reason: str


@dataclass(frozen=True, slots=True)
class RolloutEvidence(Event):
    """The leader of a roll-out has new evidence.

    :param base: failures and successes of the version in force.
    :param candidate: failures and successes of the new version.
    :param base_paces: slow and other answers of the version in force.
    :param candidate_paces: slow and other answers of the new version.
    :param rate: estimated requests per second of the service.
    """

    name: ClassVar[str] = "rollout.evidence"
    sampling: ClassVar[Sampling] = Sampling.RATE
    service: str
    target: str
    base: tuple[int, int]
    candidate: tuple[int, int]
    base_paces: tuple[int, int]
    candidate_paces: tuple[int, int]
    rate: float


@dataclass(frozen=True, slots=True)
class LeaseChanged(Event):
    """This node acquired or lost the lease of a role."""

    name: ClassVar[str] = "lease.changed"
    role: str
    held: bool
    reason: str


@dataclass(frozen=True, slots=True)
class RequestRefused(Event):
    """A request was refused and has not run.

    :param reason: see ``docs/operators/refusals.md``.
    :param config: version of the configuration in force.
    """

    name: ClassVar[str] = "request.refused"
    request: str
    status: int
    reason: str
    retry_after_s: float
    config: int
    route: str
    servers: int


@dataclass(frozen=True, slots=True)
class RequestWaited(Event):
    """A request waited at this node for room at the servers of its service.

    :param end: sent, refused, or left when the caller or the node gave up.
    """

    name: ClassVar[str] = "request.waited"
    sampling: ClassVar[Sampling] = Sampling.RATE
    request: str
    service: str
    priority: int
    workspace: str
    waited_ms: int
    end: str


@dataclass(frozen=True, slots=True)
class RequestPlaced(Event):
    """A server and a model were chosen for a request.

    :param left_ms: time left until the answer must be sent.
    :param in_flight: requests of this node at the server.
    :param waiting_ms: prefill time queued there by all nodes.
    :param reading_ms: prefill time of the request itself.
    :param row_version: version of the server's entry.
    """

    name: ClassVar[str] = "request.placed"
    sampling: ClassVar[Sampling] = Sampling.RATE
    request: str
    server: str
    model: str
    offer: int
    left_ms: int
    in_flight: int
    waiting_ms: int
    reading_ms: int
    row_version: str
    config: int


@dataclass(frozen=True, slots=True)
class AttemptEnded(Event):
    """An attempt at a server did not yield the answer.

    :param outcome: unreached, not_run, unknown or failed.
    :param stop: why the request is not retried, or empty when it is.
    :param budget_left: retries that the budget of the node still allows.
    """

    name: ClassVar[str] = "request.try_ended"
    request: str
    server: str
    outcome: str
    detail: str
    stop: str
    budget_left: float


@dataclass(frozen=True, slots=True)
class ServerSilent(Event):
    """A server has been silent for so long that another one is considered.

    :param running: number of servers that the request is at.
    :param stop: why no other server is asked, or empty when one is.
    :param budget_left: retries that the budget of the node still allows.
    """

    name: ClassVar[str] = "request.silent"
    request: str
    running: int
    stop: str
    budget_left: float


@dataclass(frozen=True, slots=True)
class EscalationSkipped(Event):
    """An answer of low confidence was kept.

    :param reason: attempts_used, no_server, too_late or repeat_budget_used.
    :param expected_ms: shortest expected time to the first event of a larger
        model.
    :param left_ms: time left until the target latency.
    """

    name: ClassVar[str] = "request.climb_skipped"
    request: str
    model: str
    confidence: int
    reason: str
    expected_ms: int
    left_ms: int


@dataclass(frozen=True, slots=True)
class RequestEscalated(Event):
    """An answer was dropped and a larger model is asked."""

    name: ClassVar[str] = "request.climbed"
    sampling: ClassVar[Sampling] = Sampling.RATE
    request: str
    model: str
    to_model: str
    confidence: int


@dataclass(frozen=True, slots=True)
class StreamResumed(Event):
    """A stream is resumed at another server."""

    name: ClassVar[str] = "request.resumed"
    request: str
    server: str
    last_event: str
    detail: str


@dataclass(frozen=True, slots=True)
class RequestEnded(Event):
    """A request was answered by a server.

    :param version: version of that server.
    :param event_ms: mean time between the events that it sent, -1 when there
        were fewer than two.
    """

    name: ClassVar[str] = "request.ended"
    sampling: ClassVar[Sampling] = Sampling.RATE
    request: str
    status: int
    server: str
    model: str
    confidence: int
    first_ms: int
    took_ms: int
    offers: int
    version: str
    event_ms: int


@dataclass(frozen=True, slots=True)
class RequestFailed(Event):
    """A request ended without a complete answer of a server."""

    name: ClassVar[str] = "request.failed"
    request: str
    status: int
    reason: str
    took_ms: int
    offers: int


@dataclass(frozen=True, slots=True)
class RequestAbandoned(Event):
    """The caller left before its answer was complete."""

    name: ClassVar[str] = "request.abandoned"
    request: str
    took_ms: int
    offers: int


@dataclass(frozen=True, slots=True)
class CrashSuspected(Event):
    """A server is suspected to have crashed while it ran a request.

    :param servers: largest number of crashes that its fingerprint or one of
        its parts explains.
    :param counted: how many of these crashes count against it.
    :param parts: prompt parts that other requests may share.
    """

    name: ClassVar[str] = "request.suspected"
    request: str
    fingerprint: str
    server: str
    servers: int
    counted: int
    parts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServerChecked(Event):
    """A server whose answers broke off was checked for a crash.

    :param requests: number of requests that broke off.
    :param finding: "crashed", "accepts", "unreached" or "link_lost".
    :param took_ms: time since the first of them broke off.
    """

    name: ClassVar[str] = "server.checked"
    server: str
    requests: int
    finding: str
    took_ms: int


@dataclass(frozen=True, slots=True)
class CrashReported(Event):
    """A report of a crash was read from the store.

    :param server: identifies the server and its start.
    :param suspects: number of its requests that had no answer yet.
    :param age_ms: time since the crash.
    """

    name: ClassVar[str] = "crash.reported"
    sampling: ClassVar[Sampling] = Sampling.RATE
    node: str
    server: str
    suspects: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class RequestBlocked(Event):
    """A request is not sent, because requests like it crash servers.

    :param traits: its fingerprint or prompt parts that explain the crashes.
    """

    name: ClassVar[str] = "request.blocked"
    sampling: ClassVar[Sampling] = Sampling.RATE
    request: str
    traits: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RequestTrial(Event):
    """A request is sent although it is blocked, as the block's time is over.

    :param traits: traits that are blocked.
    """

    name: ClassVar[str] = "request.trial"
    request: str
    traits: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServerStatement(Event):
    """A backend server said that it leaves, or wants nothing for a while.

    :param statement: "leaving" or "pause".
    :param for_s: time that is believed, in seconds; 0 for no end.
    """

    name: ClassVar[str] = "server.statement"
    sampling: ClassVar[Sampling] = Sampling.RATE
    server: str
    statement: str
    for_s: float = 0.0


@dataclass(frozen=True, slots=True)
class MemoryBound(Event):
    """Bodies of requests are turned away for want of memory, or no more.

    :param parts: bytes held, by part.
    """

    name: ClassVar[str] = "memory.bound"
    holds: bool
    held_bytes: int
    parts: dict[str, int]


@dataclass(frozen=True, slots=True)
class UnexpectedError(Event):
    """An unexpected error.

    :param place: operation that failed.
    """

    name: ClassVar[str] = "error.unexpected"
    place: str
    error: str
    request: str = ""


@dataclass(frozen=True, slots=True)
class ServerLinkChanged(Event):
    """The link to a server that peers reach was lost, or works again."""

    name: ClassVar[str] = "server.link"
    sampling: ClassVar[Sampling] = Sampling.RATE
    server: str
    lost: bool


@dataclass(frozen=True, slots=True)
class CutOffChanged(Event):
    """This node has lost its links to all servers, or reaches one again."""

    name: ClassVar[str] = "node.cut_off"
    cut_off: bool


@dataclass(frozen=True, slots=True)
class PeerUnable(Event):
    """A peer could not connect to a server for this node."""

    name: ClassVar[str] = "tunnel.unable"
    sampling: ClassVar[Sampling] = Sampling.RATE
    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class TunnelDeclined(Event):
    """This node has declined to connect to a server for another one.

    :param host: address of the other node.
    """

    name: ClassVar[str] = "tunnel.declined"
    sampling: ClassVar[Sampling] = Sampling.RATE
    host: str
    reason: str
