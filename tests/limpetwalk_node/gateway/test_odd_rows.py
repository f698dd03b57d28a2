"""Tests of odd rows among those that the nodes share."""

import json
from typing import Any
import unittest
from unittest import mock

from limpetwalk import clock as clocks
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import fleet
from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import ports
from limpetwalk.gateway import types
from limpetwalk_bench.hub import site
from limpetwalk_node.gateway import cluster_state
from limpetwalk_platform import rows

from . import harness

NESTED = "[" * 1100 + "]" * 1100
STORE_TIME = 100.0
STAGE = {
    "order_id": "1.5",
    "target": "v2",
    "phase": "canary",
    "share": 0.1,
    "started": 1.0,
    "since": 1.0,
}


class OddRows(unittest.TestCase):
    """Each odd row is logged, and the rows beside it are applied."""

    def setUp(self) -> None:
        self.lines = harness.Lines()
        self.state = cluster_state.ClusterState(
            clocks.SystemClock(),
            harness.journal(self.lines),
            metrics_.Metrics(),
        )
        self.version = 0

    def apply(self, **contents: str) -> None:
        """Apply shared rows, and a sound one of a node after them."""
        contents["node/sound"] = json.dumps(
            {"host": "127.0.0.2", "port": 7340, "zone": "z"}
        )
        self.version += 1
        version = types.Version(1, self.version)
        changes = tuple(
            ports.Change(key, version, ports.SharedRow(key, text))
            for key, text in contents.items()
        )
        self.state.peers = {}
        self.lines.lines.clear()
        self.state.apply_shared(
            ports.Batch(changes, False, version, STORE_TIME)
        )

    def assert_unreadable(self, key: str, text: str) -> None:
        self.apply(**{key: text})
        self.assertEqual(1, len(self.lines.events("row.unreadable")))
        self.assertTrue(self.lines.events("row.unreadable")[0]["findings"])
        self.assertEqual(
            peer_groups.Peer(("127.0.0.2", 7340), "z"),
            self.state.peers["sound"],
        )

    def test_every_kind_of_row_may_be_nested_deeply(self) -> None:
        for key in (
            "node/odd",
            "crashed/s-1.5/node-2",
            "answered/aa",
            "rollout/s",
            "config/in_force",
        ):
            with self.subTest(key=key):
                self.assert_unreadable(key, NESTED)
                self.assert_unreadable(key, f'{{"unknown": {NESTED}}}')
                self.assert_unreadable(key, "[]")

    def test_rows_of_nodes(self) -> None:
        for change in (
            {"port": 99999},
            {"port": -1},
            {"port": "7340"},
            {"port": 10**400},
            {"host": "no address"},
            {"host": 5},
            {"zone": 5},
            {"zone": "\ud800"},
        ):
            row = {"host": "127.0.0.3", "port": 7340, "zone": "z", **change}
            with self.subTest(change=str(change)[:40]):
                self.assert_unreadable("node/odd", json.dumps(row))
                # The node counts, and its address takes no datagram.
                self.assertIn("odd", self.state.nodes)
                self.assertEqual(
                    cluster_state.NO_PEER, self.state.peers["odd"]
                )

    def test_node_without_a_port_takes_no_datagrams(self) -> None:
        row = {"host": "127.0.0.3", "port": 0, "zone": "z"}
        self.apply(**{"node/n": json.dumps(row)})
        self.assertEqual([], self.lines.events("row.unreadable"))
        self.assertEqual(
            cluster_state.NO_PEER.address, self.state.peers["n"].address
        )

    def test_numbers_of_other_rows(self) -> None:
        huge = "9" * 400
        for key, text in (
            ("crashed/s-1.5/n", f'{{"at": {huge}, "suspects": []}}'),
            ("crashed/s-1.5/n", '{"at": NaN, "suspects": []}'),
            ("crashed/s-1.5/n", '{"at": "inf", "suspects": []}'),
            ("crashed/s-1.5/n", '{"at": 1, "suspects": [[]]}'),
            ("answered/aa", f'{{"at": {huge}}}'),
            ("answered/aa", '{"at": 1e999}'),
            ("config/in_force", f'{{"version": {huge}, "until": 101}}'),
            ("config/in_force", '{"version": 9, "until": 1e300}'),
            ("config/in_force", '{"version": 9, "until": "inf"}'),
        ):
            with self.subTest(text=text[:60]):
                self.assert_unreadable(key, text)
        self.assertFalse(self.state.needs_config(8))

    def test_stages(self) -> None:
        for change in (
            {"share": "1"},
            {"share": 2},
            {"share": None},
            {"since": "now"},
            {"started": 10**400},
            {"failures": "many"},
            {"successes": -1},
            {"base_requests": 10**400},
            {"target": 5},
            {"phase": "none"},
            {"order_id": "x"},
            {"order_id": "9" * 5000},
        ):
            with self.subTest(change=str(change)[:40]):
                self.assert_unreadable(
                    "rollout/s", json.dumps({**STAGE, **change})
                )
        self.apply(**{"rollout/s": json.dumps(STAGE)})
        self.assertEqual("v2", self.state.rollouts.stages["s"].target)

    def test_leader_can_replace_an_odd_stage(self) -> None:
        self.assert_unreadable("rollout/s", NESTED)
        self.assertEqual(
            types.Version(1, self.version),
            self.state.rollouts.stage_versions["s"],
        )


class FailingRow(unittest.TestCase):
    """An entry whose application fails costs no other entry."""

    def setUp(self) -> None:
        self.lines = harness.Lines()
        self.state = cluster_state.ClusterState(
            clocks.SystemClock(),
            harness.journal(self.lines),
            metrics_.Metrics(),
        )

    def batch(self, **entries: Any) -> ports.Batch[Any]:
        version = types.Version(1, 1)
        changes = tuple(
            ports.Change(key, version, entry) for key, entry in entries.items()
        )
        return ports.Batch(changes, True, version, 0.0)

    def test_servers(self) -> None:
        put = fleet.Fleet.put

        def fail_once(*args: Any) -> Any:
            if args[1].id == "odd":
                raise OverflowError("odd")
            return put(*args)

        entries = {
            key: rows.server_entry(
                key, json.dumps(site.server_row("s", 80)).encode()
            )
            for key in ("odd", "sound")
        }
        with mock.patch.object(fleet.Fleet, "put", fail_once):
            self.state.apply_servers(self.batch(**entries))
        self.assertEqual(["sound"], [m.id for m in self.state.fleet])
        self.assertTrue(self.state.fleet.fully_read)
        (line,) = self.lines.events("error.unexpected")
        self.assertIn("odd", line["place"])

    def test_operator(self) -> None:
        order = types.RolloutOrder("s", "v2", 12.0, "1.1", types.Version(1, 1))
        entries = {
            "rollout/s": order,
            "evacuate/z": ports.ZoneEvacuated("z"),
        }
        with mock.patch.object(
            self.state.rollouts, "apply_order", side_effect=OverflowError
        ):
            self.state.apply_operator(self.batch(**entries))
        self.assertEqual({"z"}, self.state.fleet.evacuated)
        self.assertEqual(1, len(self.lines.events("error.unexpected")))

    def test_shared(self) -> None:
        entries = {
            key: ports.SharedRow(key, json.dumps({"at": 1.0, "suspects": []}))
            for key in ("crashed/s.1/n", "answered/aa")
        }
        with mock.patch.object(
            self.state.crash_suspects, "record_crash", side_effect=TypeError
        ):
            self.state.apply_shared(self.batch(**entries))
        self.assertIn("aa", self.state.published_answers)
        self.assertEqual(1, len(self.lines.events("error.unexpected")))
