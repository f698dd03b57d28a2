"""Configuration in force, compiled from the merged files.

A snapshot is immutable. Nodes replace a whole snapshot at once, so a request
that reads it once sees one generation.
"""

from dataclasses import dataclass
import enum


class VersionState(enum.Enum):
    """Whether a version may receive new work."""

    LIVE = "live"
    WITHDRAWN = "withdrawn"


class PlacementState(enum.Enum):
    """Whether a zone or backend server may receive new work."""

    IN = "in"
    OUT = "out"


class RolloutState(enum.Enum):
    """State of a roll-out."""

    RUNNING = "running"
    PAUSED = "paused"
    HALTED = "halted"
    DONE = "done"


class ServerKind(enum.Enum):
    """Kind of a backend server."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True, order=True)
class ModelVersion:
    """A version of a model.

    :param model: name of the model.
    :param version: name of the version.
    """

    model: str
    version: str


@dataclass(frozen=True, slots=True)
class Model:
    """Model with its versions.

    :param name: name of the model.
    :param versions: state of each version by its name.
    :param default_version: version for new sessions outside a roll-out.
    :param input_price: price of 1,000 prompt tokens, in micro-units.
    :param output_price: price of 1,000 generated tokens, in micro-units.
    """

    name: str
    versions: dict[str, VersionState]
    default_version: str
    input_price: int
    output_price: int


@dataclass(frozen=True, slots=True)
class WarmUp:
    """Limits of a backend server in cold start, over all nodes.

    :param concurrency: maximum number of requests in flight while cold.
    :param duration: seconds from the first request until it is warm.
    """

    concurrency: int
    duration: float


@dataclass(frozen=True, slots=True)
class Server:
    """Backend server.

    :param name: unique name.
    :param kind: model engine or plain service.
    :param protocol: name of the backend protocol plug-in.
    :param address: ``host:port`` of its HTTP interface.
    :param zone: availability zone.
    :param state: whether operators allow it to receive new work.
    :param serves: versions that an engine serves.
    :param service: plain service that it is a replica of, or empty.
    :param concurrency: maximum number of requests in flight, over all nodes.
    :param warmup: limits in cold start.
    :param fencing: whether it refuses orders with an old fencing number.
    """

    name: str
    kind: ServerKind
    protocol: str
    address: str
    zone: str
    state: PlacementState
    serves: frozenset[ModelVersion]
    service: str
    concurrency: int
    warmup: WarmUp
    fencing: bool


@dataclass(frozen=True, slots=True)
class Cascade:
    """Public model name, whose requests are answered by a cascade.

    :param name: name that callers put into ``model``.
    :param policy: name of the cascade policy plug-in.
    :param models: models from the cheapest to the strongest; a single entry
        is used directly.
    :param target: rating that an answer must reach, 0.0 to 1.0.
    """

    name: str
    policy: str
    models: tuple[str, ...]
    target: float


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """Route of a plain service.

    :param method: HTTP method.
    :param path: path below the service; a segment ``*`` matches any one
        segment.
    :param idempotent: whether a request may be run more than once.
    """

    method: str
    path: str
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Service:
    """Plain service with its declared routes.

    :param name: name of the service.
    :param routes: declared routes; others are refused.
    :param timeout: maximum wait for an answer, in seconds.
    """

    name: str
    routes: tuple[ServiceRoute, ...]
    timeout: float


@dataclass(frozen=True, slots=True)
class Workspace:
    """Paying workspace.

    :param name: name of the workspace.
    :param key_digests: SHA-256 of its API keys, in hexadecimal.
    :param cascades: public model names that it may request.
    :param models: models that may run its requests.
    :param services: plain services that it may call.
    :param rate: requests per second that one node admits.
    :param concurrency: requests in flight that one node admits.
    :param priority: priority in queues; 0 is served first.
    """

    name: str
    key_digests: tuple[str, ...]
    cascades: frozenset[str]
    models: frozenset[str]
    services: frozenset[str]
    rate: float
    concurrency: int
    priority: int


@dataclass(frozen=True, slots=True)
class Rollout:
    """Roll-out of a candidate version of a model.

    :param name: name of the roll-out.
    :param model: name of the model.
    :param base: version in force, which the candidate is to replace.
    :param candidate: version that is rolled out.
    :param share: share of new sessions for the candidate, 0.0 to 1.0.
    :param state: state of the roll-out.
    :param guard: name of the rollout guard plug-in.
    """

    name: str
    model: str
    base: str
    candidate: str
    share: float
    state: RolloutState
    guard: str


@dataclass(frozen=True, slots=True)
class Zone:
    """Availability zone.

    :param name: name of the zone.
    :param region: region of the zone.
    :param state: whether operators allow it to receive new work.
    """

    name: str
    region: str
    state: PlacementState


@dataclass(frozen=True, slots=True)
class SessionKey:
    """Key that session tokens are authenticated with.

    :param name: name that tokens refer to.
    :param secret: secret text.
    """

    name: str
    secret: str


@dataclass(frozen=True, slots=True)
class Tuning:
    """Limits and timeouts that operators may set, in seconds and bytes.

    :param first_token_timeout: maximum wait for the first token.
    :param token_gap_timeout: maximum wait between tokens.
    :param connect_timeout: maximum wait for a connection.
    :param request_timeout: time limit of a request that sets no deadline.
    :param body_limit_bytes: maximum size of a caller's request body.
    :param bodies_limit_bytes: maximum size of all bodies that a node holds.
    :param retry_share: retries as a share of first attempts.
    :param queue_length: maximum number of requests that wait at a node.
    :param stale_after: age of an unconfirmed configuration at which a node
        that reaches neither store nor peers stops accepting work.
    :param ledger_partitions: number of partitions of the ledger.
    :param ledger_interval: time between batches of one partition.
    :param record_ttl: lifetime of an idempotency record.
    :param rating_timeout: maximum wait for a rating.
    :param crash_limit: crashes after which a request is quarantined.
    """

    first_token_timeout: float = 5.0
    token_gap_timeout: float = 2.0
    connect_timeout: float = 0.5
    request_timeout: float = 60.0
    body_limit_bytes: int = 4 * 1024 * 1024
    bodies_limit_bytes: int = 256 * 1024 * 1024
    retry_share: float = 0.1
    queue_length: int = 256
    stale_after: float = 60.0
    ledger_partitions: int = 16
    ledger_interval: float = 0.5
    record_ttl: float = 86400.0
    rating_timeout: float = 1.0
    crash_limit: int = 2


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Merged configuration of one generation.

    :param digest: SHA-256 of the canonical JSON text, in hexadecimal.
    """

    digest: str
    models: dict[str, Model]
    servers: dict[str, Server]
    cascades: dict[str, Cascade]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    rollouts: dict[str, Rollout]
    zones: dict[str, Zone]
    session_keys: tuple[SessionKey, ...]
    tuning: Tuning


@dataclass(frozen=True, slots=True)
class AppliedSnapshot:
    """Snapshot in force with its generation.

    :param generation: number that grows by one with each accepted change.
    :param snapshot: configuration of that generation.
    """

    generation: int
    snapshot: Snapshot
