"""What the gateway asks of a platform; adapters implement it."""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Generic
from typing import Protocol
from typing import TypeVar

from result import Result

from . import types

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Row that can't be decoded; what it held before no longer stands.

    :param key: key of the row.
    :param findings: what is wrong with it, each with its place.
    """

    key: str
    findings: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ZoneEvacuated:
    """Nothing more may be sent to servers of a zone."""

    zone: str


@dataclass(frozen=True, slots=True)
class Removed:
    """Row that is gone.

    :param key: key of the row.
    """

    key: str


OperatorEntry = types.Config | types.RolloutOrder | ZoneEvacuated


@dataclass(frozen=True, slots=True)
class SharedRow:
    """Row that the nodes of this project share.

    :param value: contents, as JSON text.
    """

    key: str
    value: str


@dataclass(frozen=True, slots=True)
class Change(Generic[T]):
    """One row as it stands now.

    :param key: key of the row.
    :param version: version at which it was written.
    """

    key: str
    version: int
    entry: T | Removed | Unreadable


@dataclass(frozen=True, slots=True)
class Batch(Generic[T]):
    """Rows that changed, or a whole table.

    :param full_read: whether it holds all rows, so that others are gone.
    :param version: version up to which it tells.
    :param now: the store's steady clock, in seconds.
    """

    changes: tuple[Change[T], ...]
    full_read: bool
    version: int
    now: float


class Feed(Protocol[T]):
    """Table that can be read whole and then followed."""

    name: str

    async def read(self) -> Batch[T]:
        """Return the whole table.

        :raises StoreUnavailable: when the store gives no answer.
        """
        ...

    async def follow(self, since: int, wait: float) -> Batch[T]:
        """Return what changed, as soon as there is something.

        :param since: version after which to tell.
        :param wait: longest time to wait for a change, in seconds.
        :raises HistoryLost: when changes since then are no longer known.
        :raises StoreUnavailable: when the store gives no answer.
        """
        ...


@dataclass(frozen=True, slots=True)
class SharedPut:
    """Write of a shared row.

    :param expect_version: version that the row must have, 0 for absent;
        None writes whatever is there.
    """

    key: str
    value: str
    expect_version: int | None = None


@dataclass(frozen=True, slots=True)
class Stale:
    """A condition did not hold, so nothing was written."""


class SharedTable(Feed[SharedRow], Protocol):
    """Table of this project's own rows."""

    async def put(self, writes: Sequence[SharedPut]) -> Result[int, Stale]:
        """Write rows, all or none.

        :returns: the version of the rows.
        :raises StoreUnavailable: when nothing was written.
        :raises StoreOutcomeUnknown: when the rows may have been written, or
            may be later.
        """
        ...

    async def remove(self, key: str) -> None:
        """Remove a row, whatever it holds.

        :raises StoreError: when the store gives no answer.
        """
        ...


class RolloutReports(Protocol):
    """Where the operator reads how a roll-out stands."""

    async def publish(
        self,
        order: types.RolloutOrder,
        state: types.RolloutState,
        stage: SharedPut,
        lease: SharedPut,
    ) -> Result[int, Stale]:
        """Tell the operator and the nodes how a roll-out stands, at once.

        :param stage: row of the shared table to write.
        :param lease: row of the work table that must still have its
            expected version; it is not written.
        :raises StoreError: when the store gives no answer.
        """
        ...


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that callers, nodes and servers exchange.

    :param attempt: identifier of the caller's attempt.
    :param deadline: milliseconds that the sender will wait.
    :param seal: server's mark on an answer of its own.
    :param not_run: server's promise that it did not run the request.
    :param target: identifier of the server that a request is meant for.
    :param workspace: name of the workspace, set by the node.
    :param last_event: identifier of the last event received.
    :param model: model that is to answer.
    :param prompt_size: tokens of prompt and answer.
    :param prompt_parts: shared parts of the prompt.
    :param urgency: rank in the engine's queue, 0 first.
    :param confidence: engine's opinion of its answer, 0 to 100.
    :param session: conversation that requests belong to.
    :param reserved: headers that only nodes may set.
    """

    attempt: str
    deadline: str
    seal: str
    not_run: str
    target: str
    workspace: str
    last_event: str
    model: str
    prompt_size: str
    prompt_parts: str
    urgency: str
    confidence: str
    session: str
    reserved: frozenset[str] = field(default_factory=frozenset)


class Wire(Protocol):
    """Formats of the headers' values."""

    names: HeaderNames

    def api_key(self, headers: Mapping[str, str]) -> str | None:
        """Return the caller's key, or None without one."""
        ...

    def prompt(self, headers: Mapping[str, str]) -> types.Prompt:
        """Return the size and parts of a prompt."""
        ...


class Platform(Protocol):
    """Everything that the gateway needs of a platform."""

    settings: types.NodeSettings
    wire: Wire
    operator: Feed[OperatorEntry]
    servers: Feed[types.Server]
    shared: SharedTable
    work: SharedTable
    rollouts: RolloutReports
    readiness_path: str
    metrics_path: str

    async def open(self) -> None:
        """Open connections; the store need not be there yet."""
        ...

    async def close(self) -> None:
        """Release connections."""
        ...

    async def renew_connections(self) -> None:
        """Drop open connections, which may have gone silent."""
        ...

    def settings_changed(self) -> bool:
        """Whether the settings differ from those that were last read.

        :raises SettingsError: when they can't be read.
        """
        ...

    def reload_settings(self) -> types.NodeSettings:
        """Read the settings again.

        :raises SettingsError: when they can't be read.
        """
        ...
