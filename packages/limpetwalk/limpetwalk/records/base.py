"""Records of non-idempotent requests.

States: ``claimed -> dispatched -> answered | not_run | unknown``. The move
to ``dispatched`` is durable before the first byte goes to a backend server.
"""

from dataclasses import dataclass
import enum
from typing import Protocol

from result import Result

from ..backends import base as backends


class RecordState(enum.Enum):
    """State of a record."""

    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RecordIdent:
    """What identifies a non-idempotent request.

    :param workspace: workspace of the caller.
    :param key: idempotency key.
    :param body_digest: SHA-256 of method, path and body, in hexadecimal.
    """

    workspace: str
    key: str
    body_digest: str


@dataclass(frozen=True, slots=True)
class Record:
    """Record as last read.

    :param ident: request that it stands for.
    :param state: state.
    :param request_id: identifier sent to the backend server.
    :param holder: node that claimed it.
    :param attempt_id: attempt that was dispatched, or empty.
    :param server: backend server that it was dispatched to, or empty.
    :param answer: stored answer when answered.
    :param version: version of the row.
    """

    ident: RecordIdent
    state: RecordState
    request_id: str
    holder: str
    attempt_id: str
    server: str
    answer: backends.ServiceAnswer | None
    version: int


@dataclass(frozen=True, slots=True)
class Claimed:
    """The record is this node's to dispatch.

    :param record: record in state claimed.
    """

    record: Record


@dataclass(frozen=True, slots=True)
class Existing:
    """The key has a record already.

    :param record: record as it stands; its holder is at work on it when it
        is claimed or dispatched.
    """

    record: Record


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key has a record of a request with another body."""


ClaimOutcome = Claimed | Existing | KeyReused


@dataclass(frozen=True, slots=True)
class LostClaim:
    """Another node changed the record, so this one must not go on.

    :param record: record as it stands, or None when it is gone.
    """

    record: Record | None


class RecordStore(Protocol):
    """Durable records; each move is conditional on the row's version."""

    async def claim(self, ident: RecordIdent, request_id: str) -> ClaimOutcome:
        """Claim a key, or tell what stands under it.

        A record left in ``claimed`` or ``not_run`` by a node that is gone
        may be claimed anew.

        :raises StoreUnavailable: when nothing is known; do not dispatch.
        """
        ...

    async def dispatch(
        self, record: Record, attempt_id: str, server: str
    ) -> Result[Record, LostClaim]:
        """Make the dispatch durable; required before any byte is sent.

        :raises StoreUnavailable: when it is not durable; do not dispatch.
        """
        ...

    async def release(self, record: Record) -> Result[Record, LostClaim]:
        """Move a dispatched record whose attempt proved unsent back."""
        ...

    async def answer(
        self, record: Record, answer: backends.ServiceAnswer
    ) -> Result[Record, LostClaim]:
        """Store the answer.

        :raises StoreUnavailable: when it can't be stored.
        """
        ...

    async def finish(
        self, record: Record, state: RecordState
    ) -> Result[Record, LostClaim]:
        """Close a record as ``not_run`` or ``unknown``.

        :raises StoreUnavailable: when it can't be stored.
        """
        ...

    async def read(self, workspace: str, key: str) -> Record | None:
        """Return the record of a key.

        :raises StoreUnavailable: when the service does not answer.
        """
        ...
