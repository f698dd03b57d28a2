"""Tests that this build reads what nodes of earlier landings wrote.

``python -m limpetwalk_bench.formats`` records the files.
"""

import asyncio
import base64
import json
import pathlib
from typing import Any
import unittest

from limpetwalk import clock as clocks
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import pooled_evidence
from limpetwalk.gateway import ports
from limpetwalk.gateway import rollout
from limpetwalk.gateway import types
from limpetwalk_node.gateway import cluster_state
from limpetwalk_node.gateway import rollouts

from . import harness
from . import test_load_broadcast

FOLDER = pathlib.Path(__file__).parent / "recorded"
SHARED, WORK = "limpetwalk", "limpetwalk-work"
# Kinds of rows that each recording must hold, by table.
KINDS = {
    SHARED: {"answered", "config", "crashed", "node", "rollout"},
    WORK: {"lease", "tally"},
}
NODES = {"node-1", "node-2"}
SERVERS = ("e-1", "e-2", "e-3", "p-1", "p-2", "p-3", "p-4")


def recordings() -> dict[str, dict[str, Any]]:
    """Return the recordings by the commit of their build."""
    return {
        path.stem: json.loads(path.read_text("utf-8"))
        for path in sorted(FOLDER.glob("*.json"))
    }


class RecordedRows(unittest.TestCase):
    """Rows of the store."""

    def test_last_three_landings_are_recorded_whole(self) -> None:
        self.assertGreaterEqual(len(recordings()), 3)
        for commit, recording in recordings().items():
            for table, kinds in KINDS.items():
                found = {key.split("/")[0] for key in recording["rows"][table]}
                self.assertEqual(kinds, found, (commit, table))
            self.assertGreaterEqual(len(recording["datagrams"]), 3, commit)

    def test_rows_that_nodes_share(self) -> None:
        for commit, recording in recordings().items():
            with self.subTest(commit):
                self._check_shared(recording["rows"][SHARED])

    def _check_shared(self, rows: dict[str, str]) -> None:
        lines = harness.Lines()
        state = cluster_state.ClusterState(
            clocks.SystemClock(), harness.journal(lines), metrics_.Metrics()
        )
        version = types.Version(1, 20)
        changes = tuple(
            ports.Change(key, version, ports.SharedRow(key, text))
            for key, text in rows.items()
        )
        now = json.loads(rows["config/in_force"])["until"] - 1.0
        state.apply_shared(ports.Batch(changes, True, version, now))
        self.assertEqual([], lines.events("row.unreadable"))
        self.assertEqual([], lines.events("error.unexpected"))
        self.assertEqual(NODES, set(state.nodes))
        for peer in state.peers.values():
            self.assertNotEqual(cluster_state.NO_PEER, peer)
            self.assertTrue(peer.secret)
        reports = lines.events("crash.reported")
        self.assertEqual({"e-1.1", "e-2.1"}, {r["server"] for r in reports})
        self.assertTrue(all(report["suspects"] for report in reports))
        self.assertLessEqual({"aa", "bb"}, set(state.published_answers))
        self.assertEqual(
            rollout.Phase.COMPLETE, state.rollouts.stages["plain"].phase
        )
        self.assertTrue(state.needs_config(6))

    def test_lease_and_evidence_of_roll_outs(self) -> None:
        for commit, recording in recordings().items():
            work = recording["rows"][WORK]
            with self.subTest(commit):
                lease = rollouts._parse_mapping(work[rollouts.LEASE_KEY])
                self.assertIn(lease["holder"], NODES)
                self.assertAlmostEqual(
                    1.5,
                    rollouts._seconds_left(
                        lease["until"], lease["until"] - 1.5
                    ),
                )
                pool = pooled_evidence.Pool()
                for key, text in work.items():
                    if key.startswith(rollouts.TALLY_PREFIX):
                        pool.add_row(text)
                total = pool.total()
                self.assertEqual(NODES, pool.nodes_in_phase("full"))
                self.assertGreater(total.base.successes, 10)
                self.assertGreater(total.candidate.successes, 10)
                self.assertGreater(total.rate, 0)


class RecordedDatagrams(unittest.IsolatedAsyncioTestCase):
    """Datagrams between nodes."""

    async def test_loads_and_statements_are_read(self) -> None:
        for commit, recording in recordings().items():
            read = set()
            for text in recording["datagrams"]:
                read |= await self._read(base64.b64decode(text))
            with self.subTest(commit):
                self.assertEqual({"loads", "limits", "brittle"}, read)

    async def _read(self, data: bytes) -> set[str]:
        """Return what a node that gets a datagram knows after it."""
        address = ("127.0.0.1", test_load_broadcast.free_port())
        peers = {"node-9": peer_groups.Peer(address)}
        node = test_load_broadcast.Node("node-9", peers)
        running = asyncio.create_task(node.broadcast.run(address))
        # Lets the task load the schema.
        await asyncio.sleep(0.01)
        node.broadcast.datagram_received(data, ("127.0.0.1", 1))
        running.cancel()
        self.assertEqual([], node.lines.events("error.unexpected"))
        known = {
            "loads": any(
                load.active > 0
                for load in node.loads.total_loads(SERVERS).values()
            ),
            "limits": node.limits.value("p-1") == 50.0,
            "brittle": node.brittle.value("p-1") == 5.0,
        }
        return {name for name, is_known in known.items() if is_known}
