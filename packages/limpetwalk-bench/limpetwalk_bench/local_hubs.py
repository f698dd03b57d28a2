"""Hubs of several nodes in one process, for measurements."""

import asyncio
from collections.abc import Callable
import random

from limpetwalk import clock as clocks
from limpetwalk import metrics as metrics_
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import topology
from limpetwalk.providers import base as platform
from limpetwalk.providers import memory

POLL_SECONDS = 0.02
LINK_TIMEOUT_SECONDS = 60.0


def make_hub(
    name: str,
    zone: str,
    instances: memory.MemoryInstances,
    metrics: metrics_.Metrics,
    full_mesh_nodes: int = topology.FULL_MESH_NODES,
) -> hubs.Hub:
    """Return a hub that will listen on a free loopback port when started."""
    return hubs.Hub(
        hubs.HubSettings(name, zone, "127.0.0.1", 0, full_mesh_nodes),
        instances,
        clocks.SystemClock(),
        random.Random(name),
        metrics,
    )


def add_to_instances(hub: hubs.Hub, instances: memory.MemoryInstances) -> None:
    """Add a started hub to the instance list."""
    instances.instances.append(
        platform.Instance(
            name=hub.name,
            kind=platform.InstanceKind.ENTRY,
            address=hub.address,
            zone=hub.zone,
            state=platform.InstanceState.LIVE,
        )
    )


async def wait_until(
    condition: Callable[[], bool], timeout: float = LINK_TIMEOUT_SECONDS
) -> None:
    """Wait until a condition holds.

    :param condition: condition, checked every ``POLL_SECONDS``.
    :param timeout: seconds to wait at most.
    :raises TimeoutError: when the condition does not hold in time.
    """
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)
