"""Time from the acceptance of a configuration to its force at all nodes.

Real hubs and configuration managers of several nodes run in one process over
loopback TCP, each with its own connection to one set of tables and objects in
memory, so that one node can be cut off. Each try accepts one change.

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

from . import node_links

FLAGS = flags.FLAGS
flags.DEFINE_integer("tries", 30, "Changes accepted in each case.")
flags.DEFINE_integer("nodes", 9, "Entry nodes, spread over three zones.")
flags.DEFINE_integer("seed", 1, "Seed of the pauses between changes.")
flags.DEFINE_bool("json", False, "Print JSON in place of a table.")

LIMIT = 8.0
TRY_TIMEOUT = 30.0
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
        self.hub = node_links.make_hub(
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
        self.config_manager.subscribe(self._note)

    def _note(self, applied: snapshot.AppliedSnapshot) -> None:
        self.applied_at.setdefault(applied.generation, time.monotonic())

    def cut_store(self, cut: bool) -> None:
        """Cut this node from the stores, or join it again."""
        self.table.faults.unavailable = cut
        self.objects.faults.unavailable = cut


class Site:
    """Nodes with the operator's own connection to the stores."""

    def __init__(self, nodes: int, linked: bool) -> None:
        self.instances = memory.MemoryInstances()
        rows = memory.Rows()
        blobs: dict[str, bytes] = {}
        self.nodes = [
            Node(number, self.instances, rows, blobs)
            for number in range(nodes)
        ]
        self._linked = linked
        self._accepted = 0
        self._heads = heads.HeadStore(
            memory.MemoryTable(rows),
            memory.MemoryObjects(blobs),
            clocks.SystemClock(),
        )

    async def start(self) -> None:
        """Start the nodes and wait until they know of each other."""
        for node in self.nodes:
            await node.hub.start()
            if self._linked:
                node_links.show(node.hub, self.instances)
            await node.config_manager.start()
        others = len(self.nodes) - 1 if self._linked else 0
        await node_links.until(
            lambda: all(len(n.hub.live()) == others for n in self.nodes)
        )

    async def stop(self) -> None:
        """Stop the nodes."""
        for node in self.nodes:
            await node.config_manager.stop()
            await node.hub.stop()

    async def accept(self) -> bytes:
        """Accept a changed configuration and return its bytes."""
        tuning = document.TuningSection(queue_length=100 + self._accepted)
        data = document.Document(tuning=tuning).to_bytes()
        outcome = await self._heads.accept(data, self._accepted, "bench")
        self._accepted = outcome.unwrap().generation
        return data

    async def wait(self, since: float) -> float:
        """Return the seconds until the last node has the change."""
        number = self._accepted
        await node_links.until(
            lambda: all(number in node.applied_at for node in self.nodes),
            TRY_TIMEOUT,
        )
        return max(n.applied_at[number] for n in self.nodes) - since

    @property
    def generation(self) -> int:
        """Generation accepted last."""
        return self._accepted


Prepare = Callable[[Site, bytes], Awaitable[None]]


async def _nothing(site: Site, data: bytes) -> None:
    pass


async def _store_down(site: Site, data: bytes) -> None:
    for node in site.nodes:
        node.cut_store(True)
    await site.nodes[0].config_manager.apply_from_operator(
        site.generation, data
    )


async def _one_cut(site: Site, data: bytes) -> None:
    site.nodes[-1].cut_store(True)


@dataclass(frozen=True, slots=True)
class Case:
    """Fault under which changes are accepted.

    :param name: text for the report.
    :param prepare: brings the fault about once a change is accepted.
    :param linked: whether the nodes tell each other of changes.
    """

    name: str
    prepare: Prepare
    linked: bool = True


CASES = (
    Case("store fine, polls alone", _nothing, linked=False),
    Case("store fine", _nothing),
    Case("store down after the write, handed to one node", _store_down),
    Case("one node cut from the store", _one_cut),
)


async def run_case(
    case: Case, nodes: int, tries: int, rng: random.Random
) -> list[float]:
    """Return the seconds that each change of a case took."""
    site = Site(nodes, case.linked)
    await site.start()
    took = []
    for _ in range(tries):
        await asyncio.sleep(rng.uniform(0.0, config_manager.POLL_INTERVAL))
        data = await site.accept()
        since = time.monotonic()
        await case.prepare(site, data)
        took.append(await site.wait(since))
        for node in site.nodes:
            node.cut_store(False)
    await site.stop()
    return took


async def measure(nodes: int, tries: int, seed: int) -> dict[str, list[float]]:
    """Return the times of every case by its name."""
    rng = random.Random(seed)
    return {
        case.name: await run_case(case, nodes, tries, rng) for case in CASES
    }


def show(results: dict[str, list[float]]) -> None:
    """Print a table of the results."""
    table = tables.Table("case", "tries", "p50 s", "max s", "over 8 s")
    for name, took in results.items():
        table.add_row(
            name,
            str(len(took)),
            f"{statistics.median(took):.3f}",
            f"{max(took):.3f}",
            str(sum(seconds > LIMIT for seconds in took)),
        )
    console.Console().print(table)


def main(argv: list[str]) -> None:
    """Run all cases and print the figures."""
    logger.disable("limpetwalk")
    logger.disable("limpetwalk_node")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        results = runner.run(measure(FLAGS.nodes, FLAGS.tries, FLAGS.seed))
    if FLAGS.json:
        print(json.dumps(results))
    else:
        show(results)


if __name__ == "__main__":
    app.run(main)
