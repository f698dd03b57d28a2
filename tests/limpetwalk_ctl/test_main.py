"""Tests of limpetctl's command line: help, usage, exit codes."""

import copy
import io
import pathlib
import subprocess
import sys

import yaml

from limpetwalk_ctl import exits
from limpetwalk_ctl import main

from . import ctl_runner

COMMANDS = (
    "apply", "check", "diff", "explain", "history", "ledger", "outcome",
    "preflight", "rollout", "server", "show", "status", "version", "zone",
)  # fmt: skip
REFERENCE = ctl_runner.ROOT / "docs" / "reference" / "limpetctl.md"


class HelpTest(ctl_runner.CtlTestCase):
    def test_overview_lists_all_commands(self) -> None:
        code, out, _ = self.ctl.run("--help")
        self.assertEqual(code, 0)
        names = [line.split()[0] for line in out.splitlines()[2:-2]]
        self.assertEqual(names, list(COMMANDS))

    def test_each_command_shows_examples(self) -> None:
        for name in COMMANDS:
            with self.subTest(name):
                code, out, _ = self.ctl.run(name, "--help")
                self.assertEqual(code, 0)
                self.assertIn("examples:\n  limpetctl ", out)
                self.assertIn("--settings", out)

    def test_reference_lists_commands_and_exit_codes(self) -> None:
        text = REFERENCE.read_text()
        for name in COMMANDS:
            self.assertIn(f"`limpetctl {name}", text)
        for code in exits.ExitCode:
            self.assertIn(f"| {code.value} | `{code.name.lower()}` |", text)


class UsageTest(ctl_runner.CtlTestCase):
    def test_usage_errors(self) -> None:
        cases = [
            [],
            ["nosuch"],
            ["check"],
            ["check", "a", "b"],
            ["check", "--nosuch", "a"],
            ["history", "--limit", "0"],
            ["history", "--limit", "x"],
            ["zone", "sideways", "z"],
            ["zone", "out"],
            ["version", "default", "m", "v", "--default", "w"],
            ["rollout", "pause", "r", "--share", "0.5"],
            ["rollout", "start", "r", "--share", "1.5"],
        ]
        for args in cases:
            with self.subTest(args):
                code, out, err = self.ctl.run(*args)
                self.assertEqual((code, out), (exits.ExitCode.USAGE, ""))
                self.assertRegex(err, r"^limpetctl: .*\n$")

    def test_missing_settings(self) -> None:
        code, out, _ = self.ctl.run("status", "--settings", "")
        self.assertEqual((code, out), (exits.ExitCode.USAGE, ""))

    def test_settings_with_findings(self) -> None:
        self.ctl.settings.write_text("platform: {}\nbogus: 1\n")
        code, out, _ = self.ctl.run("status")
        self.assertEqual(code, exits.ExitCode.FINDINGS)
        self.assertIn("ctl.yaml:2: bogus: got unknown key 'bogus'", out)
        self.assertIn("ctl.yaml:1: platform.table: got nothing", out)

    def test_settings_with_bad_urls(self) -> None:
        for url in ("foo", "http://", "http://h:99999", "", "http://[:1"):
            with self.subTest(url):
                cfg = copy.deepcopy(ctl_runner.SETTINGS)
                cfg["platform"]["table"]["endpoint"] = url
                self.ctl.settings.write_text(yaml.safe_dump(cfg))
                code, out, _ = self.ctl.run("status")
                self.assertEqual(code, exits.ExitCode.FINDINGS)
                self.assertIn("platform.table.endpoint: got", out)

    def test_settings_with_an_unknown_client(self) -> None:
        cfg = copy.deepcopy(ctl_runner.SETTINGS)
        cfg["platform"]["table"]["client"] = "nosuch"
        self.ctl.settings.write_text(yaml.safe_dump(cfg))
        out, err = io.StringIO(), io.StringIO()
        args = ["--settings", str(self.ctl.settings), "status"]
        code = main.main(args, out, err)
        self.assertEqual(code, exits.ExitCode.FINDINGS)
        self.assertIn("unknown table store 'nosuch'", err.getvalue())

    def test_flags_stand_before_or_after_the_command(self) -> None:
        path = str(pathlib.Path(ctl_runner.EXAMPLE))
        for args in (
            ["--json", "check", path],
            ["check", "--json", path],
            ["check", path, "--json"],
        ):
            with self.subTest(args):
                code, out, _ = self.ctl.run(*args)
                self.assertEqual((code, out[0]), (0, "{"))


class ProcessTest(ctl_runner.CtlTestCase):
    def spawn(self, *args: str) -> "subprocess.Popen[bytes]":
        """Start limpetctl as a separate process."""
        process = subprocess.Popen(
            [sys.executable, "-m", "limpetwalk_ctl", *args],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.addCleanup(process.kill)
        return process

    def test_exit_code_of_the_process(self) -> None:
        process = self.spawn("check", str(self.folder / "nosuch"))
        out, err = process.communicate(timeout=30)
        self.assertEqual((process.returncode, err), (1, b""))
        self.assertIn(b"nosuch: got No such file", out)

    def test_reader_that_closes_the_pipe(self) -> None:
        process = self.spawn("show", ctl_runner.EXAMPLE)
        assert process.stdout is not None and process.stderr is not None
        process.stdout.close()
        self.assertEqual(process.wait(timeout=30), 0)
        self.assertEqual(process.stderr.read(), b"")
        process.stderr.close()


class StoreTest(ctl_runner.CtlTestCase):
    def test_store_down(self) -> None:
        self.ctl.table.faults.unavailable = True
        for args in (
            ["status"],
            ["history"],
            ["diff", ctl_runner.EXAMPLE],
            ["apply", ctl_runner.EXAMPLE],
            ["zone", "out", "hu-central-a"],
            ["ledger", "head-office"],
            ["outcome", "head-office", "k"],
        ):
            with self.subTest(args):
                code, _, err = self.ctl.run(*args)
                self.assertEqual(code, exits.ExitCode.STORE_UNAVAILABLE)
                self.assertIn("does not answer", err)

    def test_objects_down(self) -> None:
        self.ctl.objects.faults.unavailable = True
        code, _, _ = self.ctl.run("apply", ctl_runner.EXAMPLE)
        self.assertEqual(code, exits.ExitCode.STORE_UNAVAILABLE)
        self.ctl.objects.faults.unavailable = False
        self.assertEqual(self.ctl.json("history")[1]["generations"], [])

    def test_lost_answer_is_resolved(self) -> None:
        self.ctl.table.faults.lose_answers = 1
        code, answer = self.ctl.json("apply", ctl_runner.EXAMPLE)
        self.assertEqual((code, answer["generation"]), (0, 1))

    def test_unresolved_answer_is_reported_as_unknown(self) -> None:
        async def fail_after(operation: str) -> None:
            if operation == "transact":
                self.ctl.table.faults.unavailable = True

        self.ctl.table.faults.after = fail_after
        self.ctl.table.faults.lose_answers = 9
        code, out, err = self.ctl.run("apply", ctl_runner.EXAMPLE)
        self.assertEqual(code, exits.ExitCode.OUTCOME_UNKNOWN)
        self.assertNotIn("accepted", out)
        self.assertIn("may have been accepted", err)
