"""Compares an entry node with a direct call and a bare pass-through.

The targets take turns in short slices of one run, so that noise of the
machine falls on all of them alike.
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

# The entry node always has the engine stream, to see a silent connection.
STREAMED = "direct, streamed"


@dataclass(slots=True)
class Row:
    """Measurements of one target.

    :param target: what was measured.
    :param body: makes the body of a request.
    :param peak: answered requests a second of the closed loop.
    :param sample: latencies of the open loop.
    """

    target: measure.Target
    body: Callable[[], dict[str, Any]]
    peak: float = 0.0
    sample: measure.Sample = field(default_factory=measure.Sample)


@dataclass(frozen=True, slots=True)
class Comparison:
    """Measurements of all targets; the last is the entry node.

    :param rate: requests a second of the open loop.
    :param rows: direct, pass-through, entry node.
    """

    rate: float
    rows: list[Row]


def _targets() -> list[measure.Target]:
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


def _body(rng: random.Random, target: measure.Target) -> dict[str, Any]:
    words = " ".join(f"w{rng.randint(0, 999)}" for _ in range(30))
    model = _MODEL.value if target.name == "entry node" else _VERSION.value
    return {
        "model": model,
        "messages": [{"role": "user", "content": words}],
        "max_tokens": 8,
        "stream": target.name == STREAMED,
    }


async def _measure() -> Comparison:
    rng = random.Random(_SEED.value)
    rows = [
        Row(target, functools.partial(_body, rng, target))
        for target in _targets()
    ]
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        for _ in range(_ROUNDS.value):
            for row in rows:
                reached = await measure.closed_loop(
                    http,
                    row.target,
                    row.body,
                    _CONCURRENCY.value,
                    _SLICE.value,
                )
                row.peak = max(row.peak, reached)
        rate = rows[-1].peak / 2
        for _ in range(_ROUNDS.value):
            for row in rows:
                await measure.open_loop(
                    http,
                    row.target,
                    row.body,
                    rate,
                    _SLICE.value,
                    rng,
                    row.sample,
                )
    return Comparison(rate, rows)


HEADS = ("target", "peak req/s", "p50 ms", "p99 ms", "added p50", "added p99")


def _cells(found: Comparison) -> list[tuple[str, ...]]:
    base = found.rows[0].sample
    cells: list[tuple[str, ...]] = []
    for row in found.rows:
        p50 = row.sample.quantile_ms(0.5)
        p99 = row.sample.quantile_ms(0.99)
        cells.append(
            (
                row.target.name,
                f"{row.peak:.0f}",
                f"{p50:.2f}",
                f"{p99:.2f}",
                f"{p50 - base.quantile_ms(0.5):+.2f}",
                f"{p99 - base.quantile_ms(0.99):+.2f}",
            )
        )
    return cells


def _write_markdown(title: str, cells: list[tuple[str, ...]]) -> None:
    path = pathlib.Path(_OUT.value)
    path.parent.mkdir(parents=True, exist_ok=True)
    lines = [f"# {title}", "", "| " + " | ".join(HEADS) + " |"]
    lines.append("|---" * len(HEADS) + "|")
    lines.extend("| " + " | ".join(row) + " |" for row in cells)
    path.write_text("\n".join(lines) + "\n", "utf-8")


def main(argv: list[str]) -> int:
    """Measure and print the table; exit with 1 when a request failed."""
    del argv
    found = uvloop.run(_measure())
    title = f"Non-streamed call at {found.rate:.0f} requests/s"
    cells = _cells(found)
    table = tables.Table(*HEADS, title=title)
    for row in cells:
        table.add_row(*row)
    consoles.Console(width=79, highlight=False).print(table)
    if _OUT.value:
        _write_markdown(title, cells)
    return 1 if any(row.sample.errors for row in found.rows) else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
