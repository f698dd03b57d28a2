"""Tests of the command that shows a request's events from logs."""

import io
import json
import pathlib
import tempfile
import unittest

from limpetwalk_ctl import exits
from limpetwalk_ctl import main
from limpetwalk_ctl.commands import explain

LINES = (
    {"ts": 1.0, "node": "a", "event": "server.changed", "server": "s1"},
    {"ts": 1.5, "node": "a", "event": "server.changed", "server": "s9"},
    {"ts": 3.0, "node": "b", "event": "config.applied", "version": 4},
    {"ts": 2.0, "node": "a", "event": "request.placed", "request": "r1",
     "server": "s1"},
    {"ts": 2.5, "node": "a", "event": "request.failed", "request": "r1",
     "status": 502, "reason": "answer_broken"},
    {"ts": 2.2, "node": "a", "event": "config.applied", "version": 4},
    {"ts": 2.1, "node": "a", "event": "request.placed", "request": "r2",
     "server": "s9"},
)  # fmt: skip


class RequestTimelineTest(unittest.TestCase):
    """Tests of the selection of events for a request."""

    def test_own_events_and_cluster_events_of_its_nodes_and_servers(
        self,
    ) -> None:
        timeline = explain.request_timeline(
            [dict(entry) for entry in LINES], "r1"
        )
        self.assertEqual(
            [
                "server.changed",
                "request.placed",
                "config.applied",
                "request.failed",
            ],
            [entry["event"] for entry in timeline],
        )

    def test_lines_with_a_prefix_and_other_text_are_read(self) -> None:
        lines = ["  1.0 node-1 " + json.dumps(LINES[3]), "no json", "{bad"]
        self.assertEqual(1, len(list(explain.parse_lines(lines))))


class ExplainCommandTest(unittest.TestCase):
    """Tests of the command line of explain."""

    def run_explain(self, *args: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        code = main.main(["explain", *args], out, err)
        return code, out.getvalue(), err.getvalue()

    def test_prints_the_events_of_several_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for number, line in enumerate(LINES):
                path = pathlib.Path(folder) / f"{number}.log"
                path.write_text(json.dumps(line) + "\n")
                paths.append(str(path))
            code, out, _ = self.run_explain("r1", *paths)
            self.assertEqual(exits.ExitCode.OK, code)
            self.assertIn("reason=answer_broken", out)
            code, _, err = self.run_explain("r9", *paths)
            self.assertEqual(exits.ExitCode.NOT_FOUND, code)
            self.assertIn("r9", err)

    def test_missing_file_and_arguments(self) -> None:
        code, _, err = self.run_explain("r1", "/nowhere/x.log")
        self.assertEqual(exits.ExitCode.FINDINGS, code)
        self.assertIn("/nowhere/x.log", err)
        self.assertEqual(exits.ExitCode.USAGE, self.run_explain("r1")[0])
