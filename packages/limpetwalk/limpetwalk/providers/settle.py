"""Settles transactions whose answer was lost."""

from collections.abc import Sequence
import enum

from result import Err
from result import Ok
from result import Result

from .. import exceptions
from . import base

ATTEMPTS = 3


class _Trace(enum.Enum):
    APPLIED = "applied"
    LOST = "lost"
    PENDING = "pending"
    UNKNOWN = "unknown"


async def transact_settled(
    table: base.TableStore, writes: Sequence[base.Write], write_id: str
) -> Result[None, base.Conflict]:
    """Apply all writes or none and find out which, also when answers fail.

    A row that is unchanged after a lost answer proves nothing: the write may
    still be on its way. It is sent again with the same conditions, so that
    at most one of the copies applies.

    :param writes: writes, one of them at least a put, on rows that nobody
        deletes meanwhile.
    :param write_id: identifier that no other transaction uses.
    :raises StoreUnavailable: when nothing was or will be applied.
    :raises StoreOutcomeUnknown: when reading back did not settle it.
    """
    try:
        return await table.transact(writes, write_id)
    except exceptions.StoreOutcomeUnknown as exc:
        unsettled = exc
    try:
        for _ in range(ATTEMPTS):
            settled = await _settle(table, writes, write_id)
            if settled is not None:
                return settled
    except exceptions.StoreUnavailable as exc:
        raise unsettled from exc
    raise unsettled


async def _settle(
    table: base.TableStore, writes: Sequence[base.Write], write_id: str
) -> Result[None, base.Conflict] | None:
    """Read back and send the writes again when they are not applied yet."""
    trace, keys = await _read_back(table, writes, write_id)
    if trace is _Trace.PENDING:
        try:
            outcome = await table.transact(writes, write_id)
        except exceptions.StoreOutcomeUnknown:
            return None
        if isinstance(outcome, Ok):
            return outcome
        trace, _ = await _read_back(table, writes, write_id)
        keys = outcome.err_value.keys
        if trace is _Trace.PENDING:
            # Read after the conflict: the first copy was not applied before
            # the rows changed, and versions only grow.
            trace = _Trace.LOST
    if trace is _Trace.APPLIED:
        return Ok(None)
    if trace is _Trace.LOST:
        return Err(base.Conflict(keys))
    return None


async def _read_back(
    table: base.TableStore, writes: Sequence[base.Write], write_id: str
) -> tuple[_Trace, tuple[base.RowKey, ...]]:
    puts = [write for write in writes if isinstance(write, base.Put)]
    traces: dict[base.RowKey, _Trace] = {}
    for put in puts:
        row = await table.get(put.key)
        traces[put.key] = _trace(put, row, write_id)
    lost = tuple(key for key, t in traces.items() if t is _Trace.LOST)
    if _Trace.APPLIED in traces.values():
        return _Trace.APPLIED, ()
    if lost:
        return _Trace.LOST, lost
    if _Trace.PENDING in traces.values():
        return _Trace.PENDING, ()
    return _Trace.UNKNOWN, ()


def _trace(put: base.Put, row: base.Row | None, write_id: str) -> _Trace:
    version = 0 if row is None else row.version
    if version == put.expect_version:
        return _Trace.PENDING
    if row is None:
        return _Trace.UNKNOWN
    if row.write_id == write_id:
        return _Trace.APPLIED
    if row.version == put.expect_version + 1:
        # Another transaction made the version that this one would have.
        return _Trace.LOST
    return _Trace.UNKNOWN
