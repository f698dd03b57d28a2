"""Compares an entry node with a direct call and a bare pass-through.

The targets take turns in short slices of one run, so that other load on the
machine affects all of them equally.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import functools
import pathlib
import random
import sys
from typing import Any

from absl import app
from absl import flags
import aiohttp
from rich import console as consoles
from rich import table as tables
import uvloop

from . import measure

_ENGINE = flags.DEFINE_string("engine", "", "URL of the engine stand-in")
_PASS = flags.DEFINE_string("passthrough", "", "URL of the pass-through")
_NODE = flags.DEFINE_string("node", "", "URL of the entry node")
_KEY = flags.DEFINE_string("key", "", "bearer key of a workspace")
_MODEL = flags.DEFINE_string("model", "", "public model name")
_VERSION = flags.DEFINE_string("version", "", "model:version of the engine")
_ROUNDS = flags.DEFINE_integer("rounds", 5, "slices of each target")
_SLICE = flags.DEFINE_float("slice", 1.0, "length of a slice, in seconds")
_CONCURRENCY = flags.DEFINE_integer("concurrency", 16, "closed-loop clients")
_OUT = flags.DEFINE_string("out", "", "file for the table (Markdown)")
_SEED = flags.DEFINE_integer("seed", 1, "seed of the arrivals")

# The entry node always asks the engine to stream, so that it can detect a
# silent connection. This target shows the cost of streaming alone.
STREAMED = "direct, streamed"


@dataclass(slots=True)
class Row:
    """Measurements of one target.

    :param target: target that was measured.
    :param make_body: makes the body of a request.
    :param peak: highest rate of the closed loop, in answers a second.
    :param sample: latencies of the open loop.
    """

    target: measure.Target
    make_body: Callable[[], dict[str, Any]]
    peak: float = 0.0
    sample: measure.Sample = field(default_factory=measure.Sample)


@dataclass(frozen=True, slots=True)
class Comparison:
    """Measurements of all targets; the last is the entry node.

    :param rate: requests a second of the open loop.
    :param rows: direct, direct and streamed, pass-through, entry node.
    """

    rate: float
    rows: list[Row]


def _make_targets() -> list[measure.Target]:
    path = "/v1/chat/completions"
    direct = {
        "X-Request-Id": "overhead",
        "X-Attempt-Id": "overhead",
        "X-Model-Version": _VERSION.value,
    }
    return [
        measure.Target("direct", _ENGINE.value + path, direct),
        measure.Target(STREAMED, _ENGINE.value + path, direct),
        measure.Target("pass-through", _PASS.value + path, direct),
        measure.Target(
            "entry node",
            _NODE.value + path,
            {"Authorization": f"Bearer {_KEY.value}"},
        ),
    ]


def _make_body(rng: random.Random, target: measure.Target) -> dict[str, Any]:
    prompt = " ".join(f"w{rng.randint(0, 999)}" for _ in range(30))
    model = _MODEL.value if target.name == "entry node" else _VERSION.value
    return {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": 8,
        "stream": target.name == STREAMED,
    }


async def _measure() -> Comparison:
    rng = random.Random(_SEED.value)
    rows = [
        Row(target, functools.partial(_make_body, rng, target))
        for target in _make_targets()
    ]
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        for _ in range(_ROUNDS.value):
            for row in rows:
                slice_peak = await measure.closed_loop(
                    http,
                    row.target,
                    row.make_body,
                    _CONCURRENCY.value,
                    _SLICE.value,
                )
                row.peak = max(row.peak, slice_peak)
        rate = rows[-1].peak / 2
        for _ in range(_ROUNDS.value):
            for row in rows:
                await measure.open_loop(
                    http,
                    row.target,
                    row.make_body,
                    rate,
                    _SLICE.value,
                    rng,
                    row.sample,
                )
    return Comparison(rate, rows)


COLUMNS = (
    "target",
    "peak req/s",
    "p50 ms",
    "p99 ms",
    "added p50",
    "added p99",
)


def _cells(comparison: Comparison) -> list[tuple[str, ...]]:
    direct = comparison.rows[0].sample
    cells: list[tuple[str, ...]] = []
    for row in comparison.rows:
        p50 = row.sample.quantile_ms(0.5)
        p99 = row.sample.quantile_ms(0.99)
        cells.append(
            (
                row.target.name,
                f"{row.peak:.0f}",
                f"{p50:.2f}",
                f"{p99:.2f}",
                f"{p50 - direct.quantile_ms(0.5):+.2f}",
                f"{p99 - direct.quantile_ms(0.99):+.2f}",
            )
        )
    return cells


def _write_markdown(title: str, cells: list[tuple[str, ...]]) -> None:
    path = pathlib.Path(_OUT.value)
    path.parent.mkdir(parents=True, exist_ok=True)
    lines = [f"# {title}", "", "| " + " | ".join(COLUMNS) + " |"]
    lines.append("|---" * len(COLUMNS) + "|")
    lines.extend("| " + " | ".join(row) + " |" for row in cells)
    path.write_text("\n".join(lines) + "\n", "utf-8")


def main(argv: list[str]) -> int:
    """Measure and print the table; exit with 1 if a request failed."""
    del argv
    comparison = uvloop.run(_measure())
    title = f"Non-streamed call at {comparison.rate:.0f} requests/s"
    cells = _cells(comparison)
    table = tables.Table(*COLUMNS, title=title)
    for row in cells:
        table.add_row(*row)
    consoles.Console(width=79, highlight=False).print(table)
    if _OUT.value:
        _write_markdown(title, cells)
    return 1 if any(row.sample.errors for row in comparison.rows) else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
