"""The program of the gateway: flags, signals, start and stop."""

import asyncio
import ctypes
import gc
import socket
import sys
import time

from absl import app as absl_app
from absl import flags
import aiomisc
import uvloop

from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk import registry
from limpetwalk.gateway import buffers

from . import events
from . import logs
from . import node
from . import signals

EXIT_OK = 0
EXIT_SETTINGS = 1
# Parameter of the C library's mallopt(3), and its value: the size from which
# a block of memory is mapped by itself, in bytes.
M_MMAP_THRESHOLD = -3
MAPPED_BYTES = 128 * 1024

_ADAPTER = flags.DEFINE_string(
    "adapter", None, "Module whose import registers the platform."
)
_PLATFORM = flags.DEFINE_string(
    "platform", None, "Name under which the platform is registered."
)
flags.DEFINE_string(
    "listen", None, "HOST:PORT for callers; the settings name it too."
)
_DEFAULT_LIMITS = buffers.ResponseLimits()
_HEAD_KIB = flags.DEFINE_integer(
    "answer_head_kib",
    _DEFAULT_LIMITS.head_bytes // buffers.KIB,
    "Maximum size of the headers of a server's answer, KiB.",
    lower_bound=4,
)
_BODY_KIB = flags.DEFINE_integer(
    "answer_body_kib",
    _DEFAULT_LIMITS.body_bytes // buffers.KIB,
    "Maximum size of the body of an answer that isn't a stream, KiB.",
    lower_bound=1,
)
_EVENT_KIB = flags.DEFINE_integer(
    "answer_event_kib",
    _DEFAULT_LIMITS.event_bytes // buffers.KIB,
    "Maximum size of an event of a stream, KiB.",
    lower_bound=16,
)
_BUFFERED_KIB = flags.DEFINE_integer(
    "buffered_kib",
    node.Gateway.max_buffered_bytes // buffers.KIB,
    "Maximum size of all incomplete bodies and events of the node, KiB.",
    lower_bound=64,
)


def run(sock: socket.socket | None) -> None:
    """Parse the flags and run the gateway until it is stopped.

    :param sock: listening socket for callers, None to open one.
    """
    flags.mark_flags_as_required(["adapter", "platform"])
    absl_app.run(lambda argv: _main(argv, sock))


def _main(argv: list[str], sock: socket.socket | None) -> int:
    started = time.monotonic()
    if len(argv) > 1:
        raise absl_app.UsageError(f"unexpected argument {argv[1]!r}")
    registry.load_plugins([_ADAPTER.value or ""])
    try:
        platform = registry.get(
            registry.Kind.PLATFORM, _PLATFORM.value or ""
        )()
    except exceptions.SettingsError as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    _map_large_blocks()
    metrics = metrics_.Metrics()
    journal = logs.configure(platform.settings.name, metrics)
    uvloop.run(_serve(platform, journal, metrics, started, sock))
    return EXIT_OK


def _map_large_blocks() -> None:
    """Let the bodies of requests leave no gaps in the memory.

    The C library raises the size from which it maps blocks when one is freed,
    so that growing bodies would be copied and freed ones stay with the
    process. Other C libraries than glibc lack the parameter.
    """
    try:
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
    except (AttributeError, OSError):
        pass


async def _serve(
    platform: node.ports.Platform,
    journal: logs.Journal,
    metrics: metrics_.Metrics,
    started: float,
    sock: socket.socket | None,
) -> None:
    loop = asyncio.get_running_loop()
    signalled: asyncio.Future[tuple[float, float]] = loop.create_future()
    gateway = node.Gateway(
        platform=platform,
        journal=journal,
        metrics=metrics,
        sock=sock,
        limits=buffers.ResponseLimits(
            head_bytes=_HEAD_KIB.value * buffers.KIB,
            body_bytes=_BODY_KIB.value * buffers.KIB,
            event_bytes=_EVENT_KIB.value * buffers.KIB,
        ),
        max_buffered_bytes=_BUFFERED_KIB.value * buffers.KIB,
    )

    waited = 0.0

    def stop() -> None:
        if not signalled.done():
            longest_wait = max(waited, gateway.last_pause())
            signalled.set_result((loop.time(), longest_wait))

    for signal_number in signals.STOP:
        loop.add_signal_handler(signal_number, stop)
    loop.add_signal_handler(signals.RELOAD, gateway.reload)
    waited = signals.release()
    entry = aiomisc.entrypoint(log_config=False, catch_signals=())
    async with entry as services:
        await services.start_services(gateway)
        gc.collect()
        gc.freeze()
        journal.emit(
            events.NodeStarted(
                platform.settings.name,
                platform.settings.zone,
                int((time.monotonic() - started) * 1000),
            )
        )
        await gateway.drain(*await signalled)
        journal.emit(
            events.NodeStopped(
                gateway.frontend.ended_requests, journal.dropped
            )
        )
    signals.hold()
    journal.flush(0.2)
