"""Resolves the outcome of transactions whose answer was lost."""

from collections.abc import Sequence
import enum

from result import Err
from result import Ok
from result import Result

from .. import exceptions
from . import base

ATTEMPTS = 3


class _WriteState(enum.Enum):
    """What reading a row back shows about a write of the row."""

    APPLIED = "applied"
    LOST = "lost"
    PENDING = "pending"
    UNKNOWN = "unknown"


async def transact_settled(
    table: base.TableStore, writes: Sequence[base.Write], write_id: str
) -> Result[None, base.Conflict]:
    """Apply all writes or none, and determine which when an answer is lost.

    An unchanged row after a lost answer proves nothing, since the write may
    still be in transit. The transaction is sent again with the same
    conditions, so that at most one of the copies is applied.

    :param writes: writes, of which at least one is a put, on rows that are
        not deleted in the meantime.
    :param write_id: identifier that no other transaction uses.
    :raises StoreUnavailable: when nothing was or will be applied.
    :raises StoreOutcomeUnknown: when reading the rows back did not determine
        the outcome.
    """
    try:
        return await table.transact(writes, write_id)
    except exceptions.StoreOutcomeUnknown as exc:
        unknown = exc
    try:
        for _ in range(ATTEMPTS):
            settled = await _settle(table, writes, write_id)
            if settled is not None:
                return settled
    except exceptions.StoreUnavailable as exc:
        raise unknown from exc
    raise unknown


async def _settle(
    table: base.TableStore, writes: Sequence[base.Write], write_id: str
) -> Result[None, base.Conflict] | None:
    """Read the rows back, and send the writes again if not yet applied.

    :returns: the outcome, or None when it is still unknown.
    """
    state, keys = await _read_back(table, writes, write_id)
    if state is _WriteState.PENDING:
        try:
            outcome = await table.transact(writes, write_id)
        except exceptions.StoreOutcomeUnknown:
            return None
        if isinstance(outcome, Ok):
            return outcome
        state, _ = await _read_back(table, writes, write_id)
        keys = outcome.err_value.keys
        if state is _WriteState.PENDING:
            # The rows were read after the conflict. So the first copy was
            # not applied before they changed, and it cannot be applied later,
            # because versions only grow.
            state = _WriteState.LOST
    if state is _WriteState.APPLIED:
        return Ok(None)
    if state is _WriteState.LOST:
        return Err(base.Conflict(keys))
    return None


async def _read_back(
    table: base.TableStore, writes: Sequence[base.Write], write_id: str
) -> tuple[_WriteState, tuple[base.RowKey, ...]]:
    puts = [write for write in writes if isinstance(write, base.Put)]
    states: dict[base.RowKey, _WriteState] = {}
    for put in puts:
        row = await table.get(put.key)
        states[put.key] = _write_state(put, row, write_id)
    lost_keys = tuple(
        key for key, state in states.items() if state is _WriteState.LOST
    )
    if _WriteState.APPLIED in states.values():
        return _WriteState.APPLIED, ()
    if lost_keys:
        return _WriteState.LOST, lost_keys
    if _WriteState.PENDING in states.values():
        return _WriteState.PENDING, ()
    return _WriteState.UNKNOWN, ()


def _write_state(
    put: base.Put, row: base.Row | None, write_id: str
) -> _WriteState:
    version = 0 if row is None else row.version
    if version == put.expect_version:
        return _WriteState.PENDING
    if row is None:
        return _WriteState.UNKNOWN
    if row.write_id == write_id:
        return _WriteState.APPLIED
    if row.version == put.expect_version + 1:
        # Another transaction wrote the version that this one would have
        # written.
        return _WriteState.LOST
    return _WriteState.UNKNOWN
