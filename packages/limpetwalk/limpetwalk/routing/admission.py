"""Admission of work to replicas: choice, bounded queue, early refusal."""

import asyncio
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools

from .. import clock as clocks
from .. import metrics as metrics_module
from .. import refusals
from . import balancer as balancers
from . import refuse
from . import replicas
from . import service_times
from . import warmup

PUMP_INTERVAL = 0.05
MOST_DENIED = 4


@dataclass(frozen=True, slots=True)
class Need:
    """What a request needs of a replica.

    :param subject: version or service.
    :param priority: 0 is served first.
    :param deadline: monotonic instant by which it must have ended.
    :param affinity: key that prefers the same replica, or empty.
    :param tried: servers that it has tried.
    :param suspect: whether it may be what crashed a server; a replica gets
        one such request of this node at a time.
    """

    subject: Hashable
    priority: int
    deadline: float
    affinity: str = ""
    tried: frozenset[str] = frozenset()
    suspect: bool = False


@dataclass(slots=True, eq=False)
class Slot:
    """Right to have one request in flight at a replica.

    :param subject: version or service that it was asked for.
    :param permit: permit when the server is cold.
    :param started: monotonic instant at which it was given out.
    :param deadline: monotonic instant by which the request must have ended.
    :param suspect: whether the request may be what crashed a server.
    :param answered: whether the request got its whole answer.
    """

    subject: Hashable
    replica: replicas.Replica
    permit: warmup.Permit | None
    started: float
    deadline: float
    suspect: bool
    answered: bool = False


@dataclass(slots=True, eq=False)
class _Waiter:
    need: Need
    fut: asyncio.Future[Slot] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class Admission:
    """Gives out slots at replicas.

    :param directory: replicas.
    :param balancer: choice among usable replicas.
    :param permits: permits for cold servers.
    :param queue_length: returns the most requests that may wait.
    """

    def __init__(
        self,
        directory: replicas.Directory,
        balancer: balancers.Balancer,
        permits: warmup.PermitSource,
        queue_length: Callable[[], int],
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._directory = directory
        self._balancer = balancer
        self._permits = permits
        self._queue_length = queue_length
        self._clock = clock
        self._times = service_times.ServiceTimes()
        self._heaps: dict[Hashable, list[tuple[int, float, int, _Waiter]]] = {}
        self._order = itertools.count()
        self._waiting = 0
        self._pump_timer: asyncio.TimerHandle | None = None
        self._gauge = metrics.gauge(
            "limpetwalk_waiting_requests", "Requests that wait for a replica."
        )
        self._wait = metrics.latency(
            "limpetwalk_queue_wait", "Wait for a replica."
        )
        permits.subscribe(self._on_permits)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return self._waiting

    async def acquire(self, need: Need) -> Slot:
        """Return a slot, waiting in the queue for one.

        :raises Refused: not run, when no slot can be had in time.
        """
        self._refuse_hopeless(need, self._ahead(need))
        if not self._heaps.get(need.subject):
            slot = self.try_acquire(need)
            if slot is not None:
                return slot
        self._refuse_unserved(need)
        return await self._wait_for_slot(need)

    @contextlib.contextmanager
    def hold(self, slot: Slot) -> Iterator[None]:
        """Release a slot at the end of the context."""
        try:
            yield
        finally:
            self.release(slot)

    def release(self, slot: Slot) -> None:
        """Give a slot back."""
        replica = slot.replica
        replica.circuit.abandon()
        now = self._clock.monotonic()
        replica.finish(now)
        replica.suspects -= slot.suspect
        if slot.permit is not None:
            self._permits.release(slot.permit)
        held = now - slot.started if slot.answered else None
        self._times.finish(slot.subject, held)
        if self._waiting:
            self.pump(replicas.subjects(replica.server))

    def pump(self, subjects: list[Hashable] | None = None) -> None:
        """Give out slots to those who wait, the most urgent first.

        :param subjects: versions or services to serve; None serves all.
        """
        for subject in subjects or list(self._heaps):
            heap = self._heaps.get(subject)
            while heap:
                waiter = heap[0][3]
                if not waiter.fut.done() and not self._drop_late(waiter):
                    slot = self.try_acquire(waiter.need)
                    if slot is None:
                        break
                    waiter.fut.set_result(slot)
                heapq.heappop(heap)
            if not heap:
                self._heaps.pop(subject, None)

    def try_acquire(self, need: Need) -> Slot | None:
        """Return a slot if one is free now, past those who wait."""
        now = self._clock.monotonic()
        around = self._directory.around
        nodes = max(1, around.live_nodes())
        leaving = around.leaving()
        denied: set[str] = set()

        def usable(replica: replicas.Replica) -> bool:
            return (
                replica.server.address not in leaving
                and replica.name not in denied
                and not (need.suspect and replica.suspects)
                and replica.circuit.allows(now)
                and replica.has_room(now, nodes)
            )

        held = self._directory.current().by_subject.get(need.subject)
        while len(denied) < MOST_DENIED:
            replica = balancers.choose(
                self._balancer, held, usable, need.affinity, need.tried
            )
            if replica is None:
                return None
            slot = self._start(replica, need, now)
            if slot is not None:
                return slot
            denied.add(replica.name)
        return None

    def _start(
        self, replica: replicas.Replica, need: Need, now: float
    ) -> Slot | None:
        permit = None
        deadline = need.deadline
        if replica.is_cold(now):
            permit = self._permits.try_acquire(
                replica.server, replica.boot.boot_id
            )
            if permit is None:
                return None
            deadline = min(deadline, permit.expires_at)
        replica.start(now)
        self._times.start(need.subject)
        replica.suspects += need.suspect
        return Slot(need.subject, replica, permit, now, deadline, need.suspect)

    def _refuse_hopeless(self, need: Need, ahead: int) -> None:
        left = need.deadline - self._clock.monotonic()
        least = self._times.least_wait(need.subject, ahead)
        if left > 0 and left >= least:
            return
        reason = refusals.Reason.DEADLINE_TOO_SHORT
        if left <= 0:
            reason = refusals.Reason.DEADLINE_EXCEEDED
        raise refuse.refused(
            reason,
            refusals.RunState.NOT_RUN,
            f"{max(0.0, left):.2f} s are left, about {least:.2f} s needed",
        )

    def _drop_late(self, waiter: _Waiter) -> bool:
        """Refuse a waiter that no longer has time for its answer."""
        try:
            self._refuse_hopeless(waiter.need, ahead=0)
        except refusals.Refused as exc:
            waiter.fut.set_exception(exc)
            return True
        return False

    def _refuse_unserved(self, need: Need) -> None:
        if need.subject in self._directory.current().by_subject:
            return
        raise refuse.refused(
            refusals.Reason.NO_BACKEND_SERVER,
            refusals.RunState.NOT_RUN,
            "no backend server in service can run this",
        )

    def _ahead(self, need: Need) -> int:
        heap = self._heaps.get(need.subject, ())
        rank = (need.priority, need.deadline)
        return sum(1 for item in heap if item[:2] <= rank)

    async def _wait_for_slot(self, need: Need) -> Slot:
        self._make_room(need)
        waiter = _Waiter(need)
        item = (need.priority, need.deadline, next(self._order), waiter)
        heapq.heappush(self._heaps.setdefault(need.subject, []), item)
        self._waiting += 1
        self._gauge.set(self._waiting)
        self._arm()
        begun = self._clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, need.deadline - begun)):
                return await waiter.fut
        except TimeoutError:
            self._give_back(waiter)
            raise refuse.refused(
                refusals.Reason.DEADLINE_EXCEEDED,
                refusals.RunState.NOT_RUN,
                "no replica had room before the deadline",
            ) from None
        except asyncio.CancelledError:
            self._give_back(waiter)
            raise
        finally:
            waiter.fut.cancel()
            self._waiting -= 1
            self._gauge.set(self._waiting)
            self._wait.record(self._clock.monotonic() - begun)

    def _give_back(self, waiter: _Waiter) -> None:
        """Release a slot that came just as its waiter gave up."""
        fut = waiter.fut
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.release(fut.result())

    def _make_room(self, need: Need) -> None:
        """Refuse the least urgent request when the queue is full."""
        if self._waiting < self._queue_length():
            return
        full = refuse.refused(
            refusals.Reason.QUEUE_FULL,
            refusals.RunState.NOT_RUN,
            "too many requests wait at this node",
        )
        live = [
            item
            for heap in self._heaps.values()
            for item in heap
            if not item[3].fut.done()
        ]
        last = max(live, key=lambda item: item[:3], default=None)
        if last is None or last[:2] <= (need.priority, need.deadline):
            raise full
        last[3].fut.set_exception(full)

    def _on_permits(self, server: str) -> None:
        replica = self._directory.replica(server)
        if replica is not None and self._waiting:
            self.pump(replicas.subjects(replica.server))

    def _arm(self) -> None:
        # Circuits, ramps and reports let work through as time passes, with
        # no event of their own.
        if self._pump_timer is None:
            loop = asyncio.get_running_loop()
            self._pump_timer = loop.call_later(PUMP_INTERVAL, self._tick)

    def _tick(self) -> None:
        self._pump_timer = None
        self.pump()
        if self._waiting:
            self._arm()
