"""One soak: nodes, stand-ins, callers and faults, and its summary."""

import asyncio
import collections
from collections.abc import Sequence
import contextlib
from dataclasses import dataclass
import itertools
import pathlib
import random
import time
from typing import TypeVar

import aiohttp

from ..hub import site
from ..site import ports
from . import callers
from . import checks
from . import fault_injector
from . import fault_plan
from . import node_link
from . import nodes
from . import operators
from . import proxy

NODE_COUNT = 3
CALLER_COUNT = 12
# Backend by identifier of its server.
BACKEND_BY_SERVER = {
    "e-1": site.ENGINE,
    "e-2": site.ENGINE,
    "e-3": site.ENGINE,
    "p-1": site.PLAIN,
    "p-2": site.PLAIN,
}
# Zone by identifier of its server; zone-a for others.
ZONE_BY_SERVER = {"e-3": operators.ZONE, "p-2": operators.ZONE}
# Pause of a server between two events of a stream, in seconds.
EVENT_INTERVAL = 0.03
# Time for all nodes to become ready, in seconds.
START_TIMEOUT = 30.0
# Time after the last fault for nodes to restart, notice what they missed and
# end the backoff of servers, and the time after it in which every request
# must be served, in seconds.
SETTLE_TIME = 6.0
CALM_TIME = 2.0
# Number of loopback addresses for the nodes of one process; a multiple of
# NODE_COUNT.
MAX_HOSTS = 240

_soak_numbers = itertools.count()
_Path = TypeVar("_Path", bound=proxy.Proxy)


@dataclass(frozen=True, slots=True)
class Summary:
    """Summary of a soak.

    :param faults: number of injected faults.
    :param served: number of requests with a complete answer of a server.
    :param starts: number of node processes that were started.
    :param broken: guarantees that were violated.
    :param kinds: number of faults and operator's changes, by kind.
    """

    seed: int
    faults: int
    requests: int
    served: int
    starts: int
    broken: list[checks.Violation]
    kinds: dict[str, int]


async def run_soak(
    seed: int,
    length: float,
    folder: pathlib.Path,
    older_build: tuple[str, ...] = (),
) -> Summary:
    """Run one soak.

    :param length: seconds in which all faults start and end.
    :param folder: folder for settings and logs of the nodes.
    :param older_build: folders of the program with which all nodes start, see
        ``builds``; they are replaced one after the other by the present one,
        and back again. Empty if all run the present one throughout.
    """
    async with contextlib.AsyncExitStack() as stack:
        injector = await _build_environment(stack, folder, older_build)
        await _wait_until_ready(injector)
        outcomes: list[callers.Outcome] = []
        replacements: list[tuple[str, float]] = []
        faults = fault_plan.draw_faults(
            seed, length, list(injector.nodes), list(injector.services)
        )
        faults += fault_plan.draw_aftermath(seed, length)
        started = time.monotonic()
        async with asyncio.TaskGroup() as group:
            rng = random.Random(seed)
            entry_nodes = list(injector.nodes.values())
            caller_tasks = [
                group.create_task(
                    callers.Caller(
                        f"c{number}",
                        entry_nodes,
                        random.Random(rng.random()),
                        outcomes,
                    ).run()
                )
                for number in range(CALLER_COUNT)
            ]
            disturbances = [_inject_all(injector, faults, started)]
            if older_build:
                disturbances.append(
                    _replace_builds(
                        entry_nodes, length, older_build, replacements
                    )
                )
            await asyncio.gather(*disturbances)
            calm_from = time.monotonic() + SETTLE_TIME
            await asyncio.sleep(SETTLE_TIME + CALM_TIME)
            for task in caller_tasks:
                task.cancel()
        observations = checks.Observations(
            outcomes,
            injector.site.servers,
            faults,
            started,
            calm_from,
            replacements,
            injector.operator.history,
        )
        return Summary(
            seed=seed,
            faults=len(faults),
            requests=len(outcomes),
            served=sum(outcome.served for outcome in outcomes),
            starts=sum(node.start_count for node in entry_nodes),
            broken=checks.find_violations(observations),
            kinds=dict(
                collections.Counter(
                    (fault.change or fault.kind).value for fault in faults
                )
            ),
        )


async def _replace_builds(
    entry_nodes: Sequence[nodes.Node],
    length: float,
    older_build: tuple[str, ...],
    replacements: list[tuple[str, float]],
) -> None:
    """Replace the program of all nodes in turn, and then the old one's.

    :param replacements: gets each node, and the time at which it was told to
        stop.
    """
    for build in ((), older_build):
        for node in entry_nodes:
            await asyncio.sleep(length / (2 * len(entry_nodes) + 1))
            node.build = build
            replacements.append((node.name, time.monotonic()))
            await node.terminate()


async def _inject_all(
    injector: fault_injector.FaultInjector,
    faults: tuple[fault_plan.Fault, ...],
    started: float,
) -> None:

    async def inject_at_its_time(fault: fault_plan.Fault) -> None:
        await asyncio.sleep(max(0.0, started + fault.at - time.monotonic()))
        await injector.inject(fault)

    await asyncio.gather(*(inject_at_its_time(fault) for fault in faults))


async def _build_environment(
    stack: contextlib.AsyncExitStack,
    folder: pathlib.Path,
    build: tuple[str, ...],
) -> fault_injector.FaultInjector:
    stand_ins = site.Site()
    stack.push_async_callback(stand_ins.stop)
    await stand_ins.start({})
    server_paths = {}
    zones = {
        server_id: ZONE_BY_SERVER.get(server_id, "zone-a")
        for server_id in BACKEND_BY_SERVER
    }
    for server_id, service in BACKEND_BY_SERVER.items():
        link = await _start(stack, proxy.Proxy(0))
        await stand_ins.add_server(
            server_id,
            service,
            address=f"127.0.0.1:{link.port}",
            zone=zones[server_id],
        )
        stand_ins.servers[server_id].event_interval = EVENT_INTERVAL
        link.target_port = stand_ins.ports[server_id]
        server_paths[server_id] = link
    # Soaks of one process may run in parallel, too.
    first = next(_soak_numbers) * NODE_COUNT % MAX_HOSTS + 1
    entry_nodes, store_paths = {}, {}
    node_links: dict[str, dict[str, node_link.NodeLink]] = {}
    for number in range(1, NODE_COUNT + 1):
        host = ports.own_host(first + number - 1)
        node = nodes.Node(f"node-{number}", host, folder)
        node.build = build
        store_paths[node.name] = await _start(
            stack, proxy.Proxy(stand_ins.store_port)
        )
        node_links[node.name] = {
            server_id: await _start(
                stack, node_link.NodeLink(node.host, path.port)
            )
            for server_id, path in server_paths.items()
        }
        node.start(
            store_paths[node.name],
            {
                f"127.0.0.1:{path.port}": (
                    node_links[node.name][server_id].address
                )
                for server_id, path in server_paths.items()
            },
        )
        stack.push_async_callback(node.stop)
        entry_nodes[node.name] = node
    injector = fault_injector.FaultInjector(
        stand_ins,
        entry_nodes,
        store_paths,
        server_paths,
        node_links,
        BACKEND_BY_SERVER,
        zones,
    )
    await injector.operator.write()
    return injector


async def _start(stack: contextlib.AsyncExitStack, path: _Path) -> _Path:
    await path.start()
    stack.push_async_callback(path.stop)
    return path


async def _wait_until_ready(injector: fault_injector.FaultInjector) -> None:
    async with (
        asyncio.timeout(START_TIMEOUT),
        aiohttp.ClientSession() as http,
    ):
        for node in injector.nodes.values():
            while not await node.is_ready(http):
                await asyncio.sleep(0.1)
