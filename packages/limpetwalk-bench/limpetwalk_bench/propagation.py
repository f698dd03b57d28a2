"""Time from the acceptance of a configuration until all nodes apply it.

Real hubs and configuration managers of several nodes run in one process over
loopback TCP. Each has its own connection to one set of tables and objects in
memory, so that a single node can be cut off from them. Each trial accepts one
change.

Run: ``python -m limpetwalk_bench.propagation --tries=30``
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import json
import random
import statistics
import time

from absl import app
from absl import flags
from loguru import logger
from rich import console
from rich import table as tables
import uvloop

from limpetwalk import clock as clocks
from limpetwalk import metrics as metrics_
from limpetwalk.conf import compiler
from limpetwalk.conf import document
from limpetwalk.conf import head as heads
from limpetwalk.conf import snapshot
from limpetwalk.providers import memory
from limpetwalk_node.configuration import config_manager

from . import local_hubs

FLAGS = flags.FLAGS
flags.DEFINE_integer("tries", 30, "Changes accepted in each case.")
flags.DEFINE_integer("nodes", 9, "Entry nodes, spread over three zones.")
flags.DEFINE_integer("seed", 1, "Seed of the pauses between changes.")
flags.DEFINE_bool("json", False, "Print JSON in place of a table.")

LIMIT_SECONDS = 8.0
CHANGE_TIMEOUT_SECONDS = 30.0
ZONES = ("z1", "z2", "z3")


class Node:
    """Hub, configuration manager and connection to the stores of one node."""

    def __init__(
        self,
        number: int,
        instances: memory.MemoryInstances,
        rows: memory.Rows,
        blobs: dict[str, bytes],
    ) -> None:
        name = f"n{number}"
        clock = clocks.SystemClock()
        metrics = metrics_.Metrics()
        self.table = memory.MemoryTable(rows)
        self.objects = memory.MemoryObjects(blobs)
        self.hub = local_hubs.make_hub(
            name, ZONES[number % len(ZONES)], instances, metrics
        )
        self.config_manager = config_manager.ConfigManager(
            self.hub,
            heads.HeadStore(self.table, self.objects, clock),
            compiler.compile_document,
            clock,
            random.Random(name),
            metrics,
        )
        self.applied_at: dict[int, float] = {}
        self.config_manager.subscribe(self._record_applied)

    def _record_applied(self, applied: snapshot.AppliedSnapshot) -> None:
        self.applied_at.setdefault(applied.generation, time.monotonic())

    def set_store_unavailable(self, unavailable: bool) -> None:
        """Make the stores unavailable to this node, or available again."""
        self.table.faults.unavailable = unavailable
        self.objects.faults.unavailable = unavailable


class Site:
    """Nodes, and the operator's own connection to their stores.

    :param nodes: number of nodes.
    :param linked: whether the nodes are listed, so that they link up.
    """

    def __init__(self, nodes: int, linked: bool) -> None:
        self.instances = memory.MemoryInstances()
        rows = memory.Rows()
        blobs: dict[str, bytes] = {}
        self.nodes = [
            Node(number, self.instances, rows, blobs)
            for number in range(nodes)
        ]
        self._linked = linked
        self._generation = 0
        self._heads = heads.HeadStore(
            memory.MemoryTable(rows),
            memory.MemoryObjects(blobs),
            clocks.SystemClock(),
        )

    async def start(self) -> None:
        """Start the nodes and wait until all links are up."""
        for node in self.nodes:
            await node.hub.start()
            if self._linked:
                local_hubs.add_to_instances(node.hub, self.instances)
            await node.config_manager.start()
        expected_links = len(self.nodes) - 1 if self._linked else 0
        await local_hubs.wait_until(
            lambda: all(
                len(n.hub.live()) == expected_links for n in self.nodes
            )
        )

    async def stop(self) -> None:
        """Stop the nodes."""
        for node in self.nodes:
            await node.config_manager.stop()
            await node.hub.stop()

    async def accept(self) -> bytes:
        """Accept a changed configuration and return its bytes."""
        tuning = document.TuningSection(queue_length=100 + self._generation)
        data = document.Document(tuning=tuning).to_bytes()
        outcome = await self._heads.accept(data, self._generation, "bench")
        self._generation = outcome.unwrap().generation
        return data

    async def wait_until_applied(self, since: float) -> float:
        """Wait until all nodes have applied the last change.

        :param since: monotonic time at which the change was accepted.
        :returns: seconds from then until the last node applied it.
        """
        generation = self._generation
        await local_hubs.wait_until(
            lambda: all(generation in node.applied_at for node in self.nodes),
            CHANGE_TIMEOUT_SECONDS,
        )
        return max(n.applied_at[generation] for n in self.nodes) - since

    @property
    def generation(self) -> int:
        """Generation that was accepted last."""
        return self._generation


FaultInjector = Callable[[Site, bytes], Awaitable[None]]


async def _no_fault(site: Site, data: bytes) -> None:
    pass


async def _store_down(site: Site, data: bytes) -> None:
    for node in site.nodes:
        node.set_store_unavailable(True)
    await site.nodes[0].config_manager.apply_from_operator(
        site.generation, data
    )


async def _cut_one_node(site: Site, data: bytes) -> None:
    site.nodes[-1].set_store_unavailable(True)


@dataclass(frozen=True, slots=True)
class Case:
    """Fault under which changes are accepted.

    :param name: name in the report.
    :param inject_fault: causes the fault once a change is accepted.
    :param linked: whether the nodes are linked and announce changes.
    """

    name: str
    inject_fault: FaultInjector
    linked: bool = True


CASES = (
    Case("store fine, polls alone", _no_fault, linked=False),
    Case("store fine", _no_fault),
    Case("store down after the write, handed to one node", _store_down),
    Case("one node cut from the store", _cut_one_node),
)


async def run_case(
    case: Case, nodes: int, changes: int, rng: random.Random
) -> list[float]:
    """Return the seconds until each change of a case was applied."""
    site = Site(nodes, case.linked)
    await site.start()
    durations = []
    for _ in range(changes):
        await asyncio.sleep(rng.uniform(0.0, config_manager.POLL_INTERVAL))
        data = await site.accept()
        since = time.monotonic()
        await case.inject_fault(site, data)
        durations.append(await site.wait_until_applied(since))
        for node in site.nodes:
            node.set_store_unavailable(False)
    await site.stop()
    return durations


async def measure(
    nodes: int, changes: int, seed: int
) -> dict[str, list[float]]:
    """Return the times of each case, in seconds, by its name."""
    rng = random.Random(seed)
    return {
        case.name: await run_case(case, nodes, changes, rng) for case in CASES
    }


def print_table(results: dict[str, list[float]]) -> None:
    """Print the results as a table."""
    table = tables.Table("case", "tries", "p50 s", "max s", "over 8 s")
    for name, durations in results.items():
        table.add_row(
            name,
            str(len(durations)),
            f"{statistics.median(durations):.3f}",
            f"{max(durations):.3f}",
            str(sum(seconds > LIMIT_SECONDS for seconds in durations)),
        )
    console.Console().print(table)


def main(argv: list[str]) -> None:
    """Run all cases and print the results."""
    logger.disable("limpetwalk")
    logger.disable("limpetwalk_node")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        results = runner.run(measure(FLAGS.nodes, FLAGS.tries, FLAGS.seed))
    if FLAGS.json:
        print(json.dumps(results))
    else:
        print_table(results)


if __name__ == "__main__":
    app.run(main)
