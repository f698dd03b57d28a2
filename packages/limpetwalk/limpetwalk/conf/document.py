"""Schema of the configuration as operators write it, and its validation."""

import json
import socket
from typing import Annotated
from typing import Any

import pydantic

from . import snapshot

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
DIGEST_PATTERN = r"^[0-9a-f]{64}$"
HIGHEST_PORT = 65535
MIN_SECRET_LENGTH = 16

_TUNING = snapshot.Tuning()

Name = Annotated[str, pydantic.StringConstraints(pattern=NAME_PATTERN)]
Digest = Annotated[str, pydantic.StringConstraints(pattern=DIGEST_PATTERN)]
Count = Annotated[int, pydantic.Field(ge=0)]
Positive = Annotated[int, pydantic.Field(gt=0)]
Seconds = Annotated[float, pydantic.Field(gt=0)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]


def _check_address(address: str) -> str:
    """Return an address unchanged.

    :raises ValueError: when it is not ``host:port`` with an IP number. The
        message says what is expected, as it becomes part of a finding.
    """
    host, _, port = address.rpartition(":")
    if not _is_ip(host):
        raise ValueError("an IP number and port, as 10.0.0.1:8000")
    if not port.isascii() or not port.isdigit():
        raise ValueError("a port number after the colon")
    if not 0 < int(port[:6]) <= HIGHEST_PORT:
        raise ValueError(f"a port from 1 to {HIGHEST_PORT}")
    return address


def _is_ip(host: str) -> bool:
    family = socket.AF_INET
    if host.startswith("[") and host.endswith("]"):
        family, host = socket.AF_INET6, host[1:-1]
    try:
        # Nodes validate the addresses of all servers at each change of the
        # configuration, and inet_pton takes a tenth of the time that the
        # ipaddress module takes.
        socket.inet_pton(family, host)
    except (OSError, ValueError):
        return False
    return True


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        extra="forbid", strict=True, frozen=True, allow_inf_nan=False
    )


class ZoneSection(_Section):
    """Availability zone."""

    region: Name
    state: snapshot.PlacementState = snapshot.PlacementState.IN


class VersionSection(_Section):
    """Version of a model."""

    state: snapshot.VersionState = snapshot.VersionState.LIVE


class ModelSection(_Section):
    """Model with its versions."""

    versions: dict[Name, VersionSection] = pydantic.Field(min_length=1)
    default_version: Name
    input_price: Count = 0
    output_price: Count = 0


class WarmUpSection(_Section):
    """Limits of a backend server in cold start."""

    concurrency: Positive = 1
    duration: Seconds = 30.0


class ServerSection(_Section):
    """Backend server."""

    kind: snapshot.ServerKind
    protocol: Name
    address: Address
    zone: Name
    state: snapshot.PlacementState = snapshot.PlacementState.IN
    serves: dict[Name, tuple[Name, ...]] = {}
    service: Name | None = None
    concurrency: Positive = 8
    warmup: WarmUpSection = WarmUpSection()
    fencing: bool = True


class CascadeSection(_Section):
    """Public model name, whose requests are answered by a cascade."""

    policy: Name
    models: tuple[Name, ...] = pydantic.Field(min_length=1)
    target: Share = 0.0


class RouteSection(_Section):
    """Route of a plain service."""

    method: Annotated[
        str,
        pydantic.StringConstraints(
            pattern=r"^(GET|HEAD|POST|PUT|PATCH|DELETE)$"
        ),
    ]
    path: Annotated[
        str, pydantic.StringConstraints(pattern=r"^/[^\s?#]{0,500}$")
    ]
    idempotent: bool


class ServiceSection(_Section):
    """Plain service with its declared routes."""

    routes: tuple[RouteSection, ...] = pydantic.Field(min_length=1)
    timeout: Seconds = 10.0


class WorkspaceSection(_Section):
    """Paying workspace."""

    key_digests: tuple[Digest, ...] = pydantic.Field(min_length=1)
    cascades: tuple[Name, ...] = ()
    models: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    rate: Annotated[float, pydantic.Field(gt=0)] = 20.0
    concurrency: Positive = 32
    priority: Count = 1


class RolloutSection(_Section):
    """Roll-out of a candidate version."""

    model: Name
    base: Name
    candidate: Name
    share: Share = 0.0
    state: snapshot.RolloutState = snapshot.RolloutState.PAUSED
    guard: Name


class SessionKeySection(_Section):
    """Key that session tokens are authenticated with."""

    secret: Annotated[
        str, pydantic.StringConstraints(min_length=MIN_SECRET_LENGTH)
    ]
    primary: bool = False


class TuningSection(_Section):
    """Limits and timeouts, in seconds and bytes."""

    first_token_timeout: Seconds = _TUNING.first_token_timeout
    token_gap_timeout: Seconds = _TUNING.token_gap_timeout
    connect_timeout: Seconds = _TUNING.connect_timeout
    request_timeout: Seconds = _TUNING.request_timeout
    body_limit_bytes: Positive = _TUNING.body_limit_bytes
    bodies_limit_bytes: Positive = _TUNING.bodies_limit_bytes
    retry_share: Share = _TUNING.retry_share
    queue_length: Count = _TUNING.queue_length
    stale_after: Seconds = _TUNING.stale_after
    ledger_partitions: Positive = _TUNING.ledger_partitions
    ledger_interval: Seconds = _TUNING.ledger_interval
    record_ttl: Seconds = _TUNING.record_ttl
    rating_timeout: Seconds = _TUNING.rating_timeout
    crash_limit: Positive = _TUNING.crash_limit


class RolloutOverlay(_Section):
    """State and share of a roll-out as set by operators."""

    state: snapshot.RolloutState
    share: Share


class Operations(_Section):
    """Operators' changes, which take precedence over the files."""

    zones: dict[Name, snapshot.PlacementState] = {}
    servers: dict[Name, snapshot.PlacementState] = {}
    versions: dict[Name, dict[Name, snapshot.VersionState]] = {}
    default_versions: dict[Name, Name] = {}
    rollouts: dict[Name, RolloutOverlay] = {}


class Document(_Section):
    """Merged configuration: sections of the files and operators' changes."""

    zones: dict[Name, ZoneSection] = {}
    models: dict[Name, ModelSection] = {}
    servers: dict[Name, ServerSection] = {}
    cascades: dict[Name, CascadeSection] = {}
    services: dict[Name, ServiceSection] = {}
    workspaces: dict[Name, WorkspaceSection] = {}
    rollouts: dict[Name, RolloutSection] = {}
    session_keys: dict[Name, SessionKeySection] = {}
    tuning: TuningSection = TuningSection()
    operations: Operations = Operations()

    @classmethod
    def from_tree(cls, tree: Any) -> "Document":
        """Return the document of plain data.

        :raises pydantic.ValidationError: when the data is invalid.
        """
        return cls.model_validate_json(json.dumps(tree))

    @classmethod
    def from_bytes(cls, data: bytes) -> "Document":
        """Return the document of its canonical JSON text.

        :raises pydantic.ValidationError: when the text is invalid.
        """
        return cls.model_validate_json(data)

    def to_bytes(self) -> bytes:
        """Return the canonical JSON text in UTF-8: all values, sorted keys.

        Defaults are included, so that an accepted generation keeps its
        meaning when a later release changes a default.
        """
        tree = self.model_dump(mode="json")
        return json.dumps(
            tree, sort_keys=True, separators=(",", ":"), ensure_ascii=False
        ).encode()
