"""Cost of the links between nodes: processor time, bytes and memory.

Real hubs run in one process over loopback TCP, so the figures of a node are
those of the process divided by the number of nodes. Only membership,
heartbeats and the polling of the instance list run.

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

from . import local_hubs

FLAGS = flags.FLAGS
flags.DEFINE_list("mesh", ["3", "9", "20", "40", "60"], "Full meshes.")
flags.DEFINE_list("zoned", ["34", "68", "102"], "Meshes within zones.")
flags.DEFINE_integer("zone_nodes", 17, "Nodes of a zone.")
flags.DEFINE_float("seconds", 10.0, "Time that each size is measured for.")
flags.DEFINE_bool("json", False, "Print JSON in place of a table.")

BYTES_PER_KIB = 1024


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one node.

    :param nodes: number of nodes in the mesh.
    :param links: mean number of links of a node.
    :param cpu_percent: percentage of a core that the node uses.
    :param sent: bytes a second that the node sends, without TCP overhead.
    :param received: bytes a second that the node receives.
    :param memory_kib: memory that the node adds to the process.
    """

    nodes: int
    links: float
    cpu_percent: float
    sent: float
    received: float
    memory_kib: float


def resident_kib() -> float:
    """Return the resident memory of this process in KiB."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_KIB


async def measure(nodes: int, full_mesh: bool, seconds: float) -> Cost:
    """Return the cost of one node of a mesh.

    :param nodes: number of nodes in the mesh.
    :param full_mesh: whether each node has a link to every other node.
    :param seconds: length of the measurement.
    """
    gc.collect()
    memory_before = resident_kib()
    instances = memory.MemoryInstances()
    all_hubs = []
    for number in range(nodes):
        hub = local_hubs.make_hub(
            f"n{number:03d}",
            f"z{number // FLAGS.zone_nodes:02d}",
            instances,
            metrics_.Metrics(),
            full_mesh_nodes=nodes if full_mesh else 1,
        )
        all_hubs.append(hub)
        await hub.start()
        local_hubs.add_to_instances(hub, instances)
    await local_hubs.wait_until(
        lambda: all(_is_linked(h, nodes) for h in all_hubs)
    )
    await asyncio.sleep(hubs.LIST_INTERVAL)
    memory_after = resident_kib()
    before = [hub.traffic() for hub in all_hubs]
    cpu_before = time.process_time()
    started = time.monotonic()
    await asyncio.sleep(seconds)
    cpu_seconds = time.process_time() - cpu_before
    elapsed = time.monotonic() - started
    after = [hub.traffic() for hub in all_hubs]
    mean_links = sum(len(hub.live()) for hub in all_hubs) / nodes
    for hub in all_hubs:
        await hub.stop()
    return Cost(
        nodes=nodes,
        links=mean_links,
        cpu_percent=100 * cpu_seconds / elapsed / nodes,
        sent=_rate(before, after, "sent", elapsed),
        received=_rate(before, after, "received", elapsed),
        memory_kib=(memory_after - memory_before) / nodes,
    )


def _is_linked(hub: hubs.Hub, nodes: int) -> bool:
    expected_peers = hub.expected_peers()
    knows_all = len(hub.members.known()) == nodes - 1
    live_names = {peer.name for peer in hub.live()}
    return knows_all and live_names.issuperset(
        peer.name for peer in expected_peers
    )


def _rate(
    before: list[hub_status.Traffic],
    after: list[hub_status.Traffic],
    direction: str,
    seconds: float,
) -> float:
    total = sum(getattr(traffic, direction) for traffic in after)
    total -= sum(getattr(traffic, direction) for traffic in before)
    return total / seconds / len(after)


async def measure_all() -> dict[str, list[Cost]]:
    """Return the costs of full meshes and of meshes within zones."""
    costs: dict[str, list[Cost]] = {"full mesh": [], "zones": []}
    for size in FLAGS.mesh:
        costs["full mesh"].append(
            await measure(int(size), True, FLAGS.seconds)
        )
    for size in FLAGS.zoned:
        costs["zones"].append(await measure(int(size), False, FLAGS.seconds))
    return costs


def print_table(costs: dict[str, list[Cost]]) -> None:
    """Print the costs as a table."""
    table = tables.Table(
        "links",
        "nodes",
        "links a node",
        "% of a core",
        "sent B/s",
        "received B/s",
        "memory KiB",
    )
    for kind, kind_costs in costs.items():
        for cost in kind_costs:
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
    """Measure all mesh sizes and print the costs."""
    logger.disable("limpetwalk")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        costs = runner.run(measure_all())
    if FLAGS.json:
        fields = {
            kind: [
                {name: getattr(cost, name) for name in Cost.__slots__}
                for cost in kind_costs
            ]
            for kind, kind_costs in costs.items()
        }
        print(json.dumps(fields))
    else:
        print_table(costs)


if __name__ == "__main__":
    app.run(main)
