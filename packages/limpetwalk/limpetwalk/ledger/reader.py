"""Reads bill entries and totals of workspaces from the ledger."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from ..providers import base as platform
from . import base
from . import rows

PAGE_ROWS = 200


@dataclass(slots=True)
class Total:
    """Sum of the bill entries of one workspace and subject.

    :param workspace: workspace that pays.
    :param subject: public model name or plain service.
    :param entries: number of entries.
    :param input_tokens: tokens of prompts.
    :param output_tokens: tokens of answers.
    :param cost: price in micro-units.
    """

    workspace: str
    subject: str
    entries: int = 0
    input_tokens: int = 0
    output_tokens: int = 0
    cost: int = 0

    def add(self, entry: base.BillEntry) -> None:
        """Add an entry to the sums."""
        self.entries += 1
        self.input_tokens += entry.input_tokens
        self.output_tokens += entry.output_tokens
        self.cost += entry.cost


class LedgerReader:
    """Reads all partitions of the ledger.

    Writers drop an entry that the newest batches already contain. The reader
    drops all other duplicates, so that only the first entry of a key counts.

    :param table: table service.
    :param partitions: number of partitions.
    """

    def __init__(self, table: platform.TableStore, partitions: int) -> None:
        self._table = table
        self._partitions = partitions

    async def raw_entries(self) -> AsyncIterator[base.BillEntry]:
        """Yield every entry of the log, duplicates included.

        :raises StoreUnavailable: when the table service does not answer.
        """
        for partition in range(self._partitions):
            after = ""
            while True:
                batches = await self._table.query(
                    rows.partition_name(partition),
                    after=after,
                    limit=PAGE_ROWS,
                )
                for row in batches:
                    for entry in rows.decode_batch(row):
                        yield entry
                if len(batches) < PAGE_ROWS:
                    break
                after = batches[-1].key.sort

    async def entries(
        self, workspace: str | None = None
    ) -> AsyncIterator[base.BillEntry]:
        """Yield the first entry of each key.

        :param workspace: workspace to read; None reads all.
        :raises StoreUnavailable: when the table service does not answer.
        """
        seen_keys: set[bytes] = set()
        async for entry in self.raw_entries():
            if workspace not in (None, entry.workspace):
                continue
            key = rows.key_digest(entry)
            if key not in seen_keys:
                seen_keys.add(key)
                yield entry

    async def totals(self, workspace: str | None = None) -> list[Total]:
        """Return the sums by workspace and subject, sorted by both.

        :param workspace: workspace to read; None reads all.
        :raises StoreUnavailable: when the table service does not answer.
        """
        totals: dict[tuple[str, str], Total] = {}
        async for entry in self.entries(workspace):
            key = (entry.workspace, entry.subject)
            totals.setdefault(key, Total(*key)).add(entry)
        return [totals[key] for key in sorted(totals)]
