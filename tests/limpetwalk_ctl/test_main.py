"""Tests of limpetctl from its arguments to its answer."""

import io
import json
import pathlib
import tempfile
import unittest

import yaml

from limpetwalk.platform import factory
from limpetwalk.platform import memory
from limpetwalk_ctl import exits
from limpetwalk_ctl import main

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLE = str(ROOT / "examples" / "bercvar")
SETTINGS = {
    "platform": {
        "table": {"endpoint": "http://127.0.0.1:1"},
        "objects": {"endpoint": "http://127.0.0.1:1"},
        "instances": {"url": "http://127.0.0.1:1"},
    },
    "operator": "ilona",
}


class Shell:
    """Runs limpetctl against one in-process platform."""

    def __init__(self, folder: str) -> None:
        self.table = memory.MemoryTable()
        self.objects = memory.MemoryObjects()
        self.instances = memory.MemoryInstances()
        self.settings = pathlib.Path(folder, "ctl.yaml")
        self.settings.write_text(yaml.safe_dump(SETTINGS))

    async def open(self, _cfg: object) -> factory.Platform:
        """Return the platform that all runs share."""
        return factory.Platform(self.table, self.objects, self.instances, None)

    def run(self, *args: str) -> tuple[int, str, str]:
        """Return exit code, standard output and standard error."""
        out, err = io.StringIO(), io.StringIO()
        code = main.main(
            ["--settings", str(self.settings), *args], out, err, self.open
        )
        return int(code), out.getvalue(), err.getvalue()


class MainTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.shell = Shell(folder.name)

    def test_examples_have_no_errors(self) -> None:
        for site in ("bercvar", "navarrete"):
            path = str(ROOT / "examples" / site)
            code, out, err = self.shell.run("check", path)
            self.assertEqual((code, err), (0, ""), out)

    def test_apply_then_status_and_history(self) -> None:
        code, out, _ = self.shell.run("--json", "apply", EXAMPLE)
        self.assertEqual(code, exits.ExitCode.OK)
        self.assertEqual(json.loads(out)["generation"], 1)
        _, out, _ = self.shell.run("--json", "history")
        (first,) = json.loads(out)["generations"]
        self.assertEqual(first["author"], "ilona")
        _, out, _ = self.shell.run("--json", "status")
        self.assertEqual(json.loads(out)["head"]["generation"], 1)

    def test_diff_of_an_applied_folder_is_empty(self) -> None:
        self.shell.run("apply", EXAMPLE)
        code, out, _ = self.shell.run("--json", "diff", EXAMPLE)
        self.assertEqual((code, json.loads(out)["changes"]), (0, []))

    def test_help_of_each_command_shows_examples(self) -> None:
        code, out, _ = self.shell.run("--help")
        self.assertEqual(code, 0)
        for name in ("apply", "check", "diff", "history", "show", "status"):
            self.assertIn(name, out)
            code, text, _ = self.shell.run(name, "--help")
            self.assertEqual(code, 0)
            self.assertIn("examples:", text)

    def test_usage_errors(self) -> None:
        for args in (["check"], ["nosuch"], ["check", "--nosuch"], []):
            with self.subTest(args):
                code, out, err = self.shell.run(*args)
                self.assertEqual((code, out), (2, ""))
                self.assertIn("limpetctl: ", err)

    def test_store_down(self) -> None:
        self.shell.table.faults.unavailable = True
        code, _, err = self.shell.run("status")
        self.assertEqual(code, exits.ExitCode.STORE_UNAVAILABLE)
        self.assertIn("does not answer", err)
