"""Summary of a run, as tables for people and as data for programs."""

from collections import Counter
from collections.abc import Iterable
import json
import pathlib

from hdrh import histogram
from rich import console as consoles
from rich import table as tables

from . import outcome
from . import runner

HIGHEST_US = 600_000_000
DIGITS = 3
QUANTILES = (50, 95, 99)


def quantiles_ms(values: Iterable[float]) -> list[float]:
    """Return the reported quantiles of latencies in seconds.

    :returns: milliseconds at each of ``QUANTILES``.
    """
    hdr = histogram.HdrHistogram(1, HIGHEST_US, DIGITS)
    for value in values:
        hdr.record_value(max(1, int(value * 1e6)))
    return [hdr.get_value_at_percentile(share) / 1000 for share in QUANTILES]


def print_report(result: runner.RunResult) -> None:
    """Print the summary tables."""
    console = consoles.Console(width=79, highlight=False)
    for table in (
        _outcome_table(result),
        _latency_table(result.outcomes),
        _money_table(result),
        _promise_table(result),
    ):
        console.print(table)
    for line in result.faults:
        console.print(f"fault: {line}")


def holds(result: runner.RunResult) -> bool:
    """Return whether no promise was broken."""
    return all(verdict.broken == 0 for verdict in result.verdicts)


def write_json(result: runner.RunResult, path: pathlib.Path) -> None:
    """Write the run's raw data for later plots."""
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
            "tries": o.tries,
            "version": o.version,
        }
        for o in result.outcomes
    ]
    verdicts = [
        {
            "promise": verdict.promise,
            "looked_at": verdict.looked_at,
            "broken": verdict.broken,
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
    for share in QUANTILES:
        table.add_column(f"p{share}", justify="right")
    answered = [o for o in outcomes if o.answered]
    for name, values in (
        ("whole answer", [o.latency for o in answered]),
        (
            "first token",
            [o.first_token for o in answered if o.first_token is not None],
        ),
        ("between tokens", [gap for o in answered for gap in o.gaps]),
    ):
        cells = [f"{value:.1f}" for value in quantiles_ms(values)]
        table.add_row(name, *cells)
    return table


def _money_table(result: runner.RunResult) -> tables.Table:
    table = tables.Table(title="Tokens, cost and bills by workspace")
    for name in ("workspace", "answers", "entries", "tokens", "cost"):
        table.add_column(
            name, justify="left" if name == "workspace" else "right"
        )
    answered = Counter(o.plan.caller for o in result.outcomes if o.answered)
    entries = Counter(entry.workspace for entry in result.entries)
    for name in sorted(answered | entries):
        own = [e for e in result.entries if e.workspace == name]
        table.add_row(
            name,
            str(answered[name]),
            str(entries[name]),
            str(sum(e.input_tokens + e.output_tokens for e in own)),
            str(sum(e.cost for e in own)),
        )
    return table


def _promise_table(result: runner.RunResult) -> tables.Table:
    table = tables.Table(title="Promises")
    table.add_column("promise")
    table.add_column("cases", justify="right")
    table.add_column("broken", justify="right")
    table.add_column("examples")
    for verdict in result.verdicts:
        table.add_row(
            verdict.promise,
            str(verdict.looked_at),
            str(verdict.broken),
            "\n".join(verdict.examples),
        )
    return table
