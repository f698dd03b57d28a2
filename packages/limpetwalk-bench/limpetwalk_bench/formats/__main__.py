"""Command line of the recorder.

``python -m limpetwalk_bench.formats --commit=C --out=FILE`` writes the rows
and datagrams of the nodes of a commit to a file (JSON). A test decodes it.
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

from ..soak import builds
from . import recorder

_COMMIT = flags.DEFINE_string(
    "commit", None, "Commit whose program the nodes run.", required=True
)
_OUT = flags.DEFINE_string("out", None, "File to write.", required=True)


def _main(argv: list[str]) -> int:
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        build = builds.export(_COMMIT.value or "", folder / "build")
        recording = asyncio.run(recorder.record(build, folder))
    text = json.dumps(dataclasses.asdict(recording), indent=1)
    pathlib.Path(_OUT.value or "").write_text(f"{text}\n", "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(app.run(_main))
