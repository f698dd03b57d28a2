"""Cost of the links between nodes: processor time, bytes and memory.

Real hubs run in one process over loopback TCP, so the figures of a node are
those of the process divided by the nodes. Membership, heartbeats and the
reading of the instance list are at work, and nothing else.

Run: ``python -m limpetwalk_bench.mesh_cost --seconds=10``
"""

import asyncio
from dataclasses import dataclass
import gc
import json
import os
import pathlib
import time

from absl import app
from absl import flags
from loguru import logger
from rich import console
from rich import table as tables
import uvloop

from limpetwalk import metrics as metrics_
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import hub_status
from limpetwalk.providers import memory

from . import node_links

FLAGS = flags.FLAGS
flags.DEFINE_list("mesh", ["3", "9", "20", "40", "60"], "Full meshes.")
flags.DEFINE_list("zoned", ["34", "68", "102"], "Meshes within zones.")
flags.DEFINE_integer("zone_nodes", 17, "Nodes of a zone.")
flags.DEFINE_float("seconds", 10.0, "Time that each size is measured for.")
flags.DEFINE_bool("json", False, "Print JSON in place of a table.")

KIB = 1024


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one node.

    :param nodes: nodes in all.
    :param links: mean number of links of a node.
    :param cpu_percent: share of a core.
    :param sent: bytes a second that it sends, without TCP's own.
    :param received: bytes a second that it receives.
    :param memory_kib: memory that it adds to the process.
    """

    nodes: int
    links: float
    cpu_percent: float
    sent: float
    received: float
    memory_kib: float


def resident_kib() -> float:
    """Return the memory of this process, in KiB."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / KIB


async def measure(nodes: int, full_mesh: bool, seconds: float) -> Cost:
    """Return the cost of a node among a number of nodes."""
    gc.collect()
    memory_before = resident_kib()
    instances = memory.MemoryInstances()
    held = []
    for number in range(nodes):
        hub = node_links.make_hub(
            f"n{number:03d}",
            f"z{number // FLAGS.zone_nodes:02d}",
            instances,
            metrics_.Metrics(),
            full_mesh_nodes=nodes if full_mesh else 1,
        )
        held.append(hub)
        await hub.start()
        node_links.show(hub, instances)
    await node_links.until(lambda: all(_is_linked(h, nodes) for h in held))
    await asyncio.sleep(hubs.LIST_INTERVAL)
    memory_after = resident_kib()
    before = [hub.traffic() for hub in held]
    cpu_before = time.process_time()
    since = time.monotonic()
    await asyncio.sleep(seconds)
    cpu = time.process_time() - cpu_before
    took = time.monotonic() - since
    after = [hub.traffic() for hub in held]
    links = sum(len(hub.live()) for hub in held) / nodes
    for hub in held:
        await hub.stop()
    return Cost(
        nodes=nodes,
        links=links,
        cpu_percent=100 * cpu / took / nodes,
        sent=_rate(before, after, "sent", took),
        received=_rate(before, after, "received", took),
        memory_kib=(memory_after - memory_before) / nodes,
    )


def _is_linked(hub: hubs.Hub, nodes: int) -> bool:
    expected = hub.expected_peers()
    known = len(hub.members.known()) == nodes - 1
    live = {peer.name for peer in hub.live()}
    return known and live.issuperset(peer.name for peer in expected)


def _rate(
    before: list[hub_status.Traffic],
    after: list[hub_status.Traffic],
    way: str,
    seconds: float,
) -> float:
    total = sum(getattr(item, way) for item in after)
    total -= sum(getattr(item, way) for item in before)
    return total / seconds / len(after)


async def measure_all() -> dict[str, list[Cost]]:
    """Return the costs of full meshes and of meshes within zones."""
    found: dict[str, list[Cost]] = {"full mesh": [], "zones": []}
    for size in FLAGS.mesh:
        found["full mesh"].append(
            await measure(int(size), True, FLAGS.seconds)
        )
    for size in FLAGS.zoned:
        found["zones"].append(await measure(int(size), False, FLAGS.seconds))
    return found


def show(found: dict[str, list[Cost]]) -> None:
    """Print a table of the costs."""
    table = tables.Table(
        "links",
        "nodes",
        "links a node",
        "% of a core",
        "sent B/s",
        "received B/s",
        "memory KiB",
    )
    for kind, costs in found.items():
        for cost in costs:
            table.add_row(
                kind,
                str(cost.nodes),
                f"{cost.links:.1f}",
                f"{cost.cpu_percent:.3f}",
                f"{cost.sent:.0f}",
                f"{cost.received:.0f}",
                f"{cost.memory_kib:.0f}",
            )
    console.Console(width=100).print(table)


def main(argv: list[str]) -> None:
    """Measure all sizes and print the figures."""
    logger.disable("limpetwalk")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        found = runner.run(measure_all())
    if FLAGS.json:
        costs = {
            kind: [
                {name: getattr(cost, name) for name in Cost.__slots__}
                for cost in held
            ]
            for kind, held in found.items()
        }
        print(json.dumps(costs))
    else:
        show(found)


if __name__ == "__main__":
    app.run(main)
