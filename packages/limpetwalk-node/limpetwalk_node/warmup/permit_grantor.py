"""Grantor of permits for cold backend servers.

The grantor of a server holds a lease, whose row records how many permits each
node may hold. A new grantor first asks every node which permits it holds. A
node that does not answer counts with the recorded number until every permit
that the predecessor may have granted has expired.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import json
import math

from loguru import logger
from result import Err

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import leases
from limpetwalk import metrics as metrics_
from limpetwalk.conf import snapshot
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import messages

# Durations are in seconds.
LEASE_TTL = 10.0
# Shorter than ``node_counts.WINDOW``, so that permits granted for an old
# number of nodes have expired before a new number is used.
PERMIT_LIFETIME = 60.0
# The grantor stops granting this long before its lease ends, so that a reply
# in flight has arrived or timed out by then.
LEASE_MARGIN = 1.0
RENEW_THRESHOLD = 5.0
REPORT_TIMEOUT = 0.5
# Permits that are recorded for a node beyond those it holds, so that most
# grants need no write and go on while the table is unavailable.
RECORDED_AHEAD = 4
NO_LEASE = "no lease"
UNKNOWN_SERVER = "unknown server"


def node_share(allowance: int, nodes: float) -> int:
    """Return how many requests a node may send without a grantor.

    :param nodes: number by which the node divides; infinite for no share.
    """
    return math.floor(allowance / nodes)


@dataclass(frozen=True, slots=True)
class _Grant:
    node: str
    expires_at: float


@dataclass(slots=True)
class _Pool:
    """Permits granted for one server.

    ``fencing`` is the fencing number of this node's last lease: when the next
    number follows it directly, no other node has granted in between.
    ``collected_fencing`` is the fencing number of the lease under which the
    nodes were last asked which permits they hold; returns of older permits
    change nothing. ``valid_until`` is the monotonic instant up to which the
    lease is valid, ``blocked_until`` the one before which nodes may hold
    permits that this grantor does not know of. ``recorded`` is the number of
    permits that each node may hold by the row of the lease.
    """

    lease: leases.Lease | None = None
    fencing: int = 0
    collected_fencing: int = 0
    valid_until: float = -math.inf
    blocked_until: float = -math.inf
    grants: list[_Grant] = field(default_factory=list)
    recorded: dict[str, int] = field(default_factory=dict)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def held(self, node: str) -> int:
        """Return how many permits a node holds, as far as is known."""
        return sum(1 for grant in self.grants if grant.node == node)

    def expire(self, now: float) -> None:
        """Forget the permits that have expired."""
        self.grants = [g for g in self.grants if g.expires_at > now]


class PermitGrantor:
    """Grants permits for the servers whose lease this node holds.

    :param hub: links to the peers.
    :param lease_manager: acquires, renews and releases leases.
    :param config: returns the configuration in force.
    :param clock: source of time.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        lease_manager: leases.LeaseManager,
        config: Callable[[], snapshot.AppliedSnapshot | None],
        clock: clocks.Clock,
        metrics: metrics_.Metrics,
    ) -> None:
        self._hub = hub
        self._lease_manager = lease_manager
        self._config = config
        self._clock = clock
        self._pools: dict[str, _Pool] = {}
        self._own_report: Callable[[str], messages.PermitReply] | None = None
        self._granted = metrics.counter(
            "limpetwalk_permits_granted", "Warm-up permits granted."
        )
        self._denied = metrics.counter(
            "limpetwalk_permits_denied",
            "Requests for warm-up permits that got none.",
            ("reason",),
        )
        self._takeovers = metrics.counter(
            "limpetwalk_permit_takeovers",
            "Times that this node became the grantor of a server.",
        )

    def set_own_report(
        self, report: Callable[[str], messages.PermitReply]
    ) -> None:
        """Set the callback that reports the permits held by this node."""
        self._own_report = report

    async def stop(self) -> None:
        """Release the leases."""
        for pool in self._pools.values():
            lease, pool.lease = pool.lease, None
            pool.valid_until = -math.inf
            if lease is None:
                continue
            try:
                await self._lease_manager.release(lease)
            except exceptions.StoreError:
                logger.warning(
                    "could not release lease {}; it stays until it expires",
                    lease.role,
                )

    async def grant(
        self, node: str, req: messages.PermitRequest
    ) -> messages.Message:
        """Answer a request for permits, or their return.

        :param node: name of the node that sent the request.
        :returns: a ``PermitReply``, or a ``Failure`` when this node may not
            grant.
        """
        applied = self._config()
        if applied is None or req.server not in applied.snapshot.servers:
            return messages.Failure(UNKNOWN_SERVER)
        pool = self._pools.setdefault(req.server, _Pool())
        if req.release:
            return self._accept_return(pool, node, req)
        if not await self._ensure_lease(req.server, pool):
            self._denied.labels("no_lease").inc()
            return messages.Failure(NO_LEASE)
        await self._ensure_recorded(pool, node, req.count)
        return self._grant(pool, node, req, applied.snapshot)

    def _accept_return(
        self, pool: _Pool, node: str, req: messages.PermitRequest
    ) -> messages.Message:
        if not self._lease_is_valid(pool):
            return messages.Failure(NO_LEASE)
        if req.fencing < pool.collected_fencing:
            # Either the node returned the permit before it was asked which
            # permits it holds, or the permit ends when its lifetime is over.
            return messages.PermitReply(req.server, 0, 0, 0.0)
        for grant in [g for g in pool.grants if g.node == node][: req.count]:
            pool.grants.remove(grant)
        return messages.PermitReply(req.server, 0, 0, 0.0)

    def _grant(
        self,
        pool: _Pool,
        node: str,
        req: messages.PermitRequest,
        config: snapshot.Snapshot,
    ) -> messages.Message:
        # There must be no await below: the result of this check of the lease
        # would no longer apply after one.
        if pool.lease is None or not self._lease_is_valid(pool):
            self._denied.labels("no_lease").inc()
            return messages.Failure(NO_LEASE)
        now = self._clock.monotonic()
        pool.expire(now)
        limit = self._pool_limit(config.servers[req.server].warmup.concurrency)
        unrecorded = req.count + pool.held(node) - pool.recorded.get(node, 0)
        count = min(req.count, limit - len(pool.grants))
        count = max(0, min(count, req.count - unrecorded))
        if now < pool.blocked_until:
            self._denied.labels("takeover").inc()
            count = 0
        elif not count:
            reason = "unrecorded" if unrecorded > 0 else "allowance"
            self._denied.labels(reason).inc()
        pool.grants += [_Grant(node, now + PERMIT_LIFETIME)] * count
        self._granted.inc(count)
        return messages.PermitReply(
            req.server, count, pool.lease.fencing, PERMIT_LIFETIME
        )

    def _pool_limit(self, allowance: int) -> int:
        """Return the part of an allowance that no node has as its share."""
        counts = self._hub.members.counts
        shared = node_share(allowance, counts.divisor())
        for name in self._hub.members.known():
            shared += node_share(allowance, counts.divisor_of(name))
        return allowance - shared

    def _lease_is_valid(self, pool: _Pool) -> bool:
        self._hub.pause_detector.check()
        return self._clock.monotonic() < pool.valid_until

    async def _ensure_lease(self, server: str, pool: _Pool) -> bool:
        async with pool.lock:
            remaining = pool.valid_until - self._clock.monotonic()
            if remaining > RENEW_THRESHOLD:
                return True
            try:
                if remaining > 0 and pool.lease is not None:
                    return await self._renew(pool, pool.lease)
                return await self._acquire(server, pool)
            except exceptions.StoreError:
                return self._lease_is_valid(pool)

    async def _ensure_recorded(
        self, pool: _Pool, node: str, count: int
    ) -> None:
        """Record that a node may get more permits, before it gets them."""
        async with pool.lock:
            pool.expire(self._clock.monotonic())
            wanted = pool.held(node) + count
            if wanted <= pool.recorded.get(node, 0) or pool.lease is None:
                return
            recorded = {
                name: max(held, min(number, held + RECORDED_AHEAD))
                for name, number in pool.recorded.items()
                if (held := pool.held(name))
            }
            recorded[node] = wanted + RECORDED_AHEAD
            # Until the write has succeeded, only what both records allow may
            # be granted.
            pool.recorded = {
                name: min(number, recorded.get(name, 0))
                for name, number in pool.recorded.items()
            }
            try:
                if await self._renew(pool, pool.lease, json.dumps(recorded)):
                    pool.recorded = recorded
            except exceptions.StoreError as exc:
                logger.warning(
                    "could not record permits of node {}: {}", node, exc
                )

    async def _renew(
        self, pool: _Pool, lease: leases.Lease, note: str | None = None
    ) -> bool:
        started_at = self._clock.monotonic()
        outcome = await self._lease_manager.renew(lease, note)
        if isinstance(outcome, Err):
            pool.lease = None
            pool.valid_until = -math.inf
            return False
        pool.lease = outcome.ok_value
        pool.valid_until = started_at + LEASE_TTL - LEASE_MARGIN
        return True

    async def _acquire(self, server: str, pool: _Pool) -> bool:
        started_at = self._clock.monotonic()
        outcome = await self._lease_manager.acquire(
            f"permits/{server}", LEASE_TTL
        )
        if isinstance(outcome, Err):
            return False
        lease = outcome.ok_value
        if lease.fencing != pool.fencing + 1:
            self._takeovers.inc()
            logger.info(
                "this node is now the grantor of permits for server {}", server
            )
            await self._collect_reports(server, pool, _recorded(lease))
            pool.collected_fencing = lease.fencing
        pool.lease = lease
        pool.fencing = lease.fencing
        pool.valid_until = started_at + LEASE_TTL - LEASE_MARGIN
        return True

    async def _collect_reports(
        self, server: str, pool: _Pool, recorded: dict[str, int] | None
    ) -> None:
        """Ask the nodes which of the predecessor's permits they hold.

        :param recorded: number of permits that each node may hold, None when
            it is unknown.
        """
        requested_at = self._clock.monotonic()
        pool.recorded = recorded or {}
        names = list(
            {*self._hub.members.known(), *pool.recorded} - {self._hub.name}
        )
        reports = await asyncio.gather(
            *(self._request_report(name, server) for name in names)
        )
        pool.grants = []
        pool.blocked_until = -math.inf
        if self._own_report is not None:
            names.append(self._hub.name)
            reports.append(self._own_report(server))
        now = self._clock.monotonic()
        for name, report in zip(names, reports, strict=True):
            if report is None:
                expires_at = requested_at + PERMIT_LIFETIME
                if recorded is None:
                    pool.blocked_until = expires_at
                else:
                    held = recorded.get(name, 0)
                    pool.grants += [_Grant(name, expires_at)] * held
                continue
            grant = _Grant(name, now + report.ttl)
            pool.grants += [grant] * report.granted

    async def _request_report(
        self, name: str, server: str
    ) -> messages.PermitReply | None:
        req = messages.PermitRequest(server, "", 0, release=False)
        try:
            reply = await self._hub.request(name, req, REPORT_TIMEOUT)
        except exceptions.PeerUnavailable:
            return None
        return reply if isinstance(reply, messages.PermitReply) else None


def _recorded(lease: leases.Lease) -> dict[str, int] | None:
    """Return how many permits each node may hold by the row of a lease.

    :returns: None when no holder has recorded it.
    """
    try:
        return {
            str(name): int(number)
            for name, number in json.loads(lease.note).items()
        }
    except (AttributeError, TypeError, ValueError):
        return None
