"""Injection of faults into the processes, paths and stand-ins of a soak."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import signal

from aiohttp import web

from ..hub import server
from ..hub import site
from . import fault_plan
from . import node_link
from . import nodes
from . import operators
from . import proxy

# Status with which the store rejects requests.
STORE_UNAVAILABLE = 503
# Writes that a restored store loses for each second of its outage.
LOST_WRITES_PER_SECOND = 3


class FaultInjector:
    """Environment of a soak, with an operation for each fault.

    :param stand_ins: store and backend servers.
    :param entry_nodes: entry nodes by name.
    :param store_paths: proxy before the store, by name of the node.
    :param server_paths: proxy before a server, by its identifier.
    :param node_links: paths of each node, by its name, to the proxies before
        the servers, by their identifiers.
    :param services: name of the backend, by server identifier.
    :param zones: zone, by server identifier.
    """

    def __init__(
        self,
        stand_ins: site.Site,
        entry_nodes: dict[str, nodes.Node],
        store_paths: dict[str, proxy.Proxy],
        server_paths: dict[str, proxy.Proxy],
        node_links: dict[str, dict[str, node_link.NodeLink]],
        services: dict[str, str],
        zones: dict[str, str],
    ) -> None:
        self.site = stand_ins
        self.nodes = entry_nodes
        self.store_paths = store_paths
        self.server_paths = server_paths
        self.node_links = node_links
        self.services = services
        self.zones = zones
        self.operator = operators.Operator(stand_ins)
        self._last_born = 1
        self._active_counts: collections.Counter[
            tuple[fault_plan.FaultKind, str]
        ] = collections.Counter()

    async def inject(self, fault: fault_plan.Fault) -> None:
        """Start a fault, wait for its duration and end it.

        A fault that has overlapping instances ends with the last of them.
        """
        if fault.kind in _INSTANT_FAULTS:
            await _INSTANT_FAULTS[fault.kind](self, fault)
            return
        if fault.link_fault is not None:
            await self._inject_link_fault(fault, fault.link_fault)
            return
        if fault.link_cut is not None:
            await self._inject_link_cut(fault, fault.link_cut)
            return
        if fault.kind is fault_plan.FaultKind.SERVER_SILENT:
            await self._inject_silence(fault)
            return
        if fault.kind is fault_plan.FaultKind.OPERATOR_CHANGE:
            await self._inject_change(fault)
            return
        begin, end = _LASTING_FAULTS[fault.kind]
        key = (fault.kind, fault.target)
        self._active_counts[key] += 1
        try:
            await begin(self, fault)
            await asyncio.sleep(fault.duration)
        finally:
            self._active_counts[key] -= 1
            if not self._active_counts[key]:
                await end(self, fault)

    async def _inject_link_fault(
        self, fault: fault_plan.Fault, link_fault: fault_plan.LinkFault
    ) -> None:
        paths = (
            self.store_paths
            if fault.kind is fault_plan.FaultKind.STORE_LINK
            else self.server_paths
        )
        paths[fault.target].add_fault(link_fault)
        try:
            await asyncio.sleep(fault.duration)
        finally:
            paths[fault.target].remove_fault(link_fault)

    async def _inject_link_cut(
        self, fault: fault_plan.Fault, link_cut: fault_plan.LinkCut
    ) -> None:
        links = [
            self.node_links[fault.target][server_id]
            for server_id in fault.servers
        ]
        for link in links:
            link.cut(link_cut)
        try:
            await asyncio.sleep(fault.duration)
        finally:
            for link in links:
                link.restore(link_cut)

    async def _inject_change(self, fault: fault_plan.Fault) -> None:
        assert fault.change is not None
        await self.operator.begin(fault.change)
        try:
            await asyncio.sleep(fault.duration)
        finally:
            await self.operator.end(fault.change)

    async def _inject_silence(self, fault: fault_plan.Fault) -> None:
        path = self.server_paths[fault.target]
        path.hold()
        try:
            await asyncio.sleep(fault.duration)
        finally:
            path.release()

    async def kill(self, fault: fault_plan.Fault) -> None:
        """Send SIGKILL to a node."""
        self.nodes[fault.target].signal(signal.SIGKILL)

    async def term(self, fault: fault_plan.Fault) -> None:
        """Stop a node with its grace period."""
        await self.nodes[fault.target].terminate()

    async def reload(self, fault: fault_plan.Fault) -> None:
        """Make a node reload its settings."""
        self.nodes[fault.target].signal(signal.SIGHUP)

    async def drop_history(self, fault: fault_plan.Fault) -> None:
        """Discard the store's history."""
        await self.site.store.discard_history()

    async def change_config(self, fault: fault_plan.Fault) -> None:
        """Write a configuration with another route that nobody uses."""
        await self.operator.write()

    async def evacuate(self, fault: fault_plan.Fault) -> None:
        """Evacuate a zone."""
        await self.operator.evacuate(
            frozenset(
                server
                for server, zone in self.zones.items()
                if zone == operators.ZONE
            )
        )

    async def end_evacuation(self, fault: fault_plan.Fault) -> None:
        """Take the evacuation back."""
        await self.operator.end_evacuation()

    async def pause(self, fault: fault_plan.Fault) -> None:
        """Suspend a node."""
        self.nodes[fault.target].signal(signal.SIGSTOP)

    async def resume(self, fault: fault_plan.Fault) -> None:
        """Resume a suspended node."""
        self.nodes[fault.target].signal(signal.SIGCONT)

    async def start_errors(self, fault: fault_plan.Fault) -> None:
        """Make a server answer every request with status 500."""
        backend_server = self.site.servers[fault.target]

        async def answer(req: web.Request) -> web.StreamResponse:
            return web.Response(
                status=500, headers=backend_server.answer_headers(req)
            )

        backend_server.behaviour = answer

    async def start_truncating(self, fault: fault_plan.Fault) -> None:
        """Make a server abort each connection in mid-answer."""
        backend_server = self.site.servers[fault.target]

        async def answer(req: web.Request) -> web.StreamResponse:
            resp = web.StreamResponse(
                headers=backend_server.answer_headers(req)
            )
            await resp.prepare(req)
            if "Model" in req.headers:
                first = int(req.headers.get("Last-Event-Id", "0")) + 1
                await resp.write(server.event(first)[:-3])
            assert req.transport is not None
            req.transport.abort()
            return resp

        backend_server.behaviour = answer

    async def restore_answers(self, fault: fault_plan.Fault) -> None:
        """Make a server answer normally again."""
        self.site.servers[fault.target].behaviour = None

    async def leave(self, fault: fault_plan.Fault) -> None:
        """Announce that a server leaves."""
        await self._put_server_row(fault.target, "draining")

    async def come_back(self, fault: fault_plan.Fault) -> None:
        """Announce a new start of a server under its old identifier."""
        self._last_born += 1
        await self._put_server_row(fault.target, "ready")

    async def store_down(self, fault: fault_plan.Fault) -> None:
        """Make the store reject every request."""
        self.site.store.faults.status = STORE_UNAVAILABLE

    async def store_up(self, fault: fault_plan.Fault) -> None:
        """Make the store accept requests again."""
        self.site.store.faults.status = 0

    async def restore_store(self, fault: fault_plan.Fault) -> None:
        """Make the store reject requests and lose its latest writes."""
        store = self.site.store
        store.faults.status = STORE_UNAVAILABLE
        lost = 1 + int(fault.duration * LOST_WRITES_PER_SECOND)
        await store.restore(max(0, store.ver - lost))

    async def write_again(self, fault: fault_plan.Fault) -> None:
        """Make the restored store answer, and write again what was lost."""
        self.site.store.faults.status = 0
        await self.site.store.write_again(("op", "servers"))

    async def store_silent(self, fault: fault_plan.Fault) -> None:
        """Make the store leave every request without an answer."""
        self.site.store.faults.silent = True

    async def store_responds(self, fault: fault_plan.Fault) -> None:
        """Make the store answer requests again."""
        self.site.store.faults.silent = False

    async def store_loses_responses(self, fault: fault_plan.Fault) -> None:
        """Make the store apply writes and lose the responses."""
        self.site.store.faults.lose_writes = True

    async def store_confirms_writes(self, fault: fault_plan.Fault) -> None:
        """Make the store confirm writes again."""
        self.site.store.faults.lose_writes = False

    async def _put_server_row(self, server_id: str, state: str) -> None:
        path = self.server_paths[server_id]
        row = site.server_row(
            self.services[server_id],
            path.port,
            state=state,
            zone=self.zones[server_id],
            born=self._last_born,
        )
        await self.site.store.put("servers", server_id, row)


Action = Callable[[FaultInjector, fault_plan.Fault], Awaitable[None]]
_INSTANT_FAULTS: dict[fault_plan.FaultKind, Action] = {
    fault_plan.FaultKind.KILL: FaultInjector.kill,
    fault_plan.FaultKind.KILL_ALL: FaultInjector.kill,
    fault_plan.FaultKind.TERM: FaultInjector.term,
    fault_plan.FaultKind.RELOAD: FaultInjector.reload,
    fault_plan.FaultKind.STORE_DROPS_HISTORY: FaultInjector.drop_history,
    fault_plan.FaultKind.CONFIG_CHANGE: FaultInjector.change_config,
}
# Operations that start and end each fault with a duration.
_LASTING_FAULTS: dict[fault_plan.FaultKind, tuple[Action, Action]] = {
    fault_plan.FaultKind.PAUSE: (FaultInjector.pause, FaultInjector.resume),
    fault_plan.FaultKind.SERVER_ERRORS: (
        FaultInjector.start_errors,
        FaultInjector.restore_answers,
    ),
    fault_plan.FaultKind.SERVER_TRUNCATES: (
        FaultInjector.start_truncating,
        FaultInjector.restore_answers,
    ),
    fault_plan.FaultKind.SERVER_LEAVES: (
        FaultInjector.leave,
        FaultInjector.come_back,
    ),
    fault_plan.FaultKind.EVACUATION: (
        FaultInjector.evacuate,
        FaultInjector.end_evacuation,
    ),
    fault_plan.FaultKind.STORE_DOWN: (
        FaultInjector.store_down,
        FaultInjector.store_up,
    ),
    fault_plan.FaultKind.STORE_RESTORED: (
        FaultInjector.restore_store,
        FaultInjector.write_again,
    ),
    fault_plan.FaultKind.STORE_SILENT: (
        FaultInjector.store_silent,
        FaultInjector.store_responds,
    ),
    fault_plan.FaultKind.STORE_LOSES_RESPONSES: (
        FaultInjector.store_loses_responses,
        FaultInjector.store_confirms_writes,
    ),
}
