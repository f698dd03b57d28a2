"""Program that soaks entry nodes, one seed after another.

``python -m limpetwalk_bench.soak --seeds=1-50`` prints a line for each seed
and exits with 1 when a promise was broken.
"""

import asyncio
import dataclasses
import json
import logging
import pathlib
import sys
import tempfile

from absl import app
from absl import flags

from . import runner

_SEEDS = flags.DEFINE_string("seeds", "1", "Seed, or FIRST-LAST.")
_SECONDS = flags.DEFINE_float(
    "seconds", 15.0, "Seconds in which faults strike.", lower_bound=0.1
)
_LOGS = flags.DEFINE_string(
    "logs", None, "Folder that keeps the nodes' logs, one folder a seed."
)


def _seeds(text: str) -> range:
    """Return the seeds that a text names.

    :raises UsageError: when it names none.
    """
    first, _, last = text.partition("-")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError:
        raise app.UsageError(
            f"--seeds={text!r}: want a number or FIRST-LAST"
        ) from None


def _soak(seed: int, logs: pathlib.Path) -> runner.Summary:
    folder = logs / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(runner.soak(seed, _SECONDS.value, folder))


def _main(argv: list[str]) -> int:
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    # The stand-ins' own lines: they log each request, and callers that left.
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    broken = False
    with tempfile.TemporaryDirectory() as scratch:
        for seed in _seeds(_SEEDS.value):
            summary = _soak(seed, pathlib.Path(_LOGS.value or scratch))
            print(json.dumps(dataclasses.asdict(summary)), flush=True)
            broken = broken or bool(summary.broken)
    return int(broken)


if __name__ == "__main__":
    sys.exit(app.run(_main))
