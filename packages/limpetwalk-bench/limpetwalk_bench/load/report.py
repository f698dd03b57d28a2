"""Summary of a run, as printed tables and as JSON."""

from collections import Counter
from collections.abc import Iterable
import json
import pathlib

from hdrh import histogram
from rich import console as consoles
from rich import table as tables

from . import outcome
from . import runner

# Highest latency that the histogram holds, in microseconds, and its precision
# in significant digits.
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
# Reported percentiles.
PERCENTILES = (50, 95, 99)


def percentiles_ms(values: Iterable[float]) -> list[float]:
    """Return the reported percentiles of latencies.

    :param values: latencies in seconds.
    :returns: milliseconds at each of ``PERCENTILES``.
    """
    hdr = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for value in values:
        hdr.record_value(max(1, int(value * 1e6)))
    return [
        hdr.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    ]


def print_report(result: runner.RunResult) -> None:
    """Print the summary tables."""
    console = consoles.Console(width=79, highlight=False)
    for table in (
        _outcome_table(result),
        _latency_table(result.outcomes),
        _billing_table(result),
        _guarantee_table(result),
    ):
        console.print(table)
    for line in result.faults:
        console.print(f"fault: {line}")


def all_hold(result: runner.RunResult) -> bool:
    """Return whether no guarantee was violated."""
    return all(verdict.violations == 0 for verdict in result.verdicts)


def write_json(result: runner.RunResult, path: pathlib.Path) -> None:
    """Write the raw data of a run as JSON."""
    rows = [
        {
            "at": o.plan.at,
            "caller": o.plan.caller,
            "class": o.plan.request_class,
            "reason": o.reason,
            "run": o.run,
            "first_token": o.first_token,
            "latency": o.latency,
            "tokens": o.tokens,
            "tries": o.attempts,
            "version": o.version,
        }
        for o in result.outcomes
    ]
    verdicts = [
        {
            "promise": verdict.guarantee,
            "looked_at": verdict.case_count,
            "broken": verdict.violations,
        }
        for verdict in result.verdicts
    ]
    data = {"outcomes": rows, "verdicts": verdicts, "faults": result.faults}
    path.write_text(json.dumps(data, indent=1), "utf-8")


def _outcome_table(result: runner.RunResult) -> tables.Table:
    table = tables.Table(title="Requests by outcome")
    table.add_column("outcome")
    table.add_column("requests", justify="right")
    table.add_column("share", justify="right")
    counts = Counter(o.reason for o in result.outcomes)
    total = max(1, len(result.outcomes))
    for reason, count in counts.most_common():
        table.add_row(reason, str(count), f"{count / total:.1%}")
    return table


def _latency_table(outcomes: list[outcome.Outcome]) -> tables.Table:
    table = tables.Table(title="Latency of answered requests, ms")
    table.add_column("measure")
    for percentile in PERCENTILES:
        table.add_column(f"p{percentile}", justify="right")
    answered = [o for o in outcomes if o.answered]
    for name, values in (
        ("whole answer", [o.latency for o in answered]),
        (
            "first token",
            [o.first_token for o in answered if o.first_token is not None],
        ),
        ("between tokens", [gap for o in answered for gap in o.gaps]),
    ):
        cells = [f"{value:.1f}" for value in percentiles_ms(values)]
        table.add_row(name, *cells)
    return table


def _billing_table(result: runner.RunResult) -> tables.Table:
    table = tables.Table(title="Tokens, cost and bills by workspace")
    for name in ("workspace", "answers", "entries", "tokens", "cost"):
        table.add_column(
            name, justify="left" if name == "workspace" else "right"
        )
    answered = Counter(o.plan.caller for o in result.outcomes if o.answered)
    entries = Counter(entry.workspace for entry in result.entries)
    for name in sorted(answered | entries):
        billed = [e for e in result.entries if e.workspace == name]
        table.add_row(
            name,
            str(answered[name]),
            str(entries[name]),
            str(sum(e.input_tokens + e.output_tokens for e in billed)),
            str(sum(e.cost for e in billed)),
        )
    return table


def _guarantee_table(result: runner.RunResult) -> tables.Table:
    table = tables.Table(title="Promises")
    table.add_column("promise")
    table.add_column("cases", justify="right")
    table.add_column("broken", justify="right")
    table.add_column("examples")
    for verdict in result.verdicts:
        table.add_row(
            verdict.guarantee,
            str(verdict.case_count),
            str(verdict.violations),
            "\n".join(verdict.examples),
        )
    return table
