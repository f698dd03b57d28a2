"""Deletes ledger batches that are past their time."""

import itertools
import json
import uuid

from result import Ok

from ..providers import base as platform
from ..providers import settle
from . import rows

PAGE_ROWS = 90


class LedgerRetention:
    """Deletes the oldest batches of one partition, in their order.

    The newest batch always stays, so that a writer finds where the log
    ends. Several may run at once; each deletion is conditional.

    :param table: table service.
    :param number: number of the partition.
    """

    def __init__(self, table: platform.TableStore, number: int) -> None:
        self._table = table
        self._number = number

    async def delete_before(self, answered_at: float) -> int:
        """Delete batches whose entries were all answered before an instant.

        :param answered_at: Unix time in seconds; it must lie further back
            than any entry that may still be appended.
        :returns: number of batches deleted.
        :raises StoreUnavailable: when the service does not answer.
        :raises StoreOutcomeUnknown: when a deletion's answer is lost.
        """
        deleted = 0
        while True:
            found = await self._table.query(
                rows.partition_name(self._number), limit=PAGE_ROWS + 1
            )
            old = list(
                itertools.takewhile(
                    lambda row: _newest(row) < answered_at, found[:-1]
                )
            )
            if not old or not await self._delete(old):
                return deleted
            deleted += len(old)

    async def _delete(self, batches: list[platform.Row]) -> bool:
        """Delete batches; False when somebody else did."""
        await self._raise_floor(rows.sequence_of(batches[-1].key) + 1)
        deletes = [platform.Delete(row.key, row.version) for row in batches]
        outcome = await self._table.transact(deletes, uuid.uuid4().hex)
        return isinstance(outcome, Ok)

    async def _raise_floor(self, floor: int) -> None:
        """Note that the log no longer starts at its first batch."""
        key = rows.floor_key(self._number)
        row = await self._table.get(key)
        if row is not None and json.loads(row.value) >= floor:
            return
        version = 0 if row is None else row.version
        put = platform.Put(key, json.dumps(floor), version)
        # A conflict means that another run has raised it.
        await settle.transact_settled(self._table, [put], uuid.uuid4().hex)


def _newest(row: platform.Row) -> float:
    return max(entry.answered_at for entry in rows.decode_batch(row))
