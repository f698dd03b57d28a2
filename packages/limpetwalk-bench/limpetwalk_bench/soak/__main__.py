"""Command line of the fault soak, which runs one seed after another.

``python -m limpetwalk_bench.soak --seeds=1-50`` prints a summary (JSON, one
line) for each seed and exits with 1 when a guarantee was violated.
"""

import asyncio
import dataclasses
import json
import logging
import pathlib
import signal
import sys
import tempfile

from absl import app
from absl import flags

from . import builds
from . import runner

_SEEDS = flags.DEFINE_string("seeds", "1", "Seed, or FIRST-LAST.")
_SECONDS = flags.DEFINE_float(
    "seconds", 15.0, "Seconds in which faults strike.", lower_bound=0.1
)
_COMMIT = flags.DEFINE_string(
    "from_commit",
    None,
    "Commit whose program the nodes run at first; they are replaced in turn.",
)
_LOGS = flags.DEFINE_string(
    "logs", None, "Folder that keeps the nodes' logs, one folder a seed."
)


def _parse_seeds(value: str) -> range:
    """Return the seeds that the value of ``--seeds`` names.

    :raises UsageError: if the value is neither a number nor a range.
    """
    first, _, last = value.partition("-")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError:
        raise app.UsageError(
            f"--seeds={value!r}: expected a number or FIRST-LAST"
        ) from None


async def _run_soak(
    seed: int, logs: pathlib.Path, older_build: tuple[str, ...]
) -> runner.Summary:
    """Run one soak; SIGTERM ends it and its processes."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    folder = logs / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    return await runner.run_soak(seed, _SECONDS.value, folder, older_build)


def _main(argv: list[str]) -> int:
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    # The stand-ins log each request and each caller that disconnects.
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    any_violated = False
    with tempfile.TemporaryDirectory() as scratch:
        older_build: tuple[str, ...] = ()
        if _COMMIT.value:
            older_build = builds.export(
                _COMMIT.value, pathlib.Path(scratch) / "build"
            )
        for seed in _parse_seeds(_SEEDS.value):
            logs = pathlib.Path(_LOGS.value or scratch)
            summary = asyncio.run(_run_soak(seed, logs, older_build))
            print(json.dumps(dataclasses.asdict(summary)), flush=True)
            any_violated = any_violated or bool(summary.broken)
    return int(any_violated)


if __name__ == "__main__":
    sys.exit(app.run(_main))
