"""Row format of records in the table service."""

import pydantic

from ..backends import base as backends
from ..providers import base as platform
from . import base


class AnswerValue(pydantic.BaseModel):
    """Stored form of an answer.

    :param status: HTTP status code.
    :param headers: headers to return to the caller.
    :param body: body in base 64, empty when it is in the object store.
    :param body_object: name of the object that holds the body, or empty.
    """

    status: int
    headers: dict[str, str]
    body: str = ""
    body_object: str = ""


class RecordValue(pydantic.BaseModel):
    """Contents of the row of a record.

    :param claimed_until: Unix time in seconds from which a claim may be
        taken over even if its holder is live.
    """

    body_digest: str
    state: base.RecordState
    request_id: str
    holder: str
    claimed_until: float
    attempt_id: str = ""
    server: str = ""
    answer: AnswerValue | None = None


def row_key(workspace: str, key: str) -> platform.RowKey:
    """Return the key of the row of a record."""
    return platform.RowKey(f"record#{workspace}", key)


def decode_record(
    workspace: str,
    row: platform.Row,
    value: RecordValue,
    answer: backends.ServiceAnswer | None,
) -> base.Record:
    """Return the record that a row contains."""
    return base.Record(
        ident=base.RecordIdent(workspace, row.key.sort, value.body_digest),
        state=value.state,
        request_id=value.request_id,
        holder=value.holder,
        attempt_id=value.attempt_id,
        server=value.server,
        answer=answer,
        version=row.version,
    )
