"""Permits for cold backend servers, shared by all nodes.

Each node may always use its share of a server's allowance,
``floor(allowance / nodes)``, without asking. The rest is a pool, whose
permits are granted by one node, the grantor. So a node that reaches no
grantor still has its share, and all nodes together stay within the allowance.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import field
import math
from typing import Any

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.conf import snapshot
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import messages
from limpetwalk.peers import rendezvous
from limpetwalk.routing import cold_permits

from . import permit_grantor

# Durations are in seconds.
REQUEST_TIMEOUT = 0.5
MAX_GRANTORS_ASKED = 3
REQUEST_INTERVAL = 0.2


@dataclass(slots=True)
class _ServerPermits:
    """Permits for one server at this node.

    ``own_in_use`` counts the permits of the node's share in use;
    ``pool_free`` and ``pool_used`` are permits from the pool. A new request
    may be sent from the monotonic instant ``next_request_at`` on.
    """

    own_in_use: int = 0
    pool_free: list[cold_permits.Permit] = field(default_factory=list)
    pool_used: list[cold_permits.Permit] = field(default_factory=list)
    request_pending: bool = False
    next_request_at: float = -math.inf

    def unexpired_pooled(self, now: float) -> list[cold_permits.Permit]:
        """Return the permits from the pool that have not expired."""
        return [
            permit
            for permit in [*self.pool_free, *self.pool_used]
            if permit.expires_at > now
        ]


class SharedPermits:
    """Permits from the node's share, then from the grantor's pool.

    :param hub: links to the peers.
    :param grantor: grants permits while this node is the grantor.
    :param clock: source of time.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        grantor: permit_grantor.PermitGrantor,
        clock: clocks.Clock,
        metrics: metrics_.Metrics,
    ) -> None:
        self._hub = hub
        self._grantor = grantor
        self._clock = clock
        self._by_server: dict[str, _ServerPermits] = {}
        self._callbacks: list[Callable[[str], None]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._requests = metrics.counter(
            "limpetwalk_permit_requests",
            "Requests for warm-up permits, by outcome.",
            ("outcome",),
        )
        grantor.set_own_report(self.report)
        hub.subscribe(messages.PermitRequest, self._on_request)

    async def stop(self) -> None:
        """Cancel the requests for and returns of permits in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def idle(self) -> None:
        """Wait until no request for or return of permits is in flight."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def try_acquire(
        self, server: snapshot.Server, boot_id: str
    ) -> cold_permits.Permit | None:
        """Return a permit if this node has one, else request one."""
        server_permits = self._by_server.setdefault(
            server.name, _ServerPermits()
        )
        share = permit_grantor.node_share(
            server.warmup.concurrency, self._hub.members.counts.divisor()
        )
        now = self._clock.monotonic()
        if server_permits.own_in_use < share:
            server_permits.own_in_use += 1
            expires_at = now + permit_grantor.PERMIT_LIFETIME
            return cold_permits.Permit(
                server.name, boot_id, expires_at=expires_at
            )
        server_permits.pool_free = [
            p for p in server_permits.pool_free if p.expires_at > now
        ]
        if server_permits.pool_free:
            permit = server_permits.pool_free.pop()
            server_permits.pool_used.append(permit)
            return permit
        if (
            not server_permits.request_pending
            and now >= server_permits.next_request_at
        ):
            server_permits.request_pending = True
            self._spawn(
                self._request_permits(server.name, boot_id, server_permits)
            )
        return None

    def release(self, permit: cold_permits.Permit) -> None:
        """Release a permit; one from the pool is returned to the grantor."""
        server_permits = self._by_server[permit.server]
        if permit.fencing == 0:
            server_permits.own_in_use -= 1
            return
        server_permits.pool_used.remove(permit)
        if permit.expires_at > self._clock.monotonic():
            self._spawn(self._return_permit(permit))

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Call back with the name of a server that has permits again."""
        self._callbacks.append(callback)

    def report(self, server: str) -> messages.PermitReply:
        """Return how many permits of a server's pool this node holds.

        The lifetime in the reply is that of the permit that expires last.
        """
        now = self._clock.monotonic()
        pooled = self._by_server.get(
            server, _ServerPermits()
        ).unexpired_pooled(now)
        last_expiry = max(
            (permit.expires_at for permit in pooled), default=now
        )
        return messages.PermitReply(server, len(pooled), 0, last_expiry - now)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request_permits(
        self, server: str, boot_id: str, server_permits: _ServerPermits
    ) -> None:
        req = messages.PermitRequest(server, boot_id, 1, release=False)
        requested_at = self._clock.monotonic()
        try:
            reply = await self._send_to_grantors(req)
        finally:
            server_permits.request_pending = False
        if reply is None or not reply.granted:
            self._requests.labels("none").inc()
            server_permits.next_request_at = (
                self._clock.monotonic() + REQUEST_INTERVAL
            )
            return
        self._requests.labels("granted").inc()
        # The lifetime is counted from before the grant, so that the permits
        # expire at this node no later than they do at the grantor.
        expires_at = requested_at + reply.ttl
        server_permits.pool_free += [
            cold_permits.Permit(server, boot_id, reply.fencing, expires_at)
        ] * reply.granted
        for callback in self._callbacks:
            callback(server)
        unused, server_permits.pool_free = server_permits.pool_free, []
        for permit in unused:
            await self._return_permit(permit)

    async def _send_to_grantors(
        self, req: messages.PermitRequest
    ) -> messages.PermitReply | None:
        for name in self._ranked_grantors(req.server):
            try:
                reply = await self._send(name, req)
            except exceptions.LimpetwalkError:
                continue
            if isinstance(reply, messages.PermitReply):
                return reply
        return None

    def _ranked_grantors(self, server: str) -> list[str]:
        names = [peer.name for peer in self._hub.live() if not peer.leaving]
        ranked = rendezvous.rank(f"permits/{server}", [*names, self._hub.name])
        return ranked[:MAX_GRANTORS_ASKED]

    async def _send(
        self, name: str, req: messages.PermitRequest
    ) -> messages.Message:
        if name == self._hub.name:
            return await self._grantor.grant(name, req)
        return await self._hub.request(name, req, REQUEST_TIMEOUT)

    async def _return_permit(self, permit: cold_permits.Permit) -> None:
        """Return a permit to the node that is the grantor by now.

        A permit that no node takes back ends when its lifetime is over.
        """
        req = messages.PermitRequest(
            permit.server,
            permit.boot_id,
            1,
            release=True,
            fencing=permit.fencing,
        )
        await self._send_to_grantors(req)

    async def _on_request(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        assert isinstance(message, messages.PermitRequest)
        if not message.count:
            return self.report(message.server)
        return await self._grantor.grant(sender, message)
