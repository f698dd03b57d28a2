"""Load reports of backend servers, each read by one node and shared.

The reader of a server is chosen by rendezvous hash among the nodes of its
zone, and tells the nodes of the zone. So the cost of a node depends on the
size of its zone, not on the number of nodes or servers in all.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
import random
from typing import Any

from limpetwalk import clock as clocks
from limpetwalk import metrics as metrics_
from limpetwalk.backends import base as backends
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import loops
from limpetwalk.peers import messages
from limpetwalk.peers import rendezvous
from limpetwalk.routing import replicas

READ_INTERVAL = 2.0
READ_TIMEOUT = 1.0
# Unchanged loads are told again before receivers take them for outdated,
# which is after 3 s: at each reading, but not for each of several readers.
REPEAT_INTERVAL = 1.5
CHANGE_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class _Told:
    report: messages.ServerReport
    at: float


class LoadReporter:
    """Reads the load of some backend servers and shares it.

    :param hub: links to the peers.
    :param directory: replicas that reports are noted at.
    :param ready: tells whether there is a configuration to look at.
    :param clock: source of time.
    :param rng: source of random numbers.
    :param metrics: metrics of the process.
    :param note: takes a replica's report, read here or by a peer.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        directory: replicas.Directory,
        ready: Callable[[], bool],
        clock: clocks.Clock,
        rng: random.Random,
        metrics: metrics_.Metrics,
        note: Callable[[replicas.Replica, backends.LoadReport], None],
    ) -> None:
        self._hub = hub
        self._directory = directory
        self._ready = ready
        self._clock = clock
        self._rng = rng
        self._note = note
        self._told: dict[str, _Told] = {}
        self._reading: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._reports = metrics.counter(
            "limpetwalk_load_reports",
            "Load reports read, sent and received, and reads that failed.",
            ("way",),
        )
        hub.subscribe(messages.ServerReport, self._on_report)

    async def start(self) -> None:
        """Begin to read reports."""
        self._spawn(loops.repeat(self._read_all, self._interval))

    async def stop(self) -> None:
        """Stop reading."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def assigned_replicas(self) -> list[replicas.Replica]:
        """Return the replicas that this node reads."""
        if not self._ready():
            return []
        peers = [peer for peer in self._hub.live() if not peer.leaving]
        by_zone: dict[str, list[str]] = {self._hub.zone: [self._hub.name]}
        for peer in peers:
            by_zone.setdefault(peer.zone, []).append(peer.name)
        everybody = [self._hub.name, *(peer.name for peer in peers)]
        found = []
        for name, replica in self._directory.current().by_name.items():
            # A zone without entry nodes is read by those that see it.
            names = by_zone.get(replica.server.zone, everybody)
            if rendezvous.owner(f"load/{name}", names) == self._hub.name:
                found.append(replica)
        return found

    async def _read_all(self) -> None:
        for replica in self.assigned_replicas():
            if replica.name not in self._reading:
                self._reading.add(replica.name)
                self._spawn(self._read(replica))
        await self._directory.close_retired()

    def _interval(self) -> float:
        return READ_INTERVAL * self._rng.uniform(0.9, 1.1)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read(self, replica: replicas.Replica) -> None:
        try:
            async with asyncio.timeout(READ_TIMEOUT):
                load = await replica.client.load()
        except (backends.AttemptFailed, TimeoutError):
            self._reports.labels("failed").inc()
            return
        finally:
            self._reading.discard(replica.name)
        self._reports.labels("read").inc()
        self._note(replica, load)
        self.publish(replica.name, load)

    def publish(self, name: str, load: backends.LoadReport) -> None:
        """Tell the nodes nearby of a load, unless they know it."""
        report = messages.ServerReport(
            server=name,
            boot_id=load.boot_id,
            running=load.running,
            waiting=load.waiting,
            token_ms=load.token_ms,
            age=load.age,
        )
        now = self._clock.monotonic()
        told = self._told.get(name)
        if told is not None and now - told.at < REPEAT_INTERVAL:
            if not _differ(told.report, report):
                return
        self._told[name] = _Told(report, now)
        self._reports.labels("sent").inc()
        self._hub.broadcast_near(report)

    async def _on_report(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        assert isinstance(message, messages.ServerReport)
        self._reports.labels("received").inc()
        if not self._ready():
            return None
        replica = self._directory.replica(message.server)
        if replica is not None:
            load = backends.LoadReport(
                boot_id=message.boot_id,
                running=message.running,
                waiting=message.waiting,
                token_ms=message.token_ms,
                age=message.age,
            )
            self._note(replica, load)
        return None


def _differ(old: messages.ServerReport, new: messages.ServerReport) -> bool:
    if old.boot_id != new.boot_id:
        return True
    before = old.running + old.waiting
    after = new.running + new.waiting
    return abs(after - before) > CHANGE_SHARE * max(1, before)
