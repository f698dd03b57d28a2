"""Interfaces of a platform that the gateway uses and adapters implement."""

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
    """Row that can't be decoded; its previous contents no longer apply.

    :param key: key of the row.
    :param findings: its errors, each with the place in the row.
    """

    key: str
    findings: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ZoneEvacuated:
    """Order to send no more requests to the servers of a zone."""

    zone: str


@dataclass(frozen=True, slots=True)
class Removed:
    """Row that was removed.

    :param key: key of the row.
    """

    key: str


OperatorEntry = types.Config | types.RolloutOrder | ZoneEvacuated


@dataclass(frozen=True, slots=True)
class SharedRow:
    """Row of a table that the nodes share.

    :param key: key of the row.
    :param value: contents, as JSON text.
    """

    key: str
    value: str


@dataclass(frozen=True, slots=True)
class Change(Generic[T]):
    """Current state of one row.

    :param key: key of the row.
    :param version: version at which it was written.
    :param entry: decoded contents, or why there are none.
    """

    key: str
    version: types.Version
    entry: T | Removed | Unreadable


@dataclass(frozen=True, slots=True)
class Batch(Generic[T]):
    """Rows that changed, or all rows of a table.

    :param changes: current states of the rows.
    :param full_read: whether these are all rows of the table, so that rows
        that are missing were removed.
    :param restored: whether these are all rows of a copy from which the store
        was restored. It may lack what was written last, so rows that are
        missing are kept.
    :param version: version up to which changes are included.
    :param now: the store's monotonic clock, in seconds.
    """

    changes: tuple[Change[T], ...]
    full_read: bool
    version: types.Version
    now: float
    restored: bool = False


class Feed(Protocol[T]):
    """Table that can be read in full and then followed."""

    name: str

    async def read(self) -> Batch[T]:
        """Return all rows of the table.

        :raises StoreUnavailable: when the store does not respond.
        """
        ...

    async def follow(self, since: types.Version, wait: float) -> Batch[T]:
        """Return the changed rows as soon as there are any.

        :param since: version after which changes are returned.
        :param wait: longest time to wait for a change, in seconds.
        :raises HistoryLost: when changes since then are no longer known, or
            the store was restored since then.
        :raises StoreUnavailable: when the store does not respond.
        """
        ...


@dataclass(frozen=True, slots=True)
class SharedPut:
    """Write of a shared row.

    :param key: key of the row.
    :param value: contents, as JSON text.
    :param expect_version: version that the row must have, with counter 0 when
        it must be absent; None writes unconditionally.
    """

    key: str
    value: str
    expect_version: types.Version | None = None


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """Nothing was written, because a row had another version than expected."""


class SharedTable(Feed[SharedRow], Protocol):
    """Table of rows that the nodes of this project write."""

    async def put(
        self, writes: Sequence[SharedPut]
    ) -> Result[types.Version, VersionConflict]:
        """Write all rows in one transaction.

        :returns: the version of the rows.
        :raises StoreUnavailable: when nothing was written.
        :raises StoreOutcomeUnknown: when the rows may have been written, or
            may still be.
        """
        ...

    async def remove(self, key: str) -> None:
        """Remove a row, whatever its version.

        :raises StoreError: when the store does not respond.
        """
        ...


class RolloutReports(Protocol):
    """Rows from which the operator reads the state of a roll-out."""

    async def publish(
        self,
        service: str,
        target: str,
        state: types.RolloutState,
        stage: SharedPut,
        lease: SharedPut,
    ) -> Result[types.Version, VersionConflict]:
        """Publish a stage to the operator and the nodes in one transaction.

        :param target: version that is rolled out.
        :param stage: row of the shared table to write.
        :param lease: row of the work table that must still have its
            expected version; it is not written.
        :raises StoreError: when the store does not respond.
        """
        ...


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that callers, nodes and servers exchange.

    :param attempt: identifier of the caller's attempt.
    :param deadline: milliseconds that the sender will wait.
    :param seal: server's proof that it made the response itself.
    :param not_run: server's statement that it did not run the request.
    :param target: identifier of the server that a request is meant for.
    :param workspace: name of the workspace, set by the node.
    :param last_event: identifier of the last event received.
    :param model: model that is to respond.
    :param prompt_size: numbers of tokens of prompt and response.
    :param prompt_parts: shared parts of the prompt.
    :param urgency: priority in the engine's queue, 0 is the highest.
    :param confidence: engine's confidence in its response, 0 to 100.
    :param session: key of the session that a request belongs to.
    :param rate_limit: requests per second that a server takes from all nodes.
    :param brittle: rejections per second above which a server falls over.
    :param leaving: server's statement that it takes no new requests.
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
    rate_limit: str
    brittle: str
    leaving: str
    reserved: frozenset[str] = field(default_factory=frozenset)


class HeaderFormat(Protocol):
    """Decodes the values of request headers."""

    names: HeaderNames

    def api_key(self, headers: Mapping[str, str]) -> str | None:
        """Return the caller's API key, or None when there is none."""
        ...

    def prompt(self, headers: Mapping[str, str]) -> types.Prompt:
        """Return the size and parts of a prompt."""
        ...


class Platform(Protocol):
    """Everything that the gateway needs of a platform."""

    settings: types.NodeSettings
    header_format: HeaderFormat
    operator: Feed[OperatorEntry]
    servers: Feed[types.Server]
    shared: SharedTable
    work: SharedTable
    rollouts: RolloutReports
    readiness_path: str
    metrics_path: str

    async def open(self) -> None:
        """Open connections; the store need not be reachable yet."""
        ...

    async def close(self) -> None:
        """Release connections."""
        ...

    async def renew_connections(self) -> None:
        """Close open connections, because they may no longer respond."""
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
