"""Tests of the commands that change the configuration in force."""

import zlib

from limpetwalk.conf import document
from limpetwalk.conf import edits
from limpetwalk.conf import rollout_edits
from limpetwalk.conf import snapshot
from limpetwalk.conf import version_edits
from limpetwalk_ctl import exits

from . import change_test_case

OUT = snapshot.PlacementState.OUT


class ApplyTest(change_test_case.ChangeTestCase):
    def test_same_folder_is_no_change(self) -> None:
        code, answer = self.ctl.json("apply", str(self.config_folder))
        self.assertEqual(code, 0)
        self.assertEqual((answer["changed"], answer["generation"]), (False, 1))

    def test_old_folder_is_a_new_generation(self) -> None:
        extra = self.config_folder / "99.yaml"
        extra.write_text("tuning: {queue_length: 7}\n")
        self.ctl.run("apply", str(self.config_folder))
        extra.unlink()
        code, answer = self.ctl.json("apply", str(self.config_folder))
        self.assertEqual((code, answer["generation"]), (0, 3))
        _, history = self.ctl.json("history")
        digests = [item["digest"] for item in history["generations"]]
        self.assertEqual(digests[0], digests[2])
        self.assertNotEqual(digests[0], digests[1])

    def test_findings_apply_nothing(self) -> None:
        (self.config_folder / "99.yaml").write_text(
            "tuning: {queue_length: -7}\n"
        )
        for name in ("check", "diff", "apply"):
            with self.subTest(name):
                code, out, err = self.ctl.run(name, str(self.config_folder))
                self.assertEqual((code, err), (exits.ExitCode.FINDINGS, ""))
                self.assertIn("99.yaml:1: tuning.queue_length: got -7", out)
        self.assertEqual(self.generation(), 1)

    def test_findings_as_json(self) -> None:
        (self.config_folder / "99.yaml").write_text(
            "tuning: {queue_length: -7}\n"
        )
        code, answer = self.ctl.json("check", str(self.config_folder))
        self.assertEqual((code, answer["ok"]), (1, False))
        self.assertEqual(
            [item for item in answer["findings"] if item["level"] == "error"],
            [
                {
                    "id": "greater-than-equal",
                    "level": "error",
                    "file": str(self.config_folder / "99.yaml"),
                    "line": 1,
                    "path": ["tuning", "queue_length"],
                    "got": "-7",
                    "expected": "greater than or equal to 0",
                    "hint": "",
                }
            ],
        )

    def test_operations_are_kept_when_a_folder_is_applied(self) -> None:
        self.ctl.run("zone", "out", "hu-central-a")
        (self.config_folder / "99.yaml").write_text(
            "tuning: {queue_length: 7}\n"
        )
        self.ctl.run("apply", str(self.config_folder))
        self.assertIs(self.snapshot().zones["hu-central-a"].state, OUT)
        self.assertEqual(self.snapshot().tuning.queue_length, 7)
        self.ctl.run("apply", str(self.config_folder), "--clear-operations")
        self.assertIsNot(self.snapshot().zones["hu-central-a"].state, OUT)

    def test_folder_that_routes_to_a_withdrawn_version(self) -> None:
        self.ctl.run("version", "withdraw", "clerk", "2026-05")
        text = 'models: {clerk: {default_version: "2026-05"}}\n'
        (self.config_folder / "99.yaml").write_text(text)
        (self.config_folder / "70-rollouts.yaml").unlink()
        code, out, _ = self.ctl.run("apply", str(self.config_folder))
        self.assertEqual(code, exits.ExitCode.FINDINGS)
        self.assertIn("99.yaml:1: models.clerk.default_version: got with", out)

    def test_two_folders_at_once(self) -> None:
        rival = document.Document.from_bytes(
            zlib.decompress(next(iter(self.ctl.objects.blobs.values())))
        )
        zones = dict(rival.zones)
        del zones["hu-central-c"]
        servers = {
            name: server
            for name, server in rival.servers.items()
            if server.zone != "hu-central-c"
        }
        rival = rival.model_copy(update={"zones": zones, "servers": servers})
        (self.config_folder / "99.yaml").write_text(
            "tuning: {queue_length: 7}\n"
        )
        self.commit_rival_edit_first(edits.ReplaceFiles(rival, "elsewhere"))
        code, answer = self.ctl.json("apply", str(self.config_folder))
        self.assertEqual(code, exits.ExitCode.CONFLICT)
        conflict = answer["conflict"]
        self.assertEqual(
            (conflict["expected"], conflict["generation"]), (1, 2)
        )
        self.assertEqual(conflict["author"], "rival")
        paths = [item["path"] for item in conflict["changes"]]
        self.assertIn(["zones", "hu-central-c"], paths)
        self.assertEqual(self.generation(), 2)

    def test_folder_is_applied_over_another_operators_edit(self) -> None:
        (self.config_folder / "99.yaml").write_text(
            "tuning: {queue_length: 7}\n"
        )
        self.commit_rival_edit_first(
            edits.SetPlacement(edits.PlacementTarget.ZONE, "hu-central-b", OUT)
        )
        code, answer = self.ctl.json("apply", str(self.config_folder))
        self.assertEqual((code, answer["generation"]), (0, 3))
        self.assertIs(self.snapshot().zones["hu-central-b"].state, OUT)

    def test_show_lists_locations_and_masks_secrets(self) -> None:
        (self.config_folder / "99.yaml").write_text(
            "tuning: {queue_length: 7}\n"
        )
        code, out, _ = self.ctl.run("show", str(self.config_folder))
        self.assertEqual(code, 0)
        self.assertRegex(out, r"tuning.queue_length +7 +.*/99\.yaml:1\n")
        self.assertRegex(out, r"tuning.crash_limit +2 +default\n")
        self.assertRegex(out, r"registry-a.fencing +true +default\n")
        self.assertNotIn("example-secret", out)

    def test_expected_generation(self) -> None:
        (self.config_folder / "99.yaml").write_text(
            "tuning: {queue_length: 7}\n"
        )
        code, _, err = self.ctl.run(
            "apply", str(self.config_folder), "--expect=4"
        )
        self.assertEqual(code, exits.ExitCode.CONFLICT)
        self.assertIn("expected generation 4", err)
        code, _, _ = self.ctl.run(
            "apply", str(self.config_folder), "--expect=1"
        )
        self.assertEqual(code, 0)

    def test_ledger_partitions_can_not_be_reduced(self) -> None:
        text = "tuning: {ledger_partitions: 8}\n"
        (self.config_folder / "99.yaml").write_text(text)
        code, out, _ = self.ctl.run("apply", str(self.config_folder))
        self.assertEqual(code, exits.ExitCode.FINDINGS)
        self.assertIn("got 8, expected at least 16", out)


class EditCommandsTest(change_test_case.ChangeTestCase):
    def test_zone(self) -> None:
        self.assertEqual(self.ctl.run("zone", "out", "hu-central-a")[0], 0)
        self.assertIs(self.snapshot().zones["hu-central-a"].state, OUT)
        self.assertEqual(self.ctl.run("zone", "in", "hu-central-a")[0], 0)
        self.assertIsNot(self.snapshot().zones["hu-central-a"].state, OUT)

    def test_change_that_leaves_no_server_is_reported(self) -> None:
        for zone in "ab":
            _, answer = self.ctl.json("zone", "out", f"hu-central-{zone}")
            self.assertEqual(answer["warnings"], [])
        code, answer = self.ctl.json("server", "drain", "assistant-c1")
        self.assertEqual(code, 0)
        self.assertEqual(
            [item["path"] for item in answer["warnings"]],
            [
                ["models", "clerk", "default_version"],
                ["models", "counsel", "default_version"],
            ],
        )
        _, answer = self.ctl.json("zone", "out", "hu-central-c")
        self.assertIn(
            ["services", "registry"],
            [item["path"] for item in answer["warnings"]],
        )

    def test_server(self) -> None:
        self.ctl.run("server", "drain", "registry-a")
        self.assertIs(self.snapshot().servers["registry-a"].state, OUT)
        self.ctl.run("server", "restore", "registry-a")
        self.assertIsNot(self.snapshot().servers["registry-a"].state, OUT)

    def test_version(self) -> None:
        code, out, _ = self.ctl.run("version", "withdraw", "clerk", "2026-03")
        self.assertEqual(code, exits.ExitCode.FINDINGS)
        self.assertIn("got withdrawn version '2026-03'", out)
        code, _, _ = self.ctl.run(
            "version", "withdraw", "clerk", "2026-03", "--default", "2026-05"
        )
        self.assertEqual(code, 0)
        clerk = self.snapshot().models["clerk"]
        self.assertEqual(clerk.default_version, "2026-05")
        self.assertIs(
            clerk.versions["2026-03"], snapshot.VersionState.WITHDRAWN
        )

    def test_rollout(self) -> None:
        name = "clerk-2026-05"
        steps = [
            (["pause", name], 0, snapshot.RolloutState.PAUSED, 0.0),
            (["resume", name], 0, snapshot.RolloutState.RUNNING, 0.05),
            (
                ["start", name, "--share=0.2"],
                0,
                snapshot.RolloutState.RUNNING,
                0.2,
            ),
            (["halt", name], 0, snapshot.RolloutState.HALTED, 0.0),
            (["resume", name], 1, snapshot.RolloutState.HALTED, 0.0),
            (["start", name], 0, snapshot.RolloutState.RUNNING, 0.2),
            (["finish", name], 0, snapshot.RolloutState.DONE, 1.0),
            (["start", name], 1, snapshot.RolloutState.DONE, 1.0),
        ]
        for args, code, state, share in steps:
            with self.subTest(args):
                self.assertEqual(self.ctl.run("rollout", *args)[0], code)
                rollout = self.snapshot().rollouts[name]
                self.assertEqual(
                    (rollout.state, rollout.share), (state, share)
                )
        self.assertEqual(
            self.snapshot().models["clerk"].default_version, "2026-05"
        )

    def test_undeclared_names(self) -> None:
        for args in (
            ["zone", "out", "nosuch"],
            ["server", "drain", "nosuch"],
            ["version", "withdraw", "nosuch", "1"],
            ["version", "withdraw", "clerk", "nosuch"],
            ["version", "default", "clerk", "nosuch"],
            ["rollout", "halt", "nosuch"],
        ):
            with self.subTest(args):
                code, out, _ = self.ctl.run(*args)
                self.assertEqual(code, exits.ExitCode.FINDINGS)
                self.assertIn("got 'nosuch', expected one of", out)

    def test_status_lists_operations(self) -> None:
        self.ctl.run("zone", "out", "hu-central-a")
        _, answer = self.ctl.json("status")
        self.assertEqual(
            [item["path"] for item in answer["operations"]],
            [["operations", "zones", "hu-central-a"]],
        )

    def test_history_lists_author_and_summary(self) -> None:
        self.ctl.run("zone", "out", "hu-central-a", "--operator", "bence")
        _, answer = self.ctl.json("history", "--limit", "1")
        (newest,) = answer["generations"]
        self.assertEqual(newest["author"], "bence")
        self.assertEqual(newest["summary"], "zones hu-central-a out")


class LostRaceTest(change_test_case.ChangeTestCase):
    def test_edits_of_different_names_are_both_applied(self) -> None:
        self.commit_rival_edit_first(
            edits.SetPlacement(edits.PlacementTarget.ZONE, "hu-central-b", OUT)
        )
        code, answer = self.ctl.json("zone", "out", "hu-central-a")
        self.assertEqual((code, answer["generation"]), (0, 3))
        zones = self.snapshot().zones
        self.assertIs(zones["hu-central-a"].state, OUT)
        self.assertIs(zones["hu-central-b"].state, OUT)

    def test_same_edit_twice_is_one_change(self) -> None:
        self.commit_rival_edit_first(
            edits.SetPlacement(edits.PlacementTarget.ZONE, "hu-central-a", OUT)
        )
        code, answer = self.ctl.json("zone", "out", "hu-central-a")
        self.assertEqual((code, answer["changed"]), (0, False))
        self.assertEqual(answer["generation"], 2)

    def test_edits_of_one_value_conflict(self) -> None:
        state = snapshot.VersionState.WITHDRAWN
        self.commit_rival_edit_first(
            version_edits.SetVersion("clerk", "2026-05", state)
        )
        code, answer = self.ctl.json(
            "rollout", "start", "clerk-2026-05", "--share", "0.5"
        )
        self.assertEqual(code, exits.ExitCode.FINDINGS)
        self.assertIn("withdrawn version", answer["findings"][0]["got"])
        self.assertEqual(self.generation(), 2)

    def test_opposite_edits_of_one_rollout_conflict(self) -> None:
        self.commit_rival_edit_first(
            rollout_edits.ChangeRollout(
                "clerk-2026-05", rollout_edits.RolloutAction.PAUSE
            )
        )
        code, answer = self.ctl.json(
            "rollout", "start", "clerk-2026-05", "--share", "0.5"
        )
        self.assertEqual(code, exits.ExitCode.CONFLICT)
        self.assertEqual(
            answer["conflict"]["changes"][0]["path"],
            ["operations", "rollouts", "clerk-2026-05"],
        )
        rollout = self.snapshot().rollouts["clerk-2026-05"]
        self.assertIs(rollout.state, snapshot.RolloutState.PAUSED)

    def test_halt_and_withdrawal_are_not_delayed_by_a_start(self) -> None:
        name = "clerk-2026-05"
        start = rollout_edits.RolloutAction.START
        for share, args in (
            (0.5, ["rollout", "pause", name]),
            (0.6, ["rollout", "halt", name]),
            (0.7, ["version", "withdraw", "clerk", "2026-05"]),
        ):
            with self.subTest(args):
                before = self.generation()
                self.commit_rival_edit_first(
                    rollout_edits.ChangeRollout(name, start, share)
                )
                code, answer = self.ctl.json(*args)
                self.assertEqual(code, 0)
                self.assertEqual(answer["generation"], before + 2)
                self.assertEqual(self.snapshot().rollouts[name].share, 0.0)
