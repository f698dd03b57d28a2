"""Admission of requests to replicas, with a bounded queue."""

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
from . import cold_permits
from . import dispatch_refusals
from . import replicas
from . import service_times

# Interval at which the queue is served when no event serves it.
SERVE_INTERVAL_SECONDS = 0.05
# Cold replicas without a permit that one search passes over.
MAX_DENIED_REPLICAS = 4


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Request for a slot at a replica.

    :param subject: version or service.
    :param priority: 0 is served first.
    :param deadline: monotonic instant by which it must have ended.
    :param affinity: key whose requests prefer the same replica, or empty.
    :param tried_servers: names of servers that it has tried.
    :param suspected: whether it may have crashed a server; a replica gets one
        such request of this node at a time.
    """

    subject: Hashable
    priority: int
    deadline: float
    affinity: str = ""
    tried_servers: frozenset[str] = frozenset()
    suspected: bool = False


@dataclass(slots=True, eq=False)
class Slot:
    """Right to have one request in flight at a replica.

    :param subject: version or service that was requested.
    :param permit: permit if the server is cold, else None.
    :param started: monotonic instant at which the slot was taken.
    :param deadline: monotonic instant by which the request must have ended.
    :param suspected: whether the request may have crashed a server.
    :param answered: whether the request got a complete answer.
    """

    subject: Hashable
    replica: replicas.Replica
    permit: cold_permits.Permit | None
    started: float
    deadline: float
    suspected: bool
    answered: bool = False


@dataclass(slots=True, eq=False)
class _Waiter:
    request: SlotRequest
    fut: asyncio.Future[Slot] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class Admission:
    """Grants slots at replicas and queues requests that find none.

    :param directory: replicas of the snapshot in force.
    :param balancer: chooses among usable replicas.
    :param permits: source of permits for cold servers.
    :param queue_length: returns the maximum number of waiting requests.
    """

    def __init__(
        self,
        directory: replicas.Directory,
        balancer: balancers.Balancer,
        permits: cold_permits.PermitSource,
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
        self._sequence = itertools.count()
        self._waiting = 0
        self._serve_timer: asyncio.TimerHandle | None = None
        self._gauge = metrics.gauge(
            "limpetwalk_waiting_requests", "Requests that wait for a replica."
        )
        self._wait = metrics.latency(
            "limpetwalk_queue_wait", "Wait for a replica."
        )
        permits.subscribe(self._on_permits)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return self._waiting

    async def acquire(self, request: SlotRequest) -> Slot:
        """Return a slot, waiting in the queue for one.

        :raises Refused: with run state ``NOT_RUN``, when no slot is available
            in time.
        """
        self._refuse_short_deadline(request, self._count_ahead(request))
        if not self._heaps.get(request.subject):
            slot = self.try_acquire(request)
            if slot is not None:
                return slot
        self._refuse_without_replicas(request)
        return await self._wait_for_slot(request)

    @contextlib.contextmanager
    def hold(self, slot: Slot) -> Iterator[None]:
        """Release a slot when the context ends."""
        try:
            yield
        finally:
            self.release(slot)

    def release(self, slot: Slot) -> None:
        """Return a slot and serve the requests that wait for its replica."""
        replica = slot.replica
        replica.circuit.end_without_result()
        now = self._clock.monotonic()
        replica.finish(now)
        replica.suspected_in_flight -= slot.suspected
        if slot.permit is not None:
            self._permits.release(slot.permit)
        seconds = now - slot.started if slot.answered else None
        self._times.finish(slot.subject, seconds)
        if self._waiting:
            self.serve_waiting(replicas.served_subjects(replica.server))

    def serve_waiting(self, subjects: list[Hashable] | None = None) -> None:
        """Grant slots to waiting requests, the most urgent first.

        :param subjects: versions or services to serve; None serves all.
        """
        for subject in subjects or list(self._heaps):
            heap = self._heaps.get(subject)
            while heap:
                waiter = heap[0][3]
                if not waiter.fut.done() and not self._refuse_late(waiter):
                    slot = self.try_acquire(waiter.request)
                    if slot is None:
                        break
                    waiter.fut.set_result(slot)
                heapq.heappop(heap)
            if not heap:
                self._heaps.pop(subject, None)

    def try_acquire(self, request: SlotRequest) -> Slot | None:
        """Return a slot if one is free now, ignoring the queue."""
        now = self._clock.monotonic()
        node_context = self._directory.node_context
        nodes = max(1, node_context.known_nodes())
        leaving = node_context.leaving()
        denied: set[str] = set()

        def usable(replica: replicas.Replica) -> bool:
            return (
                replica.server.address not in leaving
                and replica.name not in denied
                and not (request.suspected and replica.suspected_in_flight)
                and replica.circuit.allows(now)
                and replica.has_room(now, nodes)
            )

        candidates = self._directory.current().by_subject.get(request.subject)
        while len(denied) < MAX_DENIED_REPLICAS:
            replica = balancers.choose(
                self._balancer,
                candidates,
                usable,
                request.affinity,
                request.tried_servers,
            )
            if replica is None:
                return None
            slot = self._start(replica, request, now)
            if slot is not None:
                return slot
            denied.add(replica.name)
        return None

    def _start(
        self, replica: replicas.Replica, request: SlotRequest, now: float
    ) -> Slot | None:
        permit = None
        deadline = request.deadline
        if replica.is_cold(now):
            permit = self._permits.try_acquire(
                replica.server, replica.boot.boot_id
            )
            if permit is None:
                return None
            deadline = min(deadline, permit.expires_at)
        replica.start(now)
        self._times.start(request.subject)
        replica.suspected_in_flight += request.suspected
        return Slot(
            request.subject, replica, permit, now, deadline, request.suspected
        )

    def _refuse_short_deadline(self, request: SlotRequest, ahead: int) -> None:
        remaining = request.deadline - self._clock.monotonic()
        needed = self._times.min_completion_seconds(request.subject, ahead)
        if remaining > 0 and remaining >= needed:
            return
        reason = refusals.Reason.DEADLINE_TOO_SHORT
        if remaining <= 0:
            reason = refusals.Reason.DEADLINE_EXCEEDED
        raise dispatch_refusals.build_refused(
            reason,
            refusals.RunState.NOT_RUN,
            f"{max(0.0, remaining):.2f} s are left,"
            f" about {needed:.2f} s needed",
        )

    def _refuse_late(self, waiter: _Waiter) -> bool:
        """Refuse a waiter whose deadline is too close.

        :returns: whether the waiter was refused.
        """
        try:
            self._refuse_short_deadline(waiter.request, ahead=0)
        except refusals.Refused as exc:
            waiter.fut.set_exception(exc)
            return True
        return False

    def _refuse_without_replicas(self, request: SlotRequest) -> None:
        if request.subject in self._directory.current().by_subject:
            return
        raise dispatch_refusals.build_refused(
            refusals.Reason.NO_BACKEND_SERVER,
            refusals.RunState.NOT_RUN,
            "no backend server in service can run this",
        )

    def _count_ahead(self, request: SlotRequest) -> int:
        heap = self._heaps.get(request.subject, ())
        rank = (request.priority, request.deadline)
        return sum(1 for item in heap if item[:2] <= rank)

    async def _wait_for_slot(self, request: SlotRequest) -> Slot:
        self._refuse_when_full(request)
        waiter = _Waiter(request)
        item = (
            request.priority,
            request.deadline,
            next(self._sequence),
            waiter,
        )
        heapq.heappush(self._heaps.setdefault(request.subject, []), item)
        self._waiting += 1
        self._gauge.set(self._waiting)
        self._schedule_serving()
        started_waiting = self._clock.monotonic()
        try:
            async with asyncio.timeout(
                max(0.0, request.deadline - started_waiting)
            ):
                return await waiter.fut
        except TimeoutError:
            self._release_unused(waiter)
            raise dispatch_refusals.build_refused(
                refusals.Reason.DEADLINE_EXCEEDED,
                refusals.RunState.NOT_RUN,
                "no replica had room before the deadline",
            ) from None
        except asyncio.CancelledError:
            self._release_unused(waiter)
            raise
        finally:
            waiter.fut.cancel()
            self._waiting -= 1
            self._gauge.set(self._waiting)
            self._wait.record(self._clock.monotonic() - started_waiting)

    def _release_unused(self, waiter: _Waiter) -> None:
        """Release a slot that was granted just as its waiter gave up."""
        fut = waiter.fut
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.release(fut.result())

    def _refuse_when_full(self, request: SlotRequest) -> None:
        """Refuse the least urgent request when the queue is full."""
        if self._waiting < self._queue_length():
            return
        full = dispatch_refusals.build_refused(
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
        least_urgent = max(live, key=lambda item: item[:3], default=None)
        if least_urgent is None or least_urgent[:2] <= (
            request.priority,
            request.deadline,
        ):
            raise full
        least_urgent[3].fut.set_exception(full)

    def _on_permits(self, server: str) -> None:
        replica = self._directory.replica(server)
        if replica is not None and self._waiting:
            self.serve_waiting(replicas.served_subjects(replica.server))

    def _schedule_serving(self) -> None:
        # Circuits, ramps and stale reports admit work as time passes, without
        # an event that would serve the queue.
        if self._serve_timer is None:
            loop = asyncio.get_running_loop()
            self._serve_timer = loop.call_later(
                SERVE_INTERVAL_SECONDS, self._serve_periodically
            )

    def _serve_periodically(self) -> None:
        self._serve_timer = None
        self.serve_waiting()
        if self._waiting:
            self._schedule_serving()
