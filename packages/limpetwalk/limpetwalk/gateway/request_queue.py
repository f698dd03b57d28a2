"""Bounded wait of requests whose service is short of room.

Serves a load above what the slots of a service hold. Requests wait at their
node instead of an engine, so that the most urgent one gets the next free slot
of any server. The most urgent priority never waits here, and each half of its
target latency that a request has waited counts as one priority more, so none
waits for longer than that for each priority above its own. A workspace that
is far above its share counts as one priority less urgent.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import enum
import math
import random
from typing import Protocol

from result import Err
from result import Ok
from result import Result

from .. import clock as clocks
from . import call as calls
from . import load_decisions
from . import refusal
from . import retries

# Seconds between two looks for room while requests wait.
CHECK_INTERVAL = 0.025
# Seconds between two reports of the loads that a node puts on servers.
REPORT_DELAY = 0.2
# Fraction of the target latency that counts as one priority more.
PROMOTION_SHARE = 0.5
# Requests above its share from which a workspace's requests count as one
# priority less urgent, while room is short.
FLOOD_EXCESS = 10.0
# Requests of a service that wait at one node at most.
MAX_WAITING = 64
# Seconds over which the pace of the queue is measured.
PACE_SECONDS = 2.0
# Bounds of the time after which a refused caller should retry: in seconds, and
# as a fraction of the time that it has left.
MIN_RETRY_AFTER = 0.1
LONGEST_RETRY_SHARE = 1 / 3


class Room(Protocol):
    """Room that the servers of a service have."""

    def rank(self, service: str, priority: int) -> int:
        """Return how many priorities of a service are more urgent."""

    def is_ranked(self, service: str) -> bool:
        """Return whether the requests of a service differ in priority."""

    def free(self, service: str, rank: int) -> float:
        """Return the number of requests of a rank that servers could take."""


class Shares(Protocol):
    """Share of each workspace in a service."""

    def start(self, service: str, workspace: str) -> None:
        """Record a request that proceeds."""

    def end(self, service: str, workspace: str) -> None:
        """Record the end of a request."""

    def excess(self, service: str, workspace: str) -> float:
        """Return by how many requests a workspace is above its share."""


class Outcome(enum.Enum):
    """How a request's wait ended."""

    SENT = "sent"
    REFUSED = "refused"
    LEFT = "left"


Entry = Result[load_decisions.Permit, refusal.Refusal]


@dataclass(slots=True, eq=False)
class Waiting:
    """Request that waits.

    :param rank: number of more urgent priorities of its service.
    :param since: instant at which it came.
    :param settle: called once, when it may proceed or is refused.
    """

    call: calls.Call
    rank: int
    since: float
    settle: Callable[[Entry], None]


class OrderedRequests:
    """Queue of the requests of one node.

    :param enabled: returns whether requests are ordered.
    :param nodes: returns the number of nodes that share the servers.
    :param needed: returns the time that an answer of a service takes, in
        seconds.
    :param on_end: called with a request that waited, the seconds and how its
        wait ended.
    """

    def __init__(
        self,
        enabled: Callable[[], bool],
        room: Room,
        shares: Shares,
        nodes: Callable[[], int],
        needed: Callable[[str], float],
        clock: clocks.Clock,
        rng: random.Random,
        on_end: Callable[
            [calls.Call, float, Outcome], None
        ] = lambda call, seconds, outcome: None,
    ) -> None:
        self._enabled = enabled
        self._room = room
        self._shares = shares
        self._nodes = nodes
        self._needed = needed
        self._clock = clock
        self._rng = rng
        self._on_end = on_end
        self._waiting: dict[str, list[Waiting]] = {}
        self._allowances: dict[str, _Allowance] = {}
        self._paces: dict[str, list[float]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(map(len, self._waiting.values()))

    def enter(self, call: calls.Call) -> Awaitable[Entry]:
        """Wait until a request may proceed."""
        return self._enter(call)

    def leave(self, permit: load_decisions.Permit) -> None:
        """Return the room that a permit holds."""
        if permit.workspace is not None:
            self._shares.end(permit.service, permit.workspace)
            self.advance(permit.service)

    async def _enter(self, call: calls.Call) -> Entry:
        if not self._enabled() or not self._room.is_ranked(call.service):
            return Ok(load_decisions.Permit(call.service))
        entry: asyncio.Future[Entry] = (
            asyncio.get_running_loop().create_future()
        )
        item = self.add(call, entry.set_result)
        self._schedule()
        try:
            return await entry
        except asyncio.CancelledError:
            if item in self._waiting[call.service]:
                self._remove(item, Outcome.LEFT)
            elif not entry.cancelled() and entry.result().is_ok():
                self.leave(entry.result().unwrap())
            raise

    def add(
        self, call: calls.Call, settle: Callable[[Entry], None]
    ) -> Waiting:
        """Add a request, which may proceed or be refused at once.

        :param settle: called once, when it may proceed or is refused.
        """
        service = call.service
        item = Waiting(
            call,
            self._room.rank(service, call.priority),
            self._clock.monotonic(),
            settle,
        )
        self._waiting.setdefault(service, []).append(item)
        self.advance(service)
        self._bound(service)
        if item in self._waiting[service]:
            self._refuse_hopeless(service, item)
        return item

    def advance(self, service: str) -> None:
        """Let requests of a service proceed or refuse them, as is due."""
        now = self._clock.monotonic()
        line = self._waiting.get(service)
        while line:
            first = min(line, key=lambda item: self._order(item, now))
            rank = self._order(first, now)[0]
            if rank and not self._take_room(service, rank, now):
                break
            self._proceed(first, now)
        if line:
            needed = self._needed(service)
            for item in list(line):
                if now >= _latest_start(item.call, needed):
                    self._refuse(item)

    def _proceed(self, item: Waiting, now: float) -> None:
        workspace = item.call.workspace
        name = workspace.name if workspace else ""
        service = item.call.service
        self._shares.start(service, name)
        pace = self._paces.setdefault(service, [])
        pace.append(now)
        del pace[: -4 * MAX_WAITING]
        self._remove(item, Outcome.SENT)
        item.settle(Ok(load_decisions.Permit(service, now - item.since, name)))

    def _order(self, item: Waiting, now: float) -> tuple[int, float, float]:
        call = item.call
        workspace = call.workspace.name if call.workspace else ""
        excess = self._shares.excess(call.service, workspace)
        rank = item.rank + (excess >= FLOOD_EXCESS)
        step = PROMOTION_SHARE * call.route.target_latency
        promotions = int((now - item.since) / step) if step > 0 else rank
        target = call.arrived_at + call.route.target_latency
        return max(0, rank - promotions), excess, target

    def _take_room(self, service: str, rank: int, now: float) -> bool:
        """Return whether a request of a rank may proceed, and take its room.

        A node takes only its part, since the others see the same room.
        """
        allowance = self._allowances.setdefault(service, _Allowance(now))
        free = self._room.free(service, rank)
        return allowance.take(free / max(1, self._nodes()), now)

    def _bound(self, service: str) -> None:
        """Refuse the least urgent of too many requests."""
        now = self._clock.monotonic()
        line = self._waiting.get(service, [])
        while len(line) > MAX_WAITING:
            self._refuse(max(line, key=lambda item: self._order(item, now)))

    def _refuse_hopeless(self, service: str, item: Waiting) -> None:
        """Refuse a request whose turn can't come in time."""
        now = self._clock.monotonic()
        promoted_at = (
            item.since
            + (item.rank + 1)
            * PROMOTION_SHARE
            * item.call.route.target_latency
        )
        turn = min(promoted_at, now + self._expected_wait(service))
        if turn > _latest_start(item.call, self._needed(service)):
            self._refuse(item)

    def _expected_wait(self, service: str) -> float:
        """Return the seconds until those that wait now have proceeded."""
        now = self._clock.monotonic()
        pace = self._paces.get(service, [])
        recent = sum(now - instant <= PACE_SECONDS for instant in pace)
        if not recent:
            return math.inf
        return len(self._waiting.get(service, ())) * PACE_SECONDS / recent

    def _refuse(self, item: Waiting) -> None:
        now = self._clock.monotonic()
        wait = self._expected_wait(item.call.service)
        if not math.isfinite(wait):
            wait = PACE_SECONDS
        longest = (item.call.deadline - now) * LONGEST_RETRY_SHARE
        seconds = min(wait, longest / 2) * self._rng.uniform(1.0, 2.0)
        self._remove(item, Outcome.REFUSED)
        item.settle(
            Err(
                refusal.Refusal(
                    refusal.Reason.NO_ROOM,
                    round(max(MIN_RETRY_AFTER, seconds), 2),
                )
            )
        )

    def _remove(self, item: Waiting, outcome: Outcome) -> None:
        self._waiting[item.call.service].remove(item)
        waited = self._clock.monotonic() - item.since
        if waited > 0 or outcome is not Outcome.SENT:
            self._on_end(item.call, waited, outcome)

    def _schedule(self) -> None:
        if self._timer is None and self.waiting:
            self._timer = asyncio.get_running_loop().call_later(
                CHECK_INTERVAL, self._check
            )

    def _check(self) -> None:
        self._timer = None
        try:
            for service in list(self._waiting):
                self.advance(service)
        finally:
            self._schedule()


@dataclass(slots=True)
class _Allowance:
    """Requests that a node may send until it hears of the others' again.

    :param updated_at: instant up to which room was counted.
    :param amount: number of requests.
    :param short: whether room was less than one request for each node.
    """

    updated_at: float
    amount: float = math.inf
    short: bool = False

    def take(self, room: float, now: float) -> bool:
        """Take the room of one request.

        :param room: part of this node in the room that is free now.
        """
        if room < 1.0 and not self.short:
            self.amount = min(self.amount, room)
        self.short = room < 1.0
        earned = room * (now - self.updated_at) / REPORT_DELAY
        self.amount = min(max(1.0, room), self.amount + earned)
        self.updated_at = now
        if room <= 0.0 or self.amount < 1.0:
            return False
        self.amount -= 1.0
        return True


def _latest_start(call: calls.Call, needed: float) -> float:
    """Return the instant from which an answer can't come in time any more.

    :param needed: time that it takes, in seconds.
    """
    return call.deadline - max(retries.MIN_TIME_LEFT, needed)
