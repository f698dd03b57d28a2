"""Carrying faults out on the processes, paths and stand-ins of a soak."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import signal

from aiohttp import web

from ..hub import server
from ..hub import site
from . import nodes
from . import plan
from . import proxy

# Status of a store that turns calls away.
STORE_BUSY = 503


class World:
    """Everything that faults strike.

    :param entry_nodes: entry nodes by name.
    :param store_paths: path to the store by name of the node.
    :param server_paths: path to a server by its identifier.
    :param services: service by identifier of its server.
    """

    def __init__(
        self,
        held: site.Site,
        entry_nodes: dict[str, nodes.Node],
        store_paths: dict[str, proxy.Proxy],
        server_paths: dict[str, proxy.Proxy],
        services: dict[str, str],
    ) -> None:
        self.site = held
        self.nodes = entry_nodes
        self.store_paths = store_paths
        self.server_paths = server_paths
        self.services = services
        self._version = 1
        self._births = 1
        self._in_force: collections.Counter[tuple[plan.Kind, str]] = (
            collections.Counter()
        )

    async def strike(self, fault: plan.Fault) -> None:
        """Let a fault begin, last and end."""
        if fault.kind in _AT_ONCE:
            await _AT_ONCE[fault.kind](self, fault)
            return
        if fault.harm is not None:
            await self._harm(fault, fault.harm)
            return
        begin, end = _LASTING[fault.kind]
        key = (fault.kind, fault.target)
        self._in_force[key] += 1
        try:
            await begin(self, fault)
            await asyncio.sleep(fault.lasts)
        finally:
            self._in_force[key] -= 1
            if not self._in_force[key]:
                await end(self, fault)

    async def _harm(self, fault: plan.Fault, harm: plan.Harm) -> None:
        paths = (
            self.store_paths
            if fault.kind is plan.Kind.STORE_LINK
            else self.server_paths
        )
        paths[fault.target].harm(harm)
        try:
            await asyncio.sleep(fault.lasts)
        finally:
            paths[fault.target].heal(harm)

    async def kill(self, fault: plan.Fault) -> None:
        """Kill a node."""
        self.nodes[fault.target].signal(signal.SIGKILL)

    async def term(self, fault: plan.Fault) -> None:
        """Stop a node as planned."""
        await self.nodes[fault.target].terminate()

    async def reload(self, fault: plan.Fault) -> None:
        """Tell a node that its settings have changed."""
        self.nodes[fault.target].signal(signal.SIGHUP)

    async def forget(self, fault: plan.Fault) -> None:
        """Drop the store's history."""
        await self.site.store.discard_history()

    async def change(self, fault: plan.Fault) -> None:
        """Write a configuration with one route more."""
        self._version += 3
        held = site.config_row(self._version)
        added = site.route(f"more-{self._version}", "idempotent", site.PLAIN)
        held["routes"].append(added)
        await self.site.store.put("op", "config", held)

    async def pause(self, fault: plan.Fault) -> None:
        """Let a node stand still."""
        self.nodes[fault.target].signal(signal.SIGSTOP)

    async def wake(self, fault: plan.Fault) -> None:
        """Let a node go on."""
        self.nodes[fault.target].signal(signal.SIGCONT)

    async def fail(self, fault: plan.Fault) -> None:
        """Let a server answer with failures."""
        held = self.site.servers[fault.target]

        async def answer(req: web.Request) -> web.StreamResponse:
            return web.Response(status=500, headers=held.answer_headers(req))

        held.behaviour = answer

    async def break_off(self, fault: plan.Fault) -> None:
        """Let a server break its answers off."""
        held = self.site.servers[fault.target]

        async def answer(req: web.Request) -> web.StreamResponse:
            resp = web.StreamResponse(headers=held.answer_headers(req))
            await resp.prepare(req)
            if "Model" in req.headers:
                first = int(req.headers.get("Last-Event-Id", "0")) + 1
                await resp.write(server.event(first)[:-3])
            assert req.transport is not None
            req.transport.abort()
            return resp

        held.behaviour = answer

    async def behave(self, fault: plan.Fault) -> None:
        """Let a server answer well again."""
        self.site.servers[fault.target].behaviour = None

    async def leave(self, fault: plan.Fault) -> None:
        """Let a server announce that it leaves."""
        await self._enter(fault.target, "draining")

    async def come_back(self, fault: plan.Fault) -> None:
        """Let a server start again under its identifier."""
        self._births += 1
        await self._enter(fault.target, "ready")

    async def store_down(self, fault: plan.Fault) -> None:
        """Let the store turn calls away."""
        self.site.store.faults.status = STORE_BUSY

    async def store_up(self, fault: plan.Fault) -> None:
        """Let the store take calls again."""
        self.site.store.faults.status = 0

    async def store_silent(self, fault: plan.Fault) -> None:
        """Let the store answer nothing."""
        self.site.store.faults.silent = True

    async def store_speaks(self, fault: plan.Fault) -> None:
        """Let the store answer again."""
        self.site.store.faults.silent = False

    async def store_loses(self, fault: plan.Fault) -> None:
        """Let the store do writes without an answer."""
        self.site.store.faults.lose_writes = True

    async def store_answers(self, fault: plan.Fault) -> None:
        """Let the store answer writes again."""
        self.site.store.faults.lose_writes = False

    async def _enter(self, server_id: str, state: str) -> None:
        path = self.server_paths[server_id]
        row = site.server_row(
            self.services[server_id],
            path.port,
            state=state,
            born=self._births,
        )
        await self.site.store.put("servers", server_id, row)


Action = Callable[[World, plan.Fault], Awaitable[None]]
_AT_ONCE: dict[plan.Kind, Action] = {
    plan.Kind.KILL: World.kill,
    plan.Kind.TERM: World.term,
    plan.Kind.RELOAD: World.reload,
    plan.Kind.STORE_FORGETS: World.forget,
    plan.Kind.CHANGE: World.change,
}
# How each fault that lasts begins and ends.
_LASTING: dict[plan.Kind, tuple[Action, Action]] = {
    plan.Kind.PAUSE: (World.pause, World.wake),
    plan.Kind.SERVER_FAILS: (World.fail, World.behave),
    plan.Kind.SERVER_BREAKS: (World.break_off, World.behave),
    plan.Kind.LEAVE: (World.leave, World.come_back),
    plan.Kind.STORE_DOWN: (World.store_down, World.store_up),
    plan.Kind.STORE_SILENT: (World.store_silent, World.store_speaks),
    plan.Kind.STORE_LOSES: (World.store_loses, World.store_answers),
}
