"""Tests of the format of refusals and of their reference page."""

import pathlib
import re
import unittest

from limpetwalk import metrics as measures
from limpetwalk import refusals
from limpetwalk_node.api import errors

ROOT = pathlib.Path(__file__).parents[2]
ROW = re.compile(r"^\| `(\w+)` \| ([\d, ]+) \|", re.MULTILINE)


class Reference(unittest.TestCase):
    def test_every_reason_has_a_row(self):
        text = (ROOT / "docs/reference/refusals.md").read_text("utf-8")
        rows = [name for name, _ in ROW.findall(text)]
        self.assertEqual(
            sorted(reason.value for reason in refusals.Reason), sorted(rows)
        )


class Format(unittest.TestCase):
    def refusal(self, status=503, retry_after=None):
        return refusals.Refusal(
            refusals.Reason.QUEUE_FULL,
            refusals.RunState.NOT_RUN,
            status,
            "full",
            retry_after,
        )

    def test_retry_after_is_rounded_up(self):
        for seconds, header in ((0.01, "1"), (1.2, "2"), (None, None)):
            with self.subTest(seconds=seconds):
                resp = errors.error_response(self.refusal(503, seconds), "r")
                self.assertEqual(header, resp.headers.get("Retry-After"))

    def test_openai_fields(self):
        cases = [
            (400, "invalid_request_error"),
            (401, "authentication_error"),
            (403, "permission_error"),
            (429, "rate_limit_error"),
            (503, "server_error"),
        ]
        for status, kind in cases:
            with self.subTest(status=status):
                error = errors.error_body(self.refusal(status), "r")["error"]
                self.assertEqual(kind, error["type"])
                self.assertEqual(error["reason"], error["code"])

    def test_each_reason_has_a_counter_at_start(self):
        metrics = measures.Metrics()
        errors.RefusalCounter(metrics)
        exposed = metrics.expose().decode()
        for reason in refusals.Reason:
            self.assertIn(f'reason="{reason.value}"', exposed)
