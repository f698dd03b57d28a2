"""Domain types shared by the gateway, its decisions and its adapters.

All durations are in seconds and all instants in monotonic seconds of this
node, unless a name says otherwise.
"""

from dataclasses import dataclass
from dataclasses import field
import enum
import math

# Bounds of the prompt parts by which requests are compared: number, and
# length of an id in characters.
MAX_SHARED_PARTS = 32
MAX_PART_ID = 40
# Memory of a process where the platform names none, bytes.
DEFAULT_MEMORY_BYTES = 300e6


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """Version of a row or a table of the store.

    A store that is restored from a copy gives its counter's values out again,
    so versions are compared by their era first.

    :param era: grows with each restoration of the store.
    :param counter: grows with each write; 0 stands for a row that is absent.
    """

    era: int = 0
    counter: int = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.counter}"

    @classmethod
    def parse(cls, text: str) -> "Version":
        """Return a version from its text.

        :raises ValueError: when the text isn't a version.
        """
        era, _, counter = text.rpartition(".")
        return cls(int(era or 0), int(counter))


class Idempotency(enum.Enum):
    """Whether a request has the same effect when it runs twice."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True, slots=True)
class Route:
    """Rule that sends requests of a host and path prefix to services.

    :param prefix: begins and ends with a slash; the longest one wins.
    :param idempotency: whether a request may run twice.
    :param streaming: whether the response is a stream of events.
    :param resumable: whether another server may resume a stream.
    :param timeout: longest time for which a caller waits.
    :param target_latency: time to the response, or to the first event, that
        the operator aims at.
    :param largest_gap: longest pause between events that is still on time.
    :param attempts: maximum number of servers that may run one request.
    :param priority: priority of its requests, 0 is the highest.
    :param public: whether callers need no key.
    :param models: models that may serve it, smallest first; empty when the
        caller names the model.
    :param targets: services and their weights.
    """

    name: str
    host: str
    prefix: str
    idempotency: Idempotency
    streaming: bool
    resumable: bool
    timeout: float
    target_latency: float
    largest_gap: float
    attempts: int
    priority: int
    public: bool
    models: tuple[str, ...]
    targets: tuple[tuple[str, int], ...]

    @property
    def retryable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.streaming:
            return self.resumable
        return self.idempotency is Idempotency.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Service:
    """Service that a configuration routes to.

    :param cold_seconds: time for which a server is cold after its start; 0 for
        never.
    :param cold_rate: requests per second that a cold server tolerates.
    """

    name: str
    cold_seconds: float
    cold_rate: float


@dataclass(frozen=True, slots=True)
class Workspace:
    """Paying workspace.

    :param priority: priority that overrides a route's, or None.
    """

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of callers' requests and connections.

    :param header_bytes: maximum size of a request's header.
    :param body_bytes: maximum size of a request's body.
    :param header_timeout: longest time that a request's header may take.
    :param idle_timeout: longest idle time of a caller's connection.
    """

    header_bytes: int = 16384
    header_timeout: float = 10.0
    body_bytes: int = 4 * 1024 * 1024
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration as the operator last wrote it.

    :param version: grows with each change, not always by one.
    :param keys: workspaces by API key; a key that several of them hold
        belongs to the last one.
    :param keys_required: whether routes that aren't public need a key.
    :param workspaces: number of workspaces, with and without keys.
    :param shared_keys: number of keys that several workspaces hold.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    keys: dict[str, Workspace]
    limits: Limits
    keys_required: bool = True
    workspaces: int = 0
    shared_keys: int = 0


@dataclass(frozen=True, slots=True)
class Server:
    """Backend server as it registered itself.

    :param id: usually unique to each start of a server.
    :param boot_ms: Unix milliseconds of its start; 0 when unknown. A server
        that restarts with the same id has another value.
    :param sequence: number of the entry, which grows from the server's start.
    :param leaving: whether it accepts no new requests.
    :param cold_left: remaining time for which it is cold, as of the writing
        of the entry.
    :param models: models that it has loaded; None when its entry doesn't
        say.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    version: str
    slots: int
    leaving: bool
    cold_left: float
    boot_ms: int
    models: tuple[str, ...] | None
    sequence: int = 0

    @property
    def start(self) -> str:
        """Identifies this start of the server."""
        return f"{self.id}.{self.boot_ms}"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Operator's order to move a service to a version.

    :param target: version that is rolled out.
    :param period: time within which it must be done.
    :param order_id: distinguishes orders of the same version.
    :param version: version of the row, of which a restored store gives the
        same order another one.
    """

    service: str
    target: str
    period: float
    order_id: str
    version: Version = Version()

    def repeats(self, earlier: "RolloutOrder") -> bool:
        """Return whether this is an order from before a restoration."""
        return (
            earlier.version.era < self.version.era
            and earlier.target == self.target
            and earlier.period == self.period
        )


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt that requests may share.

    :param id: equal for equal text.
    """

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Size of a generation and the parts of its prompt, in order.

    :param output_tokens: maximum number of tokens to generate.
    """

    input_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def own_tokens(self) -> int:
        """Return the number of tokens of the part that is not shared."""
        return self.parts[-1].tokens if self.parts else 0

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the ids of the parts that other requests may share.

        Overlong ids and those of further parts are left out.
        """
        return tuple(
            part.id
            for part in self.parts[:-1][:MAX_SHARED_PARTS]
            if len(part.id) <= MAX_PART_ID
        )

    @property
    def shared_key(self) -> str:
        """Return the id of the last part that may be shared, or empty."""
        if len(self.parts) >= 2:
            return self.parts[-2].id
        return self.parts[0].id if self.parts else ""


class RolloutState(enum.Enum):
    """State of a roll-out as the operator sees it."""

    IN_PROGRESS = "in_progress"
    COMPLETE = "complete"
    REVERTED = "reverted"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the platform's operator promises to callers.

    :param contact: time without disturbance after which a node counts as
        connected to the store.
    :param config_apply: time after which a configuration must be in force.
    :param drain: time after which a leaving server must get no new requests.
    :param grace: time between the signal to stop and the kill.
    :param retry_share: retries allowed for each request of a caller.
    :param retry_window: time over which retries and requests are counted.
    :param retry_extra: additional retries allowed in ``retry_window``.
    :param cold_factor: multiple of a cold server's rate that is allowed.
    :param cold_extra: additional requests per second allowed.
    :param exposure_share: share of a service's requests that a bad version
        may get.
    :param exposure_extra: additional requests that it may get.
    :param session: longest pause between requests of one session.
    :param reuse_window: time for which a prompt part counts as cached after it
        was read.
    """

    contact: float = 3.0
    config_apply: float = 2.0
    drain: float = 2.0
    grace: float = 8.0
    retry_share: float = 0.9
    retry_window: float = 10.0
    retry_extra: float = 50.0
    cold_factor: float = 1.5
    cold_extra: float = 5.0
    exposure_share: float = 0.15
    exposure_extra: float = 30.0
    session: float = 5.0
    reuse_window: float = 9.2


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one entry node.

    :param callers: ``(host, port)`` for callers.
    :param readiness: ``(host, port)`` of the readiness check.
    :param metrics: ``(host, port)`` of the metrics page.
    :param memory_bytes: memory above which the process is killed.
    :param max_descriptors: largest number of open descriptors.
    """

    name: str
    zone: str
    callers: tuple[str, int]
    readiness: tuple[str, int]
    metrics: tuple[str, int]
    peers: tuple[str, int]
    memory_bytes: float = DEFAULT_MEMORY_BYTES
    max_descriptors: float = math.inf
    bounds: Bounds = field(default_factory=Bounds)
