"""Runs the platform's stand-ins: ``python -m limpetwalk_bench.providers``."""

import asyncio
import json
import signal

from absl import app
from absl import flags
import uvloop

from . import standin

PORT = flags.DEFINE_integer(
    "port",
    0,
    "Port of the control endpoint; the services take the next five. "
    "0 lets the system choose all.",
    lower_bound=0,
    upper_bound=65530,
)
SEED = flags.DEFINE_integer("seed", 0, "Seed of faults and scores.")


async def serve() -> None:
    """Serve until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    services = standin.PlatformStandIns(PORT.value, SEED.value)
    await services.start()
    print(json.dumps({"ready": True, "ports": services.ports()}), flush=True)
    await stop_requested.wait()
    await services.stop()


def main(argv: list[str]) -> None:
    """Run the stand-ins.

    :param argv: command line after absl has taken its flags.
    """
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    uvloop.run(serve())


if __name__ == "__main__":
    app.run(main)
