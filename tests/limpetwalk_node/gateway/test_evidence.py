"""Tests of evidence that travels through the collectors of groups."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import json
from unittest import IsolatedAsyncioTestCase
from unittest import mock

from result import Ok

from limpetwalk import clock as clocks
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import ports
from limpetwalk.gateway import types
from limpetwalk.gateway import version_tallies
from limpetwalk_node.gateway import cluster_state
from limpetwalk_node.gateway import rollouts

from . import harness

ORDER = types.RolloutOrder("s", "v2", 24.0, "1.7")
NODES = [f"n{number:02d}" for number in range(30)]


class Table:
    """Table that holds the rows in memory."""

    name = "work"

    def __init__(self) -> None:
        self.rows: dict[str, str] = {}
        self.writes = 0

    async def put(self, writes: Sequence[ports.SharedPut]) -> Ok[int]:
        self.writes += 1
        self.rows.update((put.key, put.value) for put in writes)
        return Ok(1)


class Exchange:
    """Exchange that delivers at once, with a collector for all."""

    def __init__(self, node: str, peers: "dict[str, Exchange]") -> None:
        self.node = node
        self.peers = peers
        self.chosen = NODES[0]
        self.on_evidence: Callable[[str, str, str], None] | None = None

    def collector(self, subject: str) -> str:
        return self.chosen

    def send_evidence(self, receiver: str, order: str, report: str) -> None:
        on_evidence = self.peers[receiver].on_evidence
        assert on_evidence is not None
        on_evidence(self.node, order, report)


class Group(IsolatedAsyncioTestCase):
    """30 nodes report through one collector."""

    def setUp(self) -> None:
        for name in ("REPORT_INTERVAL", "REPORT_INTERVAL_FULL"):
            patch = mock.patch.object(rollouts, name, 0.02)
            patch.start()
            self.addCleanup(patch.stop)
        self.table = Table()
        self.exchanges: dict[str, Exchange] = {}
        self.tallies = {}
        self.reporters = []
        self.states: list[cluster_state.ClusterState] = []
        for name in NODES:
            self.add_node(name)

    def add_node(self, name: str) -> None:
        state = cluster_state.ClusterState(
            clocks.SystemClock(),
            harness.journal(harness.Lines()),
            metrics_.Metrics(),
        )
        self.states.append(state)
        state.nodes = frozenset(NODES)
        state.rollouts.apply_order(ORDER)
        self.exchanges[name] = Exchange(name, self.exchanges)
        self.tallies[name] = version_tallies.VersionTallies(lambda service: [])
        self.reporters.append(
            rollouts.EvidenceReporter(
                name,
                state,
                self.tallies[name],
                lambda service: 1.0,
                self.table,  # type: ignore[arg-type]
                self.exchanges[name],
                harness.journal(harness.Lines()),
            )
        )

    async def run_for(self, seconds: float) -> None:
        tasks = [asyncio.create_task(r.run()) for r in self.reporters]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def successes(self) -> dict[str, int]:
        """Return the good answers of each node in the rows."""
        counts: dict[str, int] = {}
        for text in self.table.rows.values():
            for name, report in json.loads(text)["nodes"].items():
                counts[name] = report["candidate"]["successes"]
        return counts

    async def test_one_row_holds_the_evidence_of_all(self) -> None:
        for name in NODES:
            self.tallies[name].record("s", "v2", True)
        await self.run_for(0.3)
        self.assertEqual([f"tally/s/1.7/{NODES[0]}"], list(self.table.rows))
        self.assertEqual(dict.fromkeys(NODES, 1), self.successes())

    async def test_other_collector_continues(self) -> None:
        for name in NODES:
            self.tallies[name].record("s", "v2", True)
        await self.run_for(0.2)
        for name in NODES:
            self.exchanges[name].chosen = NODES[1]
            self.tallies[name].record("s", "v2", True)
        await self.run_for(0.2)
        self.assertEqual(
            {f"tally/s/1.7/{name}" for name in NODES[:2]}, set(self.table.rows)
        )
        row = json.loads(self.table.rows[f"tally/s/1.7/{NODES[1]}"])
        self.assertEqual(set(NODES), set(row["nodes"]))

    async def test_evidence_that_a_restored_store_lost_is_written_again(
        self,
    ) -> None:
        self.tallies[NODES[0]].record("s", "v2", True)
        await self.run_for(0.2)
        self.table.rows.clear()
        restored: ports.Batch[ports.SharedRow] = ports.Batch(
            (), False, types.Version(2, 1), 0.0, restored=True
        )
        self.states[0].apply_shared(restored)
        self.states[0].nodes = frozenset(NODES)
        await self.run_for(0.2)
        self.assertEqual([f"tally/s/1.7/{NODES[0]}"], list(self.table.rows))

    async def test_evidence_of_an_unknown_order_is_not_kept(self) -> None:
        on_evidence = self.exchanges[NODES[0]].on_evidence
        assert on_evidence is not None
        on_evidence("n05", "other/1", "{}")
        await self.run_for(0.1)
        self.assertEqual([f"tally/s/1.7/{NODES[0]}"], list(self.table.rows))
