"""Messages between entry nodes, as dataclasses."""

from dataclasses import dataclass
import enum
import math

from ..ledger import base as ledger


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic report of a live node to its peers.

    :param zone: availability zone of the sender.
    :param address: ``host:port`` that the sender listens on for peers.
    :param boot_id: identifier that changes with each start of the sender.
    :param sequence: number that grows with each heartbeat of one boot.
    :param generation: configuration generation in force at the sender.
    :param digest: digest of that configuration.
    :param leaving: whether the sender accepts no new work.
    :param confirmed_age: seconds since some node read in the table service
        that this generation is the newest; infinite when the sender knows
        of no such read.
    :param nodes: number of nodes, including itself, by which the sender
        divides shared quantities; 0 while it takes no share.
    """

    zone: str
    address: str
    boot_id: str
    sequence: int
    generation: int
    digest: str
    leaving: bool
    confirmed_age: float = math.inf
    nodes: int = 0


@dataclass(frozen=True, slots=True)
class ConfigHead:
    """Announcement that a newer configuration is in force.

    :param generation: its generation.
    :param digest: its digest.
    """

    generation: int
    digest: str


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Request for a configuration snapshot by its digest."""

    digest: str


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Snapshot data; empty when the peer has no snapshot of that digest."""

    digest: str
    data: bytes


class Purpose(enum.Enum):
    """What the receiver has to do with bill entries."""

    WRITE = "write"
    HOLD = "hold"
    RELEASE = "release"
    COLLECT = "collect"


@dataclass(frozen=True, slots=True)
class BillEntries:
    """Bill entries of one ledger partition, or of several.

    :param partition: partition of all entries when ``partitions`` is empty.
    :param entries: the entries.
    :param purpose: what the receiver has to do with them.
    :param partitions: partition of each entry, in the order of ``entries``,
        or empty.
    """

    partition: int
    entries: tuple[ledger.BillEntry, ...]
    purpose: Purpose
    partitions: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class BillAck:
    """Number of bill entries that the receiver accepted."""

    accepted: int


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Request for, or return of, warm-up permits of a cold server.

    :param server: name of the backend server.
    :param boot_id: boot of the server that the permits are for.
    :param count: number of permits requested or returned.
    :param release: whether permits are returned.
    :param fencing: fencing number of the grant whose permits are returned.
    """

    server: str
    boot_id: str
    count: int
    release: bool
    fencing: int = 0


@dataclass(frozen=True, slots=True)
class PermitReply:
    """Reply to a request for permits.

    :param server: name of the backend server.
    :param granted: number of permits, possibly fewer than requested.
    :param fencing: fencing number of the grantor's lease.
    :param ttl: lifetime of the permits, in seconds.
    """

    server: str
    granted: int
    fencing: int
    ttl: float


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report that an attempt of a request ended in its server's crash.

    :param fingerprint: fingerprint of the request.
    :param server: name of the backend server.
    :param boot_id: boot of the server that crashed.
    """

    fingerprint: str
    server: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class ServerReport:
    """Load of a backend server as a peer read it.

    :param age: seconds since the peer read it.
    """

    server: str
    boot_id: str
    running: int
    waiting: int
    token_ms: float
    age: float


@dataclass(frozen=True, slots=True)
class Evidence:
    """Outcomes of a version, summed over one time window of one node.

    :param subject: cascade class or roll-out that the evidence is for.
    :param version: version that was observed.
    :param window: number of the sender's window; a later message with the
        same number replaces the earlier one.
    :param successes: answers that met the target.
    :param failures: answers that failed or missed it.
    :param rated: answers with a rating.
    :param total: sum of the ratings.
    :param squares: sum of the squared ratings.
    """

    subject: str
    version: str
    window: int
    successes: int
    failures: int
    rated: int
    total: float
    squares: float


@dataclass(frozen=True, slots=True)
class Failure:
    """Reply of a peer that could not serve a request."""

    text: str


Message = (
    Heartbeat
    | ConfigHead
    | SnapshotRequest
    | SnapshotReply
    | BillEntries
    | BillAck
    | PermitRequest
    | PermitReply
    | CrashReport
    | ServerReport
    | Evidence
    | Failure
)
