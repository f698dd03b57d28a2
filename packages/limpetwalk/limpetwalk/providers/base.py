"""Interfaces of the platform's services.

Every client and every in-process fake passes the same contract tests.
"""

from collections.abc import Sequence
from dataclasses import dataclass
import enum
from typing import Protocol

from result import Result

TRANSACTION_LIMIT = 100
ROW_LIMIT_BYTES = 400 * 1024


@dataclass(frozen=True, slots=True)
class RowKey:
    """Key of a row in the table service.

    :param partition: name of the partition.
    :param sort: name within the partition; rows of a partition are ordered
        by it.
    """

    partition: str
    sort: str


@dataclass(frozen=True, slots=True)
class Row:
    """Row as it was last written.

    :param key: key of the row.
    :param version: 1 for a new row, incremented by each later write.
    :param write_id: identifier of the transaction that wrote it.
    :param value: contents, as JSON text.
    :param expires_at: Unix time in seconds after which the service may
        delete the row; None keeps it.
    """

    key: RowKey
    version: int
    write_id: str
    value: str
    expires_at: int | None = None


@dataclass(frozen=True, slots=True)
class Put:
    """Write of a row, conditional on the version that it has.

    :param key: key of the row.
    :param value: new contents, as JSON text.
    :param expect_version: version that the row must have; 0 for absent.
    :param expires_at: Unix time in seconds after which the service may
        delete the row; None keeps it.
    """

    key: RowKey
    value: str
    expect_version: int
    expires_at: int | None = None


@dataclass(frozen=True, slots=True)
class Check:
    """Condition on a row that the transaction does not write.

    :param key: key of the row.
    :param expect_version: version that the row must have; 0 for absent.
    """

    key: RowKey
    expect_version: int


@dataclass(frozen=True, slots=True)
class Delete:
    """Removal of a row, conditional on the version that it has.

    :param key: key of the row.
    :param expect_version: version that the row must have.
    """

    key: RowKey
    expect_version: int


Write = Put | Check | Delete


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition of a transaction did not hold, so nothing was written.

    :param keys: rows whose condition failed.
    """

    keys: tuple[RowKey, ...]


class TableStore(Protocol):
    """Transactional table service with conditional writes."""

    async def get(self, key: RowKey) -> Row | None:
        """Return a row by a consistent read.

        :raises StoreUnavailable: when the service does not answer.
        """
        ...

    async def query(
        self,
        partition: str,
        after: str = "",
        prefix: str = "",
        limit: int = 1000,
        descending: bool = False,
    ) -> list[Row]:
        """Return rows of a partition in the order of their sort names.

        :param after: sort name after which to start, in the order of the
            query; empty to start at the first row.
        :param prefix: prefix of the sort names of the rows to return.
        :param limit: maximum number of rows to return.
        :param descending: whether to return the greatest sort name first.
        :raises StoreUnavailable: when the service does not answer.
        """
        ...

    async def transact(
        self, writes: Sequence[Write], write_id: str
    ) -> Result[None, Conflict]:
        """Apply all writes or none.

        :param writes: at most ``TRANSACTION_LIMIT`` writes, each on a
            different row.
        :param write_id: identifier stored with each row that is put.
        :raises StoreUnavailable: when nothing was applied.
        :raises StoreOutcomeUnknown: when the writes may have been applied.
        """
        ...

    async def close(self) -> None:
        """Release connections."""
        ...


@dataclass(frozen=True, slots=True)
class AlreadyExists:
    """An object with this name is already stored.

    :param name: name of the object.
    """

    name: str


class ObjectStore(Protocol):
    """Store of immutable objects."""

    async def put_if_absent(
        self, name: str, data: bytes
    ) -> Result[None, AlreadyExists]:
        """Store an object unless the name is taken.

        The name may have been taken by an earlier attempt of the same call,
        so names should be digests of the contents.

        :raises StoreUnavailable: when nothing was stored.
        :raises StoreOutcomeUnknown: when the object may have been stored.
        """
        ...

    async def get(self, name: str) -> bytes | None:
        """Return an object's contents, or None when it is absent.

        :raises StoreUnavailable: when the service does not answer.
        """
        ...

    async def names(self, prefix: str) -> list[str]:
        """Return the sorted names that start with a prefix.

        :raises StoreUnavailable: when the service does not answer.
        """
        ...

    async def close(self) -> None:
        """Release connections."""
        ...


class InstanceKind(enum.Enum):
    """What runs on an instance."""

    ENTRY = "entry"
    BACKEND = "backend"


class InstanceState(enum.Enum):
    """State that the platform reports for an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """Instance as the platform's list shows it, which lags.

    :param name: unique name of the instance.
    :param kind: what runs on it.
    :param address: ``host:port`` of the peer listener of an entry node, or
        of the HTTP listener of a backend server.
    :param zone: availability zone.
    :param state: live or leaving.
    :param operators: ``host:port`` of an entry node's operator interface.
    """

    name: str
    kind: InstanceKind
    address: str
    zone: str
    state: InstanceState
    operators: str = ""


class InstanceList(Protocol):
    """The platform's list of instances, which lags behind their state."""

    async def fetch(self) -> list[Instance]:
        """Return the current list.

        :raises InstanceListUnavailable: when the list cannot be read.
        """
        ...

    async def close(self) -> None:
        """Release connections."""
        ...


@dataclass(frozen=True, slots=True)
class RatingRequest:
    """Question and answer to score.

    :param request_id: identifier of the request.
    :param request_class: class of the request in its workspace.
    :param model: model that answered.
    :param version: version that answered.
    :param question: text of the question.
    :param answer: text of the answer.
    """

    request_id: str
    request_class: str
    model: str
    version: str
    question: str
    answer: str


class RatingService(Protocol):
    """Service that scores answers."""

    async def rate(self, req: RatingRequest, timeout: float) -> float:
        """Return a score from 0.0 to 1.0.

        :param timeout: longest wait, in seconds.
        :raises RatingUnavailable: when no score is received in time.
        """
        ...

    async def close(self) -> None:
        """Release connections."""
        ...
