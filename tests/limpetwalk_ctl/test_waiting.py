"""Tests of changes that wait until the nodes have them."""

import hashlib

import yaml

from limpetwalk_bench.site import ports
from limpetwalk_ctl import exits

from . import changes
from . import shell


class WaitTest(changes.ChangesCase):
    def setUp(self) -> None:
        super().setUp()
        self.shell.nodes = [
            shell.FakeNode("n1", "a"),
            shell.FakeNode("n2", "b"),
            shell.FakeNode("n3", "c"),
        ]

    def test_all_nodes_are_given_the_document(self) -> None:
        code, answer = self.shell.json("zone", "out", "hu-central-a", "--wait")
        self.assertEqual((code, answer["seen"]), (0, 3))
        for node in self.shell.nodes:
            digest = hashlib.sha256(node.data).hexdigest()
            self.assertEqual(digest, answer["digest"])
            self.assertEqual(node.generation, 2)

    def test_a_node_that_is_behind_is_told(self) -> None:
        self.shell.nodes[1].takes = False
        code, out, _ = self.shell.run("zone", "out", "hu-central-a", "--wait")
        self.assertEqual(code, exits.ExitCode.NOT_SEEN_EVERYWHERE)
        self.assertIn("accepted as generation 2, seen by 2 of 3 nodes", out)
        code, _, _ = self.shell.run("status")
        self.assertEqual(code, exits.ExitCode.NOT_SEEN_EVERYWHERE)

    def test_platform_that_fails_right_after_the_write(self) -> None:
        async def fail_after(operation: str) -> None:
            if operation == "transact":
                self.shell.table.faults.unavailable = True
                self.shell.objects.faults.unavailable = True
                self.shell.instances.unavailable = True

        self.shell.table.faults.after = fail_after
        code, out, _ = self.shell.run("zone", "out", "hu-central-a", "--wait")
        self.assertEqual(code, 0)
        self.assertIn("accepted as generation 2, seen by 3 of 3 nodes", out)
        code, out, err = self.shell.run("status")
        self.assertEqual(code, exits.ExitCode.STORE_UNAVAILABLE)
        self.assertIn("the store does not answer", err)

    def test_status_of_named_nodes_without_the_platform(self) -> None:
        node = self.shell.nodes[0]
        node.generation = 7
        self.shell.table.faults.unavailable = True
        self.shell.instances.unavailable = True
        node.port = ports.free_ports(1)[0]
        code, answer = self.shell.json(
            "status", "--nodes", f"127.0.0.1:{node.port}"
        )
        self.assertEqual(code, exits.ExitCode.STORE_UNAVAILABLE)
        (told,) = answer["nodes"]
        self.assertEqual((told["name"], told["generation"]), ("n1", 7))

    def test_a_node_that_never_answers_holds_up_nobody(self) -> None:
        self.shell.nodes[0].silent = True
        cfg = {**shell.SETTINGS, "node_timeout": 1}
        self.shell.settings.write_text(yaml.safe_dump(cfg))
        code, answer = self.shell.json("zone", "out", "hu-central-a", "--wait")
        self.assertEqual(code, exits.ExitCode.NOT_SEEN_EVERYWHERE)
        self.assertEqual(answer["seen"], 2)
        silent = answer["nodes"][0]
        self.assertIsNone(silent["generation"])
        self.assertEqual(silent["error"], "TimeoutError")

    def test_nodes_that_are_not_known_are_not_counted_as_served(self) -> None:
        self.shell.instances.unavailable = True
        code, out, err = self.shell.run(
            "zone", "out", "hu-central-a", "--wait"
        )
        self.assertEqual(code, exits.ExitCode.NOT_SEEN_EVERYWHERE)
        self.assertIn("seen by 0 of 0 nodes", out)
        self.assertIn("the instance list does not answer", err)

    def test_nothing_is_handed_over_when_the_outcome_is_unknown(self) -> None:
        async def fail_after(operation: str) -> None:
            if operation == "transact":
                self.shell.table.faults.unavailable = True

        self.shell.table.faults.after = fail_after
        self.shell.table.faults.lose_answers = 9
        code, _, _ = self.shell.run("zone", "out", "hu-central-a", "--wait")
        self.assertEqual(code, exits.ExitCode.OUTCOME_UNKNOWN)
        self.assertEqual([node.data for node in self.shell.nodes], [b""] * 3)

    def test_handed_over_without_waiting(self) -> None:
        code, out, _ = self.shell.run("zone", "out", "hu-central-a")
        self.assertEqual(code, 0)
        self.assertEqual(
            [node.generation for node in self.shell.nodes], [2] * 3
        )
        self.assertIn("accepted as generation 2\n", out)
