"""One soak: nodes, stand-ins, callers and faults, and what came of it."""

import asyncio
import contextlib
from dataclasses import dataclass
import os
import pathlib
import random
import time

import aiohttp

from ..hub import site
from . import callers
from . import checks
from . import nodes
from . import plan
from . import proxy
from . import strikes

NODES = 3
CALLERS = 12
SERVERS = {
    "e-1": site.ENGINE,
    "e-2": site.ENGINE,
    "e-3": site.ENGINE,
    "p-1": site.PLAIN,
    "p-2": site.PLAIN,
}
# Pause of an engine between two events, seconds.
EVENT_PAUSE = 0.03
# Time for all nodes to start, seconds.
START_TIMEOUT = 30.0
# Time after the last fault in which nodes start again, notice what they have
# lost and let servers rest no longer, seconds; then as much calm.
SETTLE = 6.0
CALM = 2.0


@dataclass(frozen=True, slots=True)
class Summary:
    """What came of a soak.

    :param starts: processes that were started.
    """

    seed: int
    faults: int
    requests: int
    served: int
    starts: int
    broken: list[checks.Broken]


async def soak(seed: int, length: float, folder: pathlib.Path) -> Summary:
    """Run one soak.

    :param length: seconds in which faults strike.
    :param folder: where settings and logs of the nodes go.
    """
    async with contextlib.AsyncExitStack() as stack:
        world = await _build(stack, folder)
        await _until_all_answer(world)
        outcomes: list[callers.Outcome] = []
        faults = plan.draw(
            seed, length, list(world.nodes), list(world.services)
        )
        started = time.monotonic()
        async with asyncio.TaskGroup() as group:
            rng = random.Random(seed)
            held = list(world.nodes.values())
            sending = [
                group.create_task(
                    callers.Caller(
                        f"c{number}",
                        held,
                        random.Random(rng.random()),
                        outcomes,
                    ).run()
                )
                for number in range(CALLERS)
            ]
            await _strike_all(world, faults, started)
            calm_from = time.monotonic() + SETTLE
            await asyncio.sleep(SETTLE + CALM)
            for task in sending:
                task.cancel()
        seen = checks.Soaked(
            outcomes, world.site.servers, faults, started, calm_from
        )
        return Summary(
            seed=seed,
            faults=len(faults),
            requests=len(outcomes),
            served=sum(each.served for each in outcomes),
            starts=sum(node.starts for node in held),
            broken=checks.judge(seen),
        )


async def _strike_all(
    world: strikes.World, faults: tuple[plan.Fault, ...], started: float
) -> None:

    async def one(fault: plan.Fault) -> None:
        await asyncio.sleep(max(0.0, started + fault.at - time.monotonic()))
        await world.strike(fault)

    await asyncio.gather(*(one(fault) for fault in faults))


async def _build(
    stack: contextlib.AsyncExitStack, folder: pathlib.Path
) -> strikes.World:
    held = site.Site()
    stack.push_async_callback(held.stop)
    await held.start({})
    server_paths = {}
    for server_id, service in SERVERS.items():
        path = await _path(stack, 0)
        await held.add_server(
            server_id, service, address=f"127.0.0.1:{path.port}"
        )
        held.servers[server_id].event_interval = EVENT_PAUSE
        path.target_port = held.ports[server_id]
        server_paths[server_id] = path
    # Addresses of their own, so that soaks can run beside each other.
    block = f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}"
    started, store_paths = {}, {}
    for number in range(1, NODES + 1):
        node = nodes.Node(f"node-{number}", f"{block}.{number}", folder)
        store_paths[node.name] = await _path(stack, held.store_port)
        node.start(store_paths[node.name])
        stack.push_async_callback(node.stop)
        started[node.name] = node
    return strikes.World(held, started, store_paths, server_paths, SERVERS)


async def _path(stack: contextlib.AsyncExitStack, port: int) -> proxy.Proxy:
    path = proxy.Proxy(port)
    await path.start()
    stack.push_async_callback(path.stop)
    return path


async def _until_all_answer(world: strikes.World) -> None:
    async with (
        asyncio.timeout(START_TIMEOUT),
        aiohttp.ClientSession() as http,
    ):
        for node in world.nodes.values():
            while not await _answers(http, node):
                await asyncio.sleep(0.1)


async def _answers(http: aiohttp.ClientSession, node: nodes.Node) -> bool:
    try:
        async with http.get(
            f"http://{node.host}:{node.readiness}/v1/readyz"
        ) as resp:
            return resp.status == 200
    except (aiohttp.ClientError, OSError):
        return False
