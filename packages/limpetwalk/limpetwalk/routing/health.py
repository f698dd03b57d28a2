"""Reading of load reports, which also probes backend servers."""

import asyncio
from collections.abc import Callable
import contextlib

from .. import clock as clocks
from .. import metrics as metrics_module
from ..backends import base as backends
from ..conf import snapshot
from . import circuit
from . import core as cores
from . import replicas

INTERVAL = 1.0
MOST_AT_ONCE = 16

Owns = Callable[[snapshot.Server], bool]
Publish = Callable[[str, backends.LoadReport], None]


class HealthReader:
    """Reads the load of the servers that this node reads for its zone.

    Servers whose circuit is open are read by every node that found them
    failing, so that each learns when they are back.

    :param core: parts shared by the dispatchers.
    :param owns: whether this node reads a server for the others.
    :param publish: called with each report read, to tell the peers.
    :param interval: time between two reads of a server, in seconds.
    """

    def __init__(
        self,
        core: cores.Core,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        owns: Owns = lambda server: True,
        publish: Publish = lambda name, report: None,
        interval: float = INTERVAL,
    ) -> None:
        self._core = core
        self._clock = clock
        self._owns = owns
        self._publish = publish
        self._interval = interval
        self._task: asyncio.Task[None] | None = None
        self._reads = metrics.counter(
            "limpetwalk_load_reads", "Load reports read.", ("result",)
        )

    def start(self) -> None:
        """Start to read."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def read_all(self) -> None:
        """Read each server of this node once."""
        gate = asyncio.Semaphore(MOST_AT_ONCE)
        now = self._clock.monotonic()
        held = [
            replica
            for replica in self._core.directory.current().by_name.values()
            if self._owns(replica.server) or _is_open(replica, now)
        ]
        await asyncio.gather(*(self._read(gate, item) for item in held))
        await self._core.directory.close_retired()

    def receive(self, name: str, report: backends.LoadReport) -> None:
        """Take a report that a peer read."""
        replica = self._core.directory.replica(name)
        if replica is not None:
            self._note(replica, report)

    async def _run(self) -> None:
        while True:
            await self.read_all()
            await asyncio.sleep(self._interval)

    async def _read(
        self, gate: asyncio.Semaphore, replica: replicas.Replica
    ) -> None:
        async with gate:
            try:
                report = await replica.client.load()
            except backends.AttemptFailed:
                self._reads.labels("failed").inc()
                replica.circuit.probe_failed(self._clock.monotonic())
                return
        self._reads.labels("read").inc()
        self._note(replica, report)
        replica.circuit.probe_answered()
        self._publish(replica.name, report)

    def _note(
        self, replica: replicas.Replica, report: backends.LoadReport
    ) -> None:
        if replica.note_report(report, self._clock.monotonic()):
            self._core.outcomes.note_boot(replica)
        if self._core.admission.waiting:
            self._core.admission.pump(replicas.subjects(replica.server))


def _is_open(replica: replicas.Replica, now: float) -> bool:
    return replica.circuit.state(now) is not circuit.State.CLOSED
