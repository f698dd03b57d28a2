"""Messages between entry nodes, as data classes."""

from dataclasses import dataclass
import enum
import math

from ..ledger import base as ledger


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sign of life of a node.

    :param zone: availability zone of the sender.
    :param address: ``host:port`` that the sender listens on for peers.
    :param boot_id: changes with each start of the sender.
    :param sequence: grows with each heartbeat of one boot.
    :param generation: configuration generation in force at the sender.
    :param digest: digest of that configuration.
    :param leaving: whether the sender takes no new work.
    :param confirmed_age: seconds since some node read in the table service
        that this generation is the newest; infinite when the sender knows
        of no such read.
    :param nodes: number of nodes by which the sender divides what all
        share, itself included; 0 while it takes no share.
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
    """A newer configuration is in force.

    :param generation: its generation.
    :param digest: its digest.
    """

    generation: int
    digest: str


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Request for a snapshot by its digest."""

    digest: str


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Snapshot text; empty when the peer has none of that digest."""

    digest: str
    data: bytes


class Purpose(enum.Enum):
    """What a peer is to do with bill entries."""

    WRITE = "write"
    HOLD = "hold"
    RELEASE = "release"
    COLLECT = "collect"


@dataclass(frozen=True, slots=True)
class BillEntries:
    """Bill entries of one ledger partition, or of several.

    :param partition: partition of all entries, unless ``partitions`` tells.
    :param entries: the entries.
    :param purpose: what the receiver is to do.
    :param partitions: partition of each entry, or empty.
    """

    partition: int
    entries: tuple[ledger.BillEntry, ...]
    purpose: Purpose
    partitions: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class BillAck:
    """Number of entries that were taken."""

    accepted: int


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Request for, or return of, warm-up permits of a cold server.

    :param server: backend server.
    :param boot_id: boot that the permits are for.
    :param count: permits asked for or returned.
    :param release: whether permits are returned.
    :param fencing: fencing number of the grantor that gave them, in a
        return.
    """

    server: str
    boot_id: str
    count: int
    release: bool
    fencing: int = 0


@dataclass(frozen=True, slots=True)
class PermitReply:
    """Permits granted.

    :param granted: permits, possibly fewer than asked for.
    :param fencing: fencing number of the grantor's lease.
    :param ttl: lifetime of the permits, in seconds.
    """

    server: str
    granted: int
    fencing: int
    ttl: float


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A request's attempt ended in the crash of its backend server."""

    fingerprint: str
    server: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class ServerReport:
    """Load of a backend server as a peer read it; ``age`` in seconds."""

    server: str
    boot_id: str
    running: int
    waiting: int
    token_ms: float
    age: float


@dataclass(frozen=True, slots=True)
class Evidence:
    """Counts of outcomes of a version, summed over one window of a node.

    :param subject: cascade class or roll-out.
    :param version: version that was observed.
    :param window: number of the sender's window; a repeat replaces.
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
