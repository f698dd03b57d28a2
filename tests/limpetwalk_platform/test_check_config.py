"""Program that checks a configuration before it is written."""

import io
import json
import pathlib
import tempfile
from typing import Any
import unittest

from limpetwalk_bench.hub import site
from limpetwalk_platform import check_config


class CheckConfig(unittest.TestCase):
    """Findings, differences and exit codes."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.in_force = self.write("in_force.json", site.config_row())

    def write(self, name: str, value: Any) -> str:
        path = self.folder / name
        path.write_text(json.dumps(value))
        return str(path)

    def run_program(self, *args: str) -> tuple[int, str]:
        out, err = io.StringIO(), io.StringIO()
        code = check_config.main(args, out, err)
        return code, out.getvalue()

    def run_json(self, *args: str) -> tuple[int, Any]:
        code, out = self.run_program(*args, "--output=json")
        return code, json.loads(out)

    def test_configuration_in_order_has_nothing_to_tell(self) -> None:
        args = (self.in_force, "--in_force", self.in_force)
        self.assertEqual((0, ""), self.run_program(*args))
        self.assertEqual(
            (0, {"ok": True, "findings": [], "changes": []}),
            self.run_json(*args),
        )

    def test_warnings_come_before_changes_with_their_own_code(self) -> None:
        value = site.config_row()
        value["routes"][1]["timeout_ms"] = 900
        path = self.write("new.json", value)
        code, out = self.run_program(path, "--in_force", self.in_force)
        finding, change = out.splitlines()
        self.assertEqual(8, code)
        self.assertEqual(
            "routes.once.timeout: got 0.9 s, expected at least "
            "target_latency, 1 s (warning)",
            finding,
        )
        self.assertEqual("~ routes.once.timeout_ms: 3000 -> 900", change)

    def test_without_the_version_in_force_only_findings_are_told(self) -> None:
        value = site.config_row()
        value["routes"][1]["timeout_ms"] = 900
        code, answer = self.run_json(self.write("new.json", value))
        self.assertEqual((8, []), (code, answer["changes"]))

    def test_undeclared_service_is_an_error(self) -> None:
        value = site.config_row()
        value["routes"][1]["backend"] = "nosuch"
        code, answer = self.run_json(self.write("new.json", value))
        self.assertEqual((1, False), (code, answer["ok"]))
        self.assertEqual("undeclared", answer["findings"][0]["id"])

    def test_what_nodes_can_not_read_is_an_error(self) -> None:
        for text in ("", "{", "[]", '{"version": "x", "routes": []}'):
            with self.subTest(text):
                path = self.folder / "new.json"
                path.write_text(text)
                code, answer = self.run_json(
                    str(path), "--in_force", self.in_force
                )
                self.assertEqual(1, code)
                self.assertEqual(
                    {"unreadable"}, {item["id"] for item in answer["findings"]}
                )

    def test_entries_are_compared_by_name_not_by_place(self) -> None:
        value = site.config_row()
        value["routes"].reverse()
        path = self.write("new.json", value)
        self.assertEqual(
            (0, ""), self.run_program(path, "--in_force", self.in_force)
        )

    def test_keys_are_not_written_out(self) -> None:
        value = site.config_row()
        value["tenants"][0]["api_keys"] = ["a-new-key-of-a-workspace"]
        path = self.write("new.json", value)
        _, out = self.run_program(path, "--in_force", self.in_force)
        self.assertRegex(out, r"tenants\.workspace-1\.api_keys: .*<key \w+>")
        self.assertNotIn("a-new-key", out)

    def test_wrong_command_lines(self) -> None:
        for args in (
            [],
            [self.in_force, self.in_force],
            [self.in_force, "--output=xml"],
            [str(self.folder / "missing")],
            [self.in_force, "--nosuch"],
        ):
            with self.subTest(args):
                self.assertEqual((2, ""), self.run_program(*args))
