"""Tests of handing a change over to nodes and waiting for them."""

import hashlib

import yaml

from limpetwalk_bench.site import ports
from limpetwalk_ctl import exits

from . import change_test_case
from . import ctl_runner


class WaitTest(change_test_case.ChangeTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ctl.nodes = [
            ctl_runner.FakeNode("n1", "a"),
            ctl_runner.FakeNode("n2", "b"),
            ctl_runner.FakeNode("n3", "c"),
        ]

    def test_all_nodes_receive_the_document(self) -> None:
        code, answer = self.ctl.json("zone", "out", "hu-central-a", "--wait")
        self.assertEqual((code, answer["seen"]), (0, 3))
        for node in self.ctl.nodes:
            digest = hashlib.sha256(node.data).hexdigest()
            self.assertEqual(digest, answer["digest"])
            self.assertEqual(node.generation, 2)

    def test_node_that_is_behind_is_reported(self) -> None:
        self.ctl.nodes[1].accepts = False
        code, out, _ = self.ctl.run("zone", "out", "hu-central-a", "--wait")
        self.assertEqual(code, exits.ExitCode.NOT_SEEN_EVERYWHERE)
        self.assertIn("accepted as generation 2, seen by 2 of 3 nodes", out)
        code, _, _ = self.ctl.run("status")
        self.assertEqual(code, exits.ExitCode.NOT_SEEN_EVERYWHERE)

    def test_platform_that_fails_right_after_the_write(self) -> None:
        async def fail_after(operation: str) -> None:
            if operation == "transact":
                self.ctl.table.faults.unavailable = True
                self.ctl.objects.faults.unavailable = True
                self.ctl.instances.unavailable = True

        self.ctl.table.faults.after = fail_after
        code, out, _ = self.ctl.run("zone", "out", "hu-central-a", "--wait")
        self.assertEqual(code, 0)
        self.assertIn("accepted as generation 2, seen by 3 of 3 nodes", out)
        code, out, err = self.ctl.run("status")
        self.assertEqual(code, exits.ExitCode.STORE_UNAVAILABLE)
        self.assertIn("the store does not answer", err)

    def test_status_of_named_nodes_without_the_platform(self) -> None:
        node = self.ctl.nodes[0]
        node.generation = 7
        self.ctl.table.faults.unavailable = True
        self.ctl.instances.unavailable = True
        node.port = ports.free_ports(1)[0]
        code, answer = self.ctl.json(
            "status", "--nodes", f"127.0.0.1:{node.port}"
        )
        self.assertEqual(code, exits.ExitCode.STORE_UNAVAILABLE)
        (report,) = answer["nodes"]
        self.assertEqual((report["name"], report["generation"]), ("n1", 7))

    def test_node_that_never_answers_does_not_block_the_others(self) -> None:
        self.ctl.nodes[0].silent = True
        cfg = {**ctl_runner.SETTINGS, "node_timeout": 1}
        self.ctl.settings.write_text(yaml.safe_dump(cfg))
        code, answer = self.ctl.json("zone", "out", "hu-central-a", "--wait")
        self.assertEqual(code, exits.ExitCode.NOT_SEEN_EVERYWHERE)
        self.assertEqual(answer["seen"], 2)
        silent = answer["nodes"][0]
        self.assertIsNone(silent["generation"])
        self.assertEqual(silent["error"], "TimeoutError")

    def test_unknown_nodes_do_not_count_as_serving(self) -> None:
        self.ctl.instances.unavailable = True
        code, out, err = self.ctl.run("zone", "out", "hu-central-a", "--wait")
        self.assertEqual(code, exits.ExitCode.NOT_SEEN_EVERYWHERE)
        self.assertIn("seen by 0 of 0 nodes", out)
        self.assertIn("the instance list does not answer", err)

    def test_nothing_is_handed_over_when_the_outcome_is_unknown(self) -> None:
        async def fail_after(operation: str) -> None:
            if operation == "transact":
                self.ctl.table.faults.unavailable = True

        self.ctl.table.faults.after = fail_after
        self.ctl.table.faults.lose_answers = 9
        code, _, _ = self.ctl.run("zone", "out", "hu-central-a", "--wait")
        self.assertEqual(code, exits.ExitCode.OUTCOME_UNKNOWN)
        self.assertEqual([node.data for node in self.ctl.nodes], [b""] * 3)

    def test_handed_over_without_waiting(self) -> None:
        code, out, _ = self.ctl.run("zone", "out", "hu-central-a")
        self.assertEqual(code, 0)
        self.assertEqual([node.generation for node in self.ctl.nodes], [2] * 3)
        self.assertIn("accepted as generation 2\n", out)
