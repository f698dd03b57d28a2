"""Measures the store's writes and the writers' processor time by load.

Writers of all partitions run in this process and append every
``--interval`` seconds. Without ``--endpoint`` they write to an in-process
table, with it to a table service:
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

LOADS = (10, 77, 385, 770, 1540)
PARTITIONS = 16
TAKEOVER_ROWS = 48

ENDPOINT = flags.DEFINE_string(
    "endpoint", "", "URL of a table service; empty uses an in-process table."
)
INTERVAL = flags.DEFINE_float("interval", 0.1, "Seconds between batches.")
DURATION = flags.DEFINE_float("duration", 5.0, "Seconds for each load.")
OUT = flags.DEFINE_string("out", "", "File for the report; empty prints it.")


class CountingTable:
    """Table that counts what its writers ask for.

    :param table: table that does the work.
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
        since = time.perf_counter()
        outcome = await self._table.transact(writes, write_id)
        self.latency.record(time.perf_counter() - since)
        return outcome

    async def close(self) -> None:
        """Leave the table open; its owner closes it."""


@dataclass(frozen=True, slots=True)
class Measured:
    """Figures of one load.

    :param load: entries offered a second.
    :param appended: entries that became durable a second.
    :param transactions: transactions a second.
    :param items: rows named in transactions a second.
    :param core: share of a core that one writer took.
    :param p50_ms: median of a transaction, in milliseconds.
    :param p99_ms: 99th percentile of it.
    """

    load: int
    appended: float
    transactions: float
    items: float
    core: float
    p50_ms: float
    p99_ms: float


def make_entry(run: str, number: int) -> base.BillEntry:
    """Return an entry of ordinary size."""
    return base.BillEntry(
        workspace="lodge-franchise",
        request_key=f"{run}-{number:012d}-0123456789abcdef",
        request_id=f"req-{number:012d}-0123456789abcdef",
        subject="assistant",
        steps=("small:2026-11-02", "strong:2026-10-17"),
        input_tokens=1834,
        output_tokens=441,
        cost=52_817,
        answered_at=1_790_000_000.123,
        node="entry-07",
    )


class Load:
    """Offers entries at a rate to the writers of all partitions.

    :param table: table that is counted.
    :param run: name that no other run on the table uses.
    :param rate: entries a second.
    """

    def __init__(self, table: CountingTable, run: str, rate: int) -> None:
        self._run = run
        self._rate = rate
        self._offered = 0
        self._waiting: list[list[base.BillEntry]] = [
            [] for _ in range(PARTITIONS)
        ]
        clock = clocks.SystemClock()
        self._writers = [
            partition.LedgerPartition(table, number, clock)
            for number in range(PARTITIONS)
        ]

    async def prepare(self) -> None:
        """Let the writers find the ends of their logs."""
        for writer in self._writers:
            await writer.append([])

    async def run(self, duration: float, interval: float) -> int:
        """Offer entries for a time and return how many became durable."""
        since = time.perf_counter()
        appended = 0
        while (now := time.perf_counter() - since) < duration:
            self._offer(int(now * self._rate))
            appended += sum(
                await asyncio.gather(*map(self._flush, range(PARTITIONS)))
            )
            spent = time.perf_counter() - since - now
            await asyncio.sleep(max(0.0, interval - spent))
        return appended

    def _offer(self, until: int) -> None:
        while self._offered < until:
            entry = make_entry(self._run, self._offered)
            self._waiting[rows.partition_of(entry, PARTITIONS)].append(entry)
            self._offered += 1

    async def _flush(self, number: int) -> int:
        entries = self._waiting[number]
        self._waiting[number] = []
        return await self._writers[number].append(entries)


async def measure(table: platform.TableStore, load: int) -> Measured:
    """Return the figures of one load."""
    duration = DURATION.value
    counted = CountingTable(table)
    offered = Load(counted, f"{time.time_ns()}", load)
    await offered.prepare()
    cpu = time.process_time()
    since = time.perf_counter()
    appended = await offered.run(duration, INTERVAL.value)
    took = time.perf_counter() - since
    return Measured(
        load=load,
        appended=appended / took,
        transactions=counted.transactions / took,
        items=counted.items / took,
        core=(time.process_time() - cpu) / took / PARTITIONS,
        p50_ms=counted.latency.quantile(0.5) * 1e3,
        p99_ms=counted.latency.quantile(0.99) * 1e3,
    )


async def measure_takeover(table: platform.TableStore) -> str:
    """Return what it takes to read a full window of remembered keys."""
    clock = clocks.SystemClock()
    number = PARTITIONS + time.time_ns()
    writer = partition.LedgerPartition(table, number, clock)
    size = partition.DEDUPE_ENTRIES // TAKEOVER_ROWS
    for row in range(TAKEOVER_ROWS):
        first = row * size
        await writer.append(
            [make_entry("t", first + each) for each in range(size)]
        )
    counted = CountingTable(table)
    successor = partition.LedgerPartition(counted, number, clock)
    cpu = time.process_time()
    since = time.perf_counter()
    await successor.append([])
    took = time.perf_counter() - since
    used = time.process_time() - cpu
    return (
        f"Takeover of a partition with {size * TAKEOVER_ROWS} entries in "
        f"{TAKEOVER_ROWS} batches: {took:.2f} s, {used:.2f} s of processor "
        f"time, {counted.reads} queries.\n"
    )


def report(measured: list[Measured], takeover: str) -> str:
    """Return the report as Markdown."""
    place = ENDPOINT.value and "table service stand-in over TCP"
    lines = [
        "# Ledger writes by load\n",
        f"{PARTITIONS} partitions, a batch every {INTERVAL.value:g} s, "
        f"{DURATION.value:g} s for each load, "
        f"{place or 'in-process table'}.\n",
        "| entries/s offered | appended/s | transactions/s | rows/s "
        "| % of a core per writer | p50 ms | p99 ms |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {each.load} | {each.appended:.0f} | {each.transactions:.0f} "
        f"| {each.items:.0f} | {each.core * 100:.2f} | {each.p50_ms:.1f} "
        f"| {each.p99_ms:.1f} |"
        for each in measured
    ]
    return "\n".join(lines) + "\n\n" + takeover


async def run() -> str:
    """Measure all loads and return the report."""
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
    measured = [await measure(table, load) for load in LOADS]
    return report(measured, await measure_takeover(table))


def main(argv: list[str]) -> None:
    """Run the measurement."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    text = uvloop.run(run())
    if OUT.value:
        pathlib.Path(OUT.value).write_text(text, "utf-8")
    else:
        print(text)


if __name__ == "__main__":
    app.run(main)
