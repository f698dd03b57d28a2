"""Tests of the check of a folder against the configuration in force."""

from limpetwalk_ctl import exits

from . import change_test_case
from . import ctl_runner


class PreflightTest(change_test_case.ChangeTestCase):
    def write(self, text: str) -> None:
        """Write a file that is merged over the folder's others."""
        (self.config_folder / "99.yaml").write_text(text)

    def test_accepted_folder_has_nothing_to_tell(self) -> None:
        code, answer = self.ctl.json("preflight", str(self.config_folder))
        self.assertEqual(code, exits.ExitCode.OK)
        self.assertEqual(
            answer,
            {"ok": True, "findings": [], "generation": 1, "changes": []},
        )

    def test_first_folder_is_compared_with_nothing(self) -> None:
        runner = ctl_runner.CtlRunner(str(self.folder))
        code, answer = runner.json("preflight", ctl_runner.EXAMPLE)
        self.assertEqual((code, answer["generation"]), (0, 0))
        self.assertTrue(answer["changes"])

    def test_change_without_a_finding_ends_with_zero(self) -> None:
        self.write("tuning: {queue_length: 7}\n")
        code, out, _ = self.ctl.run("preflight", str(self.config_folder))
        self.assertEqual(code, exits.ExitCode.OK)
        self.assertEqual(
            out,
            "~ tuning.queue_length: 256 -> 7\n"
            f"{self.config_folder}: 0 errors, 0 warnings, 1 change to "
            "generation 1\n",
        )

    def test_warnings_come_before_changes_with_their_own_code(self) -> None:
        self.write("tuning: {rating_timeout: 120}\n")
        code, out, _ = self.ctl.run("preflight", str(self.config_folder))
        self.assertEqual(code, exits.ExitCode.WARNINGS)
        finding, change, _ = out.splitlines()
        self.assertIn("99.yaml:1: tuning.rating_timeout: got 120 s", finding)
        self.assertEqual(change, "~ tuning.rating_timeout: 1.0 -> 120.0")

    def test_each_finding_is_told_once_with_its_place(self) -> None:
        self.write("tuning: {rating_timeout: 120}\n")
        _, answer = self.ctl.json("preflight", str(self.config_folder))
        (finding,) = answer["findings"]
        self.assertTrue(answer["ok"])
        self.assertEqual(
            (finding["id"], finding["level"], finding["line"]),
            ("timeout-without-effect", "warning", 1),
        )

    def test_errors_of_the_folder(self) -> None:
        self.write("tuning: {queue_length: -7}\n")
        code, answer = self.ctl.json("preflight", str(self.config_folder))
        self.assertEqual(
            (code, answer["ok"]), (exits.ExitCode.FINDINGS, False)
        )

    def test_errors_that_only_the_version_in_force_shows(self) -> None:
        self.ctl.run("version", "withdraw", "clerk", "2026-05")
        (self.config_folder / "70-rollouts.yaml").unlink()
        self.write(
            'models: {clerk: {default_version: "2026-05"}}\n'
            "tuning: {ledger_partitions: 8}\n"
        )
        folder = str(self.config_folder)
        self.assertEqual(self.ctl.run("check", folder)[0], 0)
        code, answer = self.ctl.json("preflight", folder)
        self.assertEqual(code, exits.ExitCode.FINDINGS)
        found = {
            item["id"]
            for item in answer["findings"]
            if item["level"] == "error"
        }
        self.assertEqual(found, {"withdrawn-routed", "ledger-shrinks"})
        self.assertTrue(answer["changes"])

    def test_nothing_is_applied(self) -> None:
        self.write("tuning: {queue_length: 7}\n")
        self.ctl.run("preflight", str(self.config_folder))
        self.assertEqual(self.generation(), 1)

    def test_operations_are_kept_unless_cleared(self) -> None:
        self.ctl.run("zone", "out", "hu-central-a")
        folder = str(self.config_folder)
        _, answer = self.ctl.json("preflight", folder)
        self.assertEqual(answer["changes"], [])
        _, answer = self.ctl.json("preflight", folder, "--clear-operations")
        self.assertEqual(
            [item["path"][0] for item in answer["changes"]], ["operations"]
        )
