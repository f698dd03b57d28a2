"""Permits for cold backend servers, shared by all nodes.

Each node may always use its share of a server's allowance,
``floor(allowance / nodes)``, without asking. The rest is a pool, whose
permits come from one grantor. So a node that reaches no grantor has its
share, and all nodes together stay within the allowance.
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

ASK_TIMEOUT = 0.5
ASK_TRIES = 3
ASK_INTERVAL = 0.2


@dataclass(slots=True)
class _Held:
    """Permits of one server at this node.

    ``own`` counts those of the node's share in use, ``free`` and ``used``
    are out of the pool.
    """

    own: int = 0
    free: list[cold_permits.Permit] = field(default_factory=list)
    used: list[cold_permits.Permit] = field(default_factory=list)
    asking: bool = False
    ask_after: float = -math.inf

    def pooled(self, now: float) -> list[cold_permits.Permit]:
        """Return the permits out of the pool that have not expired."""
        return [
            permit
            for permit in [*self.free, *self.used]
            if permit.expires_at > now
        ]


class SharedPermits:
    """Permits out of the node's share, then out of the grantor's pool.

    :param hub: links to the peers.
    :param grantor: grants permits when this node is the one to do it.
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
        self._held: dict[str, _Held] = {}
        self._callbacks: list[Callable[[str], None]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._asked = metrics.counter(
            "limpetwalk_permit_requests",
            "Requests for warm-up permits, by outcome.",
            ("outcome",),
        )
        grantor.set_own_report(self.report)
        hub.subscribe(messages.PermitRequest, self._on_request)

    async def stop(self) -> None:
        """Stop asking."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def idle(self) -> None:
        """Wait until no request for or return of permits is under way."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def try_acquire(
        self, server: snapshot.Server, boot_id: str
    ) -> cold_permits.Permit | None:
        """Return a permit if one is at hand; ask for one otherwise."""
        held = self._held.setdefault(server.name, _Held())
        share = permit_grantor.share_of_node(
            server.warmup.concurrency, self._hub.members.counts.divisor()
        )
        now = self._clock.monotonic()
        if held.own < share:
            held.own += 1
            expires_at = now + permit_grantor.PERMIT_LIFETIME
            return cold_permits.Permit(
                server.name, boot_id, expires_at=expires_at
            )
        held.free = [p for p in held.free if p.expires_at > now]
        if held.free:
            permit = held.free.pop()
            held.used.append(permit)
            return permit
        if not held.asking and now >= held.ask_after:
            held.asking = True
            self._spawn(self._ask(server.name, boot_id, held))
        return None

    def release(self, permit: cold_permits.Permit) -> None:
        """Give a permit back."""
        held = self._held[permit.server]
        if permit.fencing == 0:
            held.own -= 1
            return
        held.used.remove(permit)
        if permit.expires_at > self._clock.monotonic():
            self._spawn(self._give_back(permit))

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Call back with the name of a server that has permits again."""
        self._callbacks.append(callback)

    def report(self, server: str) -> messages.PermitReply:
        """Return how many permits of a server's pool this node holds.

        The reply's lifetime is that of the permit that ends last.
        """
        now = self._clock.monotonic()
        held = self._held.get(server, _Held()).pooled(now)
        last = max((permit.expires_at for permit in held), default=now)
        return messages.PermitReply(server, len(held), 0, last - now)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, server: str, boot_id: str, held: _Held) -> None:
        req = messages.PermitRequest(server, boot_id, 1, release=False)
        asked_at = self._clock.monotonic()
        try:
            reply = await self._ask_grantors(req)
        finally:
            held.asking = False
        if reply is None or not reply.granted:
            self._asked.labels("none").inc()
            held.ask_after = self._clock.monotonic() + ASK_INTERVAL
            return
        self._asked.labels("granted").inc()
        # The lifetime counts from before the grant, so that this node
        # takes it for over no later than the grantor does.
        expires_at = asked_at + reply.ttl
        held.free += [
            cold_permits.Permit(server, boot_id, reply.fencing, expires_at)
        ] * reply.granted
        for callback in self._callbacks:
            callback(server)
        unused, held.free = held.free, []
        for permit in unused:
            await self._give_back(permit)

    async def _ask_grantors(
        self, req: messages.PermitRequest
    ) -> messages.PermitReply | None:
        for name in self._grantors(req.server):
            try:
                reply = await self._send(name, req)
            except exceptions.LimpetwalkError:
                continue
            if isinstance(reply, messages.PermitReply):
                return reply
        return None

    def _grantors(self, server: str) -> list[str]:
        names = [peer.name for peer in self._hub.live() if not peer.leaving]
        ranked = rendezvous.rank(f"permits/{server}", [*names, self._hub.name])
        return ranked[:ASK_TRIES]

    async def _send(
        self, name: str, req: messages.PermitRequest
    ) -> messages.Message:
        if name == self._hub.name:
            return await self._grantor.grant(name, req)
        return await self._hub.request(name, req, ASK_TIMEOUT)

    async def _give_back(self, permit: cold_permits.Permit) -> None:
        """Return a permit to whichever node grants by now.

        When none takes it, it ends with its lifetime.
        """
        req = messages.PermitRequest(
            permit.server,
            permit.boot_id,
            1,
            release=True,
            fencing=permit.fencing,
        )
        await self._ask_grantors(req)

    async def _on_request(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        assert isinstance(message, messages.PermitRequest)
        if not message.count:
            return self.report(message.server)
        return await self._grantor.grant(sender, message)
