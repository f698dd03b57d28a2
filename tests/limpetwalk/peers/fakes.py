"""Fakes and helpers for tests of hubs."""

import asyncio
from collections.abc import Callable
import random

from loguru import logger

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics
from limpetwalk.ledger import rows as ledger_rows
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import topology
from limpetwalk.providers import base as platform
from limpetwalk.providers import memory

# The many log lines about opened and closed links would hide failures. Tests
# check counters instead.
logger.disable("limpetwalk.peers")

# Seconds.
POLL_INTERVAL = 0.001
WAIT_TIMEOUT = 5.0


def instance(
    name: str, zone: str, address: str = "127.0.0.1:1"
) -> platform.Instance:
    """Return the entry of a live entry node in the instance list."""
    return platform.Instance(
        name=name,
        kind=platform.InstanceKind.ENTRY,
        address=address,
        zone=zone,
        state=platform.InstanceState.LIVE,
    )


class FakeInstances:
    """Instance list whose contents a test sets."""

    def __init__(self) -> None:
        self.instances: list[platform.Instance] = []
        self.down = False

    async def fetch(self) -> list[platform.Instance]:
        """Return the list."""
        if self.down:
            raise exceptions.InstanceListUnavailable("fake list is down")
        return list(self.instances)

    async def close(self) -> None:
        """Do nothing."""

    def add(self, hub: hubs.Hub) -> None:
        """Add a started hub to the list."""
        self.instances.append(instance(hub.name, hub.zone, hub.address))

    def remove(self, name: str) -> None:
        """Remove a node from the list."""
        self.instances = [
            entry for entry in self.instances if entry.name != name
        ]


def make_hub(
    name: str,
    instances: platform.InstanceList,
    zone: str = "z1",
    clock: clocks.Clock | None = None,
    full_mesh_nodes: int = topology.FULL_MESH_NODES,
    registry: metrics.Metrics | None = None,
) -> hubs.Hub:
    """Return a hub, not started, that listens on a free loopback port."""
    return hubs.Hub(
        hubs.HubSettings(name, zone, "127.0.0.1", 0, full_mesh_nodes),
        instances,
        clock or clocks.SystemClock(),
        random.Random(name),
        registry or metrics.Metrics(),
    )


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: when it does not hold in ``WAIT_TIMEOUT`` seconds.
    """
    async with asyncio.timeout(WAIT_TIMEOUT):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL)


def read_partition(rows: memory.Rows, number: int) -> list[str]:
    """Return the request keys of the entries in a ledger partition."""
    return [
        entry.request_key
        for row in rows.query(ledger_rows.partition_name(number))
        for entry in ledger_rows.decode_batch(row)
    ]
