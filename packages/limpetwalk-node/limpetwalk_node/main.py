"""Program ``limpetwalk``, which runs an entry node."""

import asyncio
import gc
import json
import signal
import socket
import sys

from absl import app as absl_app
from absl import flags
import aiomisc
from loguru import logger
from result import Err
import uvloop

from limpetwalk.providers import factory

from . import lifecycle
from . import listeners
from . import log_setup
from . import settings
from . import shutdown
from . import wiring

EXIT_OK = 0
EXIT_SETTINGS = 1
# Thresholds of gc.set_threshold(): net allocations before the youngest
# generation is collected, then collections of a generation before the next
# older one is collected.
COLLECTOR_THRESHOLDS = (10_000, 20, 50)

_SETTINGS = flags.DEFINE_string("settings", None, "YAML file of settings.")


def run() -> None:
    """Parse the command line and run the program."""
    flags.mark_flag_as_required("settings")
    absl_app.run(_main)


def _main(argv: list[str]) -> int:
    if len(argv) > 1:
        raise absl_app.UsageError(f"unexpected argument {argv[1]!r}")
    loaded = settings.load(_SETTINGS.value or "")
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    cfg = loaded.ok_value
    log_setup.configure(cfg.log)
    try:
        socks = [
            listeners.bind(listener)
            for listener in (cfg.callers, cfg.operators)
        ]
    except OSError as exc:
        print(f"{_SETTINGS.value}: can't listen: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    uvloop.run(serve(cfg, *socks))
    return EXIT_OK


async def serve(
    cfg: settings.NodeSettings,
    callers_sock: socket.socket,
    operators_sock: socket.socket,
) -> None:
    """Run a node until SIGTERM or SIGINT, then shut it down gracefully."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    platform = await factory.open_platform(cfg.platform)
    entry = aiomisc.entrypoint(log_config=False, catch_signals=())
    async with entry as services:
        node = wiring.Node(cfg=cfg, platform=platform)
        interfaces = node.interfaces
        await services.start_services(
            node,
            listeners.CallersListener(
                sock=callers_sock, api=interfaces.callers
            ),
            listeners.OperatorsListener(
                sock=operators_sock, interface=interfaces.operators
            ),
        )
        _tune_collector()
        interfaces.node_lifecycle.phase = lifecycle.Phase.SERVING
        _print_ready(node, callers_sock, operators_sock)
        await stop.wait()
        await shutdown.drain(
            interfaces.node_lifecycle, cfg.shutdown, node.hub, node.biller
        )


def _tune_collector() -> None:
    """Keep full garbage collections short and rare.

    The objects loaded so far live as long as the process. Each collection
    that traversed them would block the event loop for a tenth of a second.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def _print_ready(
    node: wiring.Node, callers: socket.socket, operators: socket.socket
) -> None:
    """Print the bound ports; the system chose those configured as 0."""
    ports = {
        "callers": callers.getsockname()[1],
        "operators": operators.getsockname()[1],
        "peers": int(node.hub.address.rpartition(":")[2]),
    }
    print(json.dumps({"ready": True, "ports": ports}), flush=True)
    logger.info("node {} is serving on ports {}", node.cfg.name, ports)


if __name__ == "__main__":
    run()
