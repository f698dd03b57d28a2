"""Load reports of backend servers, each read by one node and shared.

The reader of a server is chosen by rendezvous hash among the nodes of its
zone, and publishes the load to the nodes of the zone. So the cost of a node
depends on the size of its zone, not on the total number of nodes or servers.
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

# Durations are in seconds.
READ_INTERVAL = 2.0
READ_TIMEOUT = 1.0
# Receivers treat a load as stale after 3 s, so an unchanged load is published
# again before that: at each read, but not for each of several readers.
REPUBLISH_INTERVAL = 1.5
# Relative change of a server's load above which it is published at once.
MIN_CHANGE_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class _PublishedReport:
    report: messages.ServerReport
    at: float


class LoadReporter:
    """Reads the load of some backend servers and shares it.

    :param hub: links to the peers.
    :param directory: replicas that reports are recorded for.
    :param ready: returns whether there is a configuration in force.
    :param clock: source of time.
    :param rng: source of random numbers.
    :param metrics: metrics of the process.
    :param record: records a replica's report, read here or by a peer.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        directory: replicas.Directory,
        ready: Callable[[], bool],
        clock: clocks.Clock,
        rng: random.Random,
        metrics: metrics_.Metrics,
        record: Callable[[replicas.Replica, backends.LoadReport], None],
    ) -> None:
        self._hub = hub
        self._directory = directory
        self._ready = ready
        self._clock = clock
        self._rng = rng
        self._record = record
        self._last_published: dict[str, _PublishedReport] = {}
        self._pending_reads: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._reports = metrics.counter(
            "limpetwalk_load_reports",
            "Load reports read, sent and received, and reads that failed.",
            ("way",),
        )
        hub.subscribe(messages.ServerReport, self._on_report)

    async def start(self) -> None:
        """Start reading the loads of servers."""
        self._spawn(loops.run_periodically(self._read_all, self._interval))

    async def stop(self) -> None:
        """Cancel all reads."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def assigned_replicas(self) -> list[replicas.Replica]:
        """Return the replicas whose load this node reads."""
        if not self._ready():
            return []
        peers = [peer for peer in self._hub.live() if not peer.leaving]
        by_zone: dict[str, list[str]] = {self._hub.zone: [self._hub.name]}
        for peer in peers:
            by_zone.setdefault(peer.zone, []).append(peer.name)
        all_nodes = [self._hub.name, *(peer.name for peer in peers)]
        assigned = []
        for name, replica in self._directory.current().by_name.items():
            # The servers of a zone without entry nodes are shared among the
            # nodes of all zones.
            names = by_zone.get(replica.server.zone, all_nodes)
            if rendezvous.owner(f"load/{name}", names) == self._hub.name:
                assigned.append(replica)
        return assigned

    async def _read_all(self) -> None:
        for replica in self.assigned_replicas():
            if replica.name not in self._pending_reads:
                self._pending_reads.add(replica.name)
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
                load = await replica.client.fetch_load()
        except (backends.AttemptFailed, TimeoutError):
            self._reports.labels("failed").inc()
            return
        finally:
            self._pending_reads.discard(replica.name)
        self._reports.labels("read").inc()
        self._record(replica, load)
        self.publish(replica.name, load)

    def publish(self, name: str, load: backends.LoadReport) -> None:
        """Broadcast a load to the nodes nearby, unless it is unchanged."""
        report = messages.ServerReport(
            server=name,
            boot_id=load.boot_id,
            running=load.running,
            waiting=load.waiting,
            token_ms=load.token_ms,
            age=load.age,
        )
        now = self._clock.monotonic()
        previous = self._last_published.get(name)
        if previous is not None and now - previous.at < REPUBLISH_INTERVAL:
            if not _has_changed(previous.report, report):
                return
        self._last_published[name] = _PublishedReport(report, now)
        self._reports.labels("sent").inc()
        self._hub.broadcast_in_zone(report)

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
            self._record(replica, load)
        return None


def _has_changed(
    old: messages.ServerReport, new: messages.ServerReport
) -> bool:
    if old.boot_id != new.boot_id:
        return True
    old_load = old.running + old.waiting
    new_load = new.running + new.waiting
    return abs(new_load - old_load) > MIN_CHANGE_SHARE * max(1, old_load)
