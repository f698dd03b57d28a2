"""Classification of responses, decisions on retries, event splitting."""

import unittest

from limpetwalk.gateway import buffers
from limpetwalk.gateway import eventstream
from limpetwalk.gateway import response_check
from limpetwalk.gateway import retries
from limpetwalk.gateway import types
from limpetwalk_platform import headers

from . import builders

NAMES = headers.NAMES
SEALED = {NAMES.seal: "s", NAMES.attempt: "a"}


class ResponseCheck(unittest.TestCase):
    """Outcomes by status and headers of a response."""

    def test_outcome_of_each_status_and_headers(self) -> None:
        for status, headers_, outcome, final in (
            (200, SEALED, None, True),
            (404, SEALED, None, True),
            (500, SEALED, retries.Outcome.FAILED, True),
            (504, SEALED, retries.Outcome.FAILED, True),
            (503, {NAMES.not_run: "1"}, retries.Outcome.NOT_RUN, False),
            (429, {NAMES.not_run: "1"}, retries.Outcome.NOT_RUN, False),
            (421, {}, retries.Outcome.NOT_RUN, False),
            (503, SEALED, retries.Outcome.UNKNOWN, False),
            (200, {}, retries.Outcome.UNKNOWN, False),
            (500, {}, retries.Outcome.UNKNOWN, False),
            (
                200,
                {**SEALED, NAMES.attempt: "b"},
                retries.Outcome.UNKNOWN,
                False,
            ),
            (
                200,
                {**SEALED, "Content-Encoding": "gzip"},
                retries.Outcome.UNKNOWN,
                False,
            ),
        ):
            verdict = response_check.check_response(
                status, headers_, NAMES, "a"
            )
            self.assertEqual(
                (outcome, final),
                (verdict.outcome, verdict.final),
                (status, headers_),
            )


class Retries(unittest.TestCase):
    """Which failed requests may be retried."""

    once = builders.route(
        idempotency=types.Idempotency.NON_IDEMPOTENT, attempts=1
    )
    stream = builders.route(
        idempotency=types.Idempotency.NON_IDEMPOTENT,
        streaming=True,
        resumable=True,
        attempts=3,
    )

    def no_retry_reason(
        self, route: types.Route, *outcomes: retries.Outcome, left: float = 1.0
    ) -> retries.NoRetryReason | None:
        counts = retries.AttemptCounts()
        for outcome in outcomes:
            counts.record(outcome)
        return retries.no_retry_reason(route, counts, outcomes[-1], left)

    def test_request_that_may_have_run_is_retried_only_where_allowed(
        self,
    ) -> None:
        unknown = retries.Outcome.UNKNOWN
        self.assertIs(
            retries.NoRetryReason.MAY_HAVE_RUN,
            self.no_retry_reason(self.once, unknown),
        )
        self.assertIsNone(self.no_retry_reason(builders.route(), unknown))
        self.assertIsNone(self.no_retry_reason(self.stream, unknown))
        plain = builders.route(
            streaming=True,
            idempotency=types.Idempotency.IDEMPOTENT,
            attempts=3,
        )
        self.assertIs(
            retries.NoRetryReason.MAY_HAVE_RUN,
            self.no_retry_reason(plain, unknown),
        )

    def test_request_that_has_not_run_may_be_retried(self) -> None:
        for outcome in (retries.Outcome.NOT_RUN, retries.Outcome.UNREACHED):
            self.assertIsNone(self.no_retry_reason(self.once, outcome))

    def test_sent_and_run_attempts_are_bounded(self) -> None:
        rejected = [retries.Outcome.NOT_RUN] * retries.MAX_ATTEMPTS_SENT
        self.assertIs(
            retries.NoRetryReason.ATTEMPTS_SENT,
            self.no_retry_reason(self.once, *rejected),
        )
        failures = [retries.Outcome.FAILED] * 2
        self.assertIs(
            retries.NoRetryReason.ATTEMPTS,
            self.no_retry_reason(builders.route(), *failures),
        )

    def test_no_retry_without_time(self) -> None:
        self.assertIs(
            retries.NoRetryReason.TIME,
            self.no_retry_reason(
                builders.route(), retries.Outcome.FAILED, left=0.001
            ),
        )


class Events(unittest.TestCase):
    """Splitting a stream into events."""

    stream_bytes = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"

    def splitter(self, limit: int = 1000) -> eventstream.EventSplitter:
        """Return a splitter with a limit on the size of an event."""
        buffer = buffers.BufferBudget().open(limit, lambda: None)
        return eventstream.EventSplitter(buffer)

    def test_events_do_not_depend_on_the_chunk_size(self) -> None:
        for size in range(1, len(self.stream_bytes) + 1):
            splitter = self.splitter()
            events = []
            for start in range(0, len(self.stream_bytes), size):
                events += splitter.feed(
                    self.stream_bytes[start : start + size]
                )
            self.assertEqual(["1", "2", ""], [event.id for event in events])
            self.assertEqual(
                self.stream_bytes, b"".join(event.data for event in events)
            )
            self.assertFalse(splitter.partial)

    def test_incomplete_event_is_buffered(self) -> None:
        splitter = self.splitter()
        self.assertEqual([], splitter.feed(b"id: 1\ndata: a\n"))
        self.assertTrue(splitter.partial)

    def test_event_above_the_size_limit_raises(self) -> None:
        splitter = self.splitter(buffers.MIB)
        with self.assertRaises(buffers.LimitExceeded):
            splitter.feed(b"x" * (buffers.MIB + 1))
