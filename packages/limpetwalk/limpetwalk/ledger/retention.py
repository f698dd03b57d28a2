"""Deletes ledger batches that are past the retention period."""

import itertools
import json
import uuid

from result import Ok

from ..providers import base as platform
from ..providers import settle
from . import rows

PAGE_ROWS = 90


class LedgerRetention:
    """Deletes the oldest batches of one partition, in log order.

    The newest batch is never deleted, so that a writer finds the end of the
    log. Several instances may run at once, as each deletion is conditional.

    :param table: table service.
    :param number: number of the partition.
    """

    def __init__(self, table: platform.TableStore, number: int) -> None:
        self._table = table
        self._number = number

    async def delete_before(self, answered_at: float) -> int:
        """Delete the oldest batches with only entries from before an instant.

        :param answered_at: Unix time in seconds; it must be earlier than the
            time of any entry that may still be appended.
        :returns: number of batches deleted.
        :raises StoreUnavailable: when the table service does not answer.
        :raises StoreOutcomeUnknown: when the answer to a deletion is lost.
        """
        deleted = 0
        while True:
            batches = await self._table.query(
                rows.partition_name(self._number), limit=PAGE_ROWS + 1
            )
            expired = list(
                itertools.takewhile(
                    lambda row: _newest_answered_at(row) < answered_at,
                    batches[:-1],
                )
            )
            if not expired or not await self._delete(expired):
                return deleted
            deleted += len(expired)

    async def _delete(self, batches: list[platform.Row]) -> bool:
        """Delete batches; return False when another run deleted them."""
        await self._advance_log_start(rows.sequence_of(batches[-1].key) + 1)
        deletes = [platform.Delete(row.key, row.version) for row in batches]
        outcome = await self._table.transact(deletes, uuid.uuid4().hex)
        return isinstance(outcome, Ok)

    async def _advance_log_start(self, first_sequence: int) -> None:
        """Record the sequence number of the log's first remaining batch."""
        key = rows.log_start_key(self._number)
        row = await self._table.get(key)
        if row is not None and json.loads(row.value) >= first_sequence:
            return
        version = 0 if row is None else row.version
        put = platform.Put(key, json.dumps(first_sequence), version)
        # A conflict means that another run has advanced it.
        await settle.transact_settled(self._table, [put], uuid.uuid4().hex)


def _newest_answered_at(row: platform.Row) -> float:
    return max(entry.answered_at for entry in rows.decode_batch(row))
