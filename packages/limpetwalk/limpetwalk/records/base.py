"""Records of non-idempotent requests.

States: ``claimed -> dispatched -> answered | not_run | unknown``. The change
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
    """Identity of a non-idempotent request.

    :param workspace: workspace of the caller.
    :param key: idempotency key.
    :param body_digest: SHA-256 of method, path and body, in hexadecimal.
    """

    workspace: str
    key: str
    body_digest: str


@dataclass(frozen=True, slots=True)
class Record:
    """Record of a request, as last read or written.

    :param ident: identity of the request.
    :param state: state of the record.
    :param request_id: identifier sent to the backend server.
    :param holder: start of a node that claimed the record.
    :param attempt_id: identifier of the dispatched attempt, or empty.
    :param server: backend server that the attempt was dispatched to, or empty.
    :param answer: stored answer; None unless the state is answered.
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
    """The claim succeeded, so this node may dispatch the request.

    :param record: record in state claimed.
    """

    record: Record


@dataclass(frozen=True, slots=True)
class Existing:
    """The key already has a record.

    :param record: current record; its holder is working on the request when
        the record is claimed or dispatched.
    """

    record: Record


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key has a record of another method, path or body."""


ClaimOutcome = Claimed | Existing | KeyReused


@dataclass(frozen=True, slots=True)
class LostClaim:
    """Another node changed the record, so this one must not continue.

    :param record: current record, or None when it no longer exists.
    """

    record: Record | None


class RecordStore(Protocol):
    """Durable records; each change is conditional on the row's version."""

    async def claim(self, ident: RecordIdent, request_id: str) -> ClaimOutcome:
        """Claim a key, or return the record that it already has.

        A record that a lost node left in ``claimed`` or ``not_run`` may be
        claimed again.

        :raises StoreUnavailable: when the state of the key is not known; do
            not dispatch.
        """
        ...

    async def dispatch(
        self, record: Record, attempt_id: str, server: str
    ) -> Result[Record, LostClaim]:
        """Record the dispatch durably; required before any byte is sent.

        :raises StoreUnavailable: when the dispatch is not known to be
            durable; do not send.
        """
        ...

    async def release(self, record: Record) -> Result[Record, LostClaim]:
        """Return a record to ``claimed`` after an attempt was not sent."""
        ...

    async def answer(
        self, record: Record, answer: backends.ServiceAnswer
    ) -> Result[Record, LostClaim]:
        """Store the answer and close the record as ``answered``.

        :raises StoreUnavailable: when the answer can't be stored.
        """
        ...

    async def finish(
        self, record: Record, state: RecordState
    ) -> Result[Record, LostClaim]:
        """Close a record as ``not_run`` or ``unknown``.

        :raises StoreUnavailable: when the state can't be stored.
        """
        ...

    async def read(self, workspace: str, key: str) -> Record | None:
        """Return the record of a key, or None when it has none.

        :raises StoreUnavailable: when the table service does not answer.
        """
        ...
