"""Permits for work at backend servers in cold start."""

from collections.abc import Callable
from dataclasses import dataclass
import math
from typing import Protocol

from .. import clock as clocks
from ..conf import snapshot

ASK_INTERVAL = 0.05
LOCAL_PART = 0.5
"""Part of an allowance that the nodes share out without a grantor."""


@dataclass(frozen=True, slots=True)
class Permit:
    """Right to have one request in flight at a cold backend server.

    :param server: name of the server.
    :param boot_id: boot that it is for.
    :param fencing: fencing number of the grantor's lease; 0 for a permit
        out of the node's own share.
    :param expires_at: monotonic instant of this node by which the request
        must have ended.
    """

    server: str
    boot_id: str
    fencing: int = 0
    expires_at: float = math.inf


class PermitSource(Protocol):
    """Grants permits to send work to a cold backend server."""

    def try_acquire(
        self, server: snapshot.Server, boot_id: str
    ) -> Permit | None:
        """Return a permit if one is at hand.

        A source that has to ask for permits starts to do so, and calls the
        subscribers once it has some.
        """
        ...

    def release(self, permit: Permit) -> None:
        """Give a permit back."""
        ...

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Call back with the name of a server that has permits again."""
        ...


class LocalPermits:
    """Permits out of the node's own share of the allowance.

    Each node may use ``floor(share * allowance / nodes)``, so that all
    nodes together stay within the allowance without talking.

    :param live_nodes: number of entry nodes, this one included; it must
        not shrink because this node is cut off from the others.
    :param share: part of the allowance that is split among the nodes.
    """

    def __init__(
        self, live_nodes: Callable[[], int], share: float = 1.0
    ) -> None:
        self._live_nodes = live_nodes
        self._share = share
        self._held: dict[tuple[str, str], int] = {}

    def try_acquire(
        self, server: snapshot.Server, boot_id: str
    ) -> Permit | None:
        """Return a permit if this node's share has one left."""
        nodes = max(1, self._live_nodes())
        limit = local_share(server.warmup.concurrency, nodes, self._share)
        key = (server.name, boot_id)
        held = self._held.get(key, 0)
        if held >= limit:
            return None
        self._held[key] = held + 1
        return Permit(server.name, boot_id)

    def release(self, permit: Permit) -> None:
        """Give a permit back."""
        key = (permit.server, permit.boot_id)
        left = self._held[key] - 1
        if left:
            self._held[key] = left
        else:
            del self._held[key]

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Do nothing: permits come back only by ``release``."""


def local_share(allowance: int, nodes: int, share: float) -> int:
    """Return how many requests each node may send without a grantor."""
    return math.floor(share * allowance / nodes)


@dataclass(slots=True)
class _Stock:
    """Permits of one grant that this node holds.

    :param idle: permits not in use.
    """

    boot_id: str
    fencing: int
    expires_at: float
    idle: int


@dataclass(slots=True)
class _Demand:
    """Permits that were not at hand since the grantor was last asked."""

    asked_at: float = float("-inf")
    count: int = 0


class PooledPermits:
    """Permits out of the node's own share, then out of a grantor's pool.

    The grantor leaves the nodes' own shares to them, so both together stay
    within the allowance whatever happens to the grantor. A permit that
    expires soon is not used: the request would be cut.

    :param local: permits of the node's own share, made with
        ``share=LOCAL_PART``.
    :param ask: called with server, boot id and count when permits are
        wanted; it answers later by ``add``.
    :param give_back: called with server, boot id and count when permits
        are no longer used.
    :param least_life: seconds that a permit must last to be used.
    """

    def __init__(
        self,
        local: LocalPermits,
        ask: Callable[[snapshot.Server, str, int], None],
        give_back: Callable[[str, str, int], None],
        clock: clocks.Clock,
        least_life: float = 5.0,
    ) -> None:
        self._local = local
        self._ask = ask
        self._give_back = give_back
        self._clock = clock
        self._least_life = least_life
        self._stocks: dict[str, list[_Stock]] = {}
        self._demands: dict[str, _Demand] = {}
        self._callbacks: list[Callable[[str], None]] = []

    def try_acquire(
        self, server: snapshot.Server, boot_id: str
    ) -> Permit | None:
        """Return a permit if one is at hand, else ask for one."""
        permit = self._local.try_acquire(server, boot_id)
        if permit is not None:
            return permit
        earliest = self._clock.monotonic() + self._least_life
        for stock in self._stocks.get(server.name, ()):
            fits = stock.boot_id == boot_id and stock.expires_at > earliest
            if fits and stock.idle:
                stock.idle -= 1
                return Permit(
                    server.name, boot_id, stock.fencing, stock.expires_at
                )
        self._want(server, boot_id)
        return None

    def release(self, permit: Permit) -> None:
        """Keep a pooled permit for the next request, or give it back."""
        if not permit.fencing:
            self._local.release(permit)
            self._call(permit.server)
            return
        for stock in self._stocks.get(permit.server, ()):
            same = (permit.fencing, permit.expires_at)
            if (stock.fencing, stock.expires_at) == same:
                stock.idle += 1
                self._call(permit.server)
                self.trim(permit.server)
                return

    def add(
        self,
        server: str,
        boot_id: str,
        count: int,
        fencing: int,
        expires_at: float,
    ) -> None:
        """Take granted permits.

        :param expires_at: the instant at which they were asked for, plus
            their lifetime.
        """
        if not count:
            return
        stock = _Stock(boot_id, fencing, expires_at, count)
        self._stocks.setdefault(server, []).append(stock)
        self._call(server)

    def trim(self, server: str) -> None:
        """Give back the permits that nobody waits for, drop ended ones."""
        now = self._clock.monotonic()
        kept = []
        for stock in self._stocks.get(server, ()):
            if stock.expires_at <= now:
                continue
            if stock.idle:
                self._give_back(server, stock.boot_id, stock.idle)
                stock.idle = 0
            kept.append(stock)
        self._stocks[server] = kept

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Call back with the name of a server that has permits again."""
        self._callbacks.append(callback)

    def _want(self, server: snapshot.Server, boot_id: str) -> None:
        now = self._clock.monotonic()
        demand = self._demands.setdefault(server.name, _Demand())
        demand.count += 1
        if now < demand.asked_at + ASK_INTERVAL:
            return
        count = min(demand.count, server.warmup.concurrency)
        demand.asked_at = now
        demand.count = 0
        self._ask(server, boot_id, count)

    def _call(self, server: str) -> None:
        for callback in self._callbacks:
            callback(server)
