"""Measures the ledger's writes and its writers' processor time by load.

Writers of all partitions run in this process and append a batch every
``--interval`` seconds. They write to an in-process table or, with
``--endpoint``, to a table service:
``python -m limpetwalk_bench.ledger_rate --out report.md``.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
import pathlib
import time

from absl import app
from absl import flags
from result import Result
import uvloop

from limpetwalk import clock as clocks
from limpetwalk import metrics
from limpetwalk.ledger import base
from limpetwalk.ledger import partition
from limpetwalk.ledger import rows
from limpetwalk.providers import base as platform
from limpetwalk.providers import dynamodb
from limpetwalk.providers import memory
from limpetwalk.providers import settings

ENTRY_RATES = (10, 77, 385, 770, 1540)
PARTITIONS = 16
TAKEOVER_BATCHES = 48

ENDPOINT = flags.DEFINE_string(
    "endpoint", "", "URL of a table service; empty uses an in-process table."
)
INTERVAL = flags.DEFINE_float("interval", 0.1, "Seconds between batches.")
DURATION = flags.DEFINE_float("duration", 5.0, "Seconds for each load.")
OUT = flags.DEFINE_string("out", "", "File for the report; empty prints it.")


class CountingTable:
    """Table that counts the reads and writes that it passes on.

    :param table: table that stores the rows.
    """

    def __init__(self, table: platform.TableStore) -> None:
        self.transactions = 0
        self.items = 0
        self.reads = 0
        self.latency = metrics.LatencyHistogram("append", "Transactions.")
        self._table = table

    async def get(self, key: platform.RowKey) -> platform.Row | None:
        """Return a row."""
        self.reads += 1
        return await self._table.get(key)

    async def query(
        self,
        partition: str,
        after: str = "",
        prefix: str = "",
        limit: int = 1000,
        descending: bool = False,
    ) -> list[platform.Row]:
        """Return rows of a partition."""
        self.reads += 1
        return await self._table.query(
            partition, after, prefix, limit, descending
        )

    async def transact(
        self, writes: Sequence[platform.Write], write_id: str
    ) -> Result[None, platform.Conflict]:
        """Apply all writes or none."""
        self.transactions += 1
        self.items += len(writes)
        started = time.perf_counter()
        result = await self._table.transact(writes, write_id)
        self.latency.record(time.perf_counter() - started)
        return result

    async def close(self) -> None:
        """Leave the table open; its owner closes it."""


@dataclass(frozen=True, slots=True)
class RateResult:
    """Figures of one rate of entries.

    :param offered: entries offered a second.
    :param appended: entries that became durable a second.
    :param transactions: transactions a second.
    :param items: rows named in transactions a second.
    :param core_share: share of a core that one writer took.
    :param p50_ms: median duration of a transaction in milliseconds.
    :param p99_ms: 99th percentile of the durations in milliseconds.
    """

    offered: int
    appended: float
    transactions: float
    items: float
    core_share: float
    p50_ms: float
    p99_ms: float


def make_entry(run_id: str, number: int) -> base.BillEntry:
    """Return a bill entry of typical size."""
    return base.BillEntry(
        workspace="lodge-franchise",
        request_key=f"{run_id}-{number:012d}-0123456789abcdef",
        request_id=f"req-{number:012d}-0123456789abcdef",
        subject="assistant",
        steps=("small:2026-11-02", "strong:2026-10-17"),
        input_tokens=1834,
        output_tokens=441,
        cost=52_817,
        answered_at=1_790_000_000.123,
        node="entry-07",
    )


class EntryGenerator:
    """Offers entries at a constant rate to the writers of all partitions.

    :param table: table that the writers append to.
    :param run_id: identifier that no other run on the table uses.
    :param rate: entries a second.
    """

    def __init__(self, table: CountingTable, run_id: str, rate: int) -> None:
        self._run_id = run_id
        self._rate = rate
        self._created = 0
        self._pending: list[list[base.BillEntry]] = [
            [] for _ in range(PARTITIONS)
        ]
        clock = clocks.SystemClock()
        self._writers = [
            partition.LedgerPartition(table, number, clock)
            for number in range(PARTITIONS)
        ]

    async def prepare(self) -> None:
        """Have each writer find the end of its partition's log."""
        for writer in self._writers:
            await writer.append([])

    async def run(self, duration: float, interval: float) -> int:
        """Offer entries and return how many became durable.

        :param duration: length of the run in seconds.
        :param interval: seconds between batches.
        """
        started = time.perf_counter()
        appended = 0
        while (now := time.perf_counter() - started) < duration:
            self._create_entries(int(now * self._rate))
            appended += sum(
                await asyncio.gather(*map(self._flush, range(PARTITIONS)))
            )
            elapsed = time.perf_counter() - started - now
            await asyncio.sleep(max(0.0, interval - elapsed))
        return appended

    def _create_entries(self, until: int) -> None:
        while self._created < until:
            entry = make_entry(self._run_id, self._created)
            self._pending[rows.partition_of(entry, PARTITIONS)].append(entry)
            self._created += 1

    async def _flush(self, number: int) -> int:
        entries = self._pending[number]
        self._pending[number] = []
        return await self._writers[number].append(entries)


async def measure(table: platform.TableStore, rate: int) -> RateResult:
    """Return the figures of one rate of entries."""
    duration = DURATION.value
    counting_table = CountingTable(table)
    generator = EntryGenerator(counting_table, f"{time.time_ns()}", rate)
    await generator.prepare()
    cpu_started = time.process_time()
    started = time.perf_counter()
    appended = await generator.run(duration, INTERVAL.value)
    elapsed = time.perf_counter() - started
    return RateResult(
        offered=rate,
        appended=appended / elapsed,
        transactions=counting_table.transactions / elapsed,
        items=counting_table.items / elapsed,
        core_share=(time.process_time() - cpu_started) / elapsed / PARTITIONS,
        p50_ms=counting_table.latency.quantile(0.5) * 1e3,
        p99_ms=counting_table.latency.quantile(0.99) * 1e3,
    )


async def measure_takeover(table: platform.TableStore) -> str:
    """Return the cost of a takeover that reads a full deduplication window.

    :returns: a line of the report.
    """
    clock = clocks.SystemClock()
    number = PARTITIONS + time.time_ns()
    writer = partition.LedgerPartition(table, number, clock)
    batch_size = partition.DEDUPE_ENTRIES // TAKEOVER_BATCHES
    for batch in range(TAKEOVER_BATCHES):
        first_number = batch * batch_size
        await writer.append(
            [
                make_entry("t", first_number + offset)
                for offset in range(batch_size)
            ]
        )
    counting_table = CountingTable(table)
    successor = partition.LedgerPartition(counting_table, number, clock)
    cpu_started = time.process_time()
    started = time.perf_counter()
    await successor.append([])
    elapsed = time.perf_counter() - started
    cpu_seconds = time.process_time() - cpu_started
    return (
        f"Takeover of a partition with {batch_size * TAKEOVER_BATCHES} "
        f"entries in {TAKEOVER_BATCHES} batches: {elapsed:.2f} s, "
        f"{cpu_seconds:.2f} s of processor time, {counting_table.reads} "
        "queries.\n"
    )


def format_report(results: list[RateResult], takeover: str) -> str:
    """Return the report as Markdown."""
    table_kind = ENDPOINT.value and "table service stand-in over TCP"
    lines = [
        "# Ledger writes by load\n",
        f"{PARTITIONS} partitions, a batch every {INTERVAL.value:g} s, "
        f"{DURATION.value:g} s for each load, "
        f"{table_kind or 'in-process table'}.\n",
        "| entries/s offered | appended/s | transactions/s | rows/s "
        "| % of a core per writer | p50 ms | p99 ms |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {result.offered} | {result.appended:.0f} "
        f"| {result.transactions:.0f} | {result.items:.0f} "
        f"| {result.core_share * 100:.2f} | {result.p50_ms:.1f} "
        f"| {result.p99_ms:.1f} |"
        for result in results
    ]
    return "\n".join(lines) + "\n\n" + takeover


async def run() -> str:
    """Measure all rates of entries and return the report."""
    if not ENDPOINT.value:
        return await _run_on(memory.MemoryTable())
    cfg = settings.TableSettings(endpoint=ENDPOINT.value, timeout=5.0)
    table = dynamodb.DynamoTable(cfg)
    await table.open()
    try:
        return await _run_on(table)
    finally:
        await table.close()


async def _run_on(table: platform.TableStore) -> str:
    results = [await measure(table, rate) for rate in ENTRY_RATES]
    return format_report(results, await measure_takeover(table))


def main(argv: list[str]) -> None:
    """Run the measurement and write or print the report."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    report = uvloop.run(run())
    if OUT.value:
        pathlib.Path(OUT.value).write_text(report, "utf-8")
    else:
        print(report)


if __name__ == "__main__":
    app.run(main)
