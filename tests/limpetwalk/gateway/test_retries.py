"""Judgement of answers, repeats and events."""

import unittest

from limpetwalk.gateway import eventstream
from limpetwalk.gateway import response_check
from limpetwalk.gateway import retries
from limpetwalk.gateway import types
from limpetwalk_platform import headers

from . import builders

NAMES = headers.NAMES
SEALED = {NAMES.seal: "s", NAMES.attempt: "a"}


class Heads(unittest.TestCase):
    """What the head of an answer says."""

    def test_table(self) -> None:
        for status, held, outcome, final in (
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
            verdict = response_check.check_response(status, held, NAMES, "a")
            self.assertEqual(
                (outcome, final),
                (verdict.outcome, verdict.final),
                (status, held),
            )


class Repeats(unittest.TestCase):
    """Whether a request may be sent again."""

    once = builders.route(
        idempotency=types.Idempotency.NON_IDEMPOTENT, attempts=1
    )
    stream = builders.route(
        idempotency=types.Idempotency.NON_IDEMPOTENT,
        streaming=True,
        resumable=True,
        attempts=3,
    )

    def stop(
        self, route: types.Route, *outcomes: retries.Outcome, left: float = 1.0
    ) -> retries.NoRetryReason | None:
        tries = retries.AttemptCounts()
        for outcome in outcomes:
            tries.note(outcome)
        return retries.no_retry_reason(route, tries, outcomes[-1], left)

    def test_what_may_have_run_is_repeated_only_where_allowed(self) -> None:
        unknown = retries.Outcome.UNKNOWN
        self.assertIs(
            retries.NoRetryReason.MAY_HAVE_RUN, self.stop(self.once, unknown)
        )
        self.assertIsNone(self.stop(builders.route(), unknown))
        self.assertIsNone(self.stop(self.stream, unknown))
        plain = builders.route(
            streaming=True,
            idempotency=types.Idempotency.IDEMPOTENT,
            attempts=3,
        )
        self.assertIs(
            retries.NoRetryReason.MAY_HAVE_RUN, self.stop(plain, unknown)
        )

    def test_what_has_not_run_may_go_elsewhere(self) -> None:
        for outcome in (retries.Outcome.NOT_RUN, retries.Outcome.UNREACHED):
            self.assertIsNone(self.stop(self.once, outcome))

    def test_offers_and_attempts_are_bounded(self) -> None:
        rejected = [retries.Outcome.NOT_RUN] * retries.MAX_ATTEMPTS_SENT
        self.assertIs(
            retries.NoRetryReason.ATTEMPTS_SENT,
            self.stop(self.once, *rejected),
        )
        ran = [retries.Outcome.FAILED] * 2
        self.assertIs(
            retries.NoRetryReason.ATTEMPTS, self.stop(builders.route(), *ran)
        )

    def test_no_try_without_time(self) -> None:
        self.assertIs(
            retries.NoRetryReason.TIME,
            self.stop(builders.route(), retries.Outcome.FAILED, left=0.001),
        )


class Events(unittest.TestCase):
    """Splitting a stream."""

    whole = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"

    def test_any_cut_gives_the_same_events(self) -> None:
        for size in range(1, len(self.whole) + 1):
            splitter = eventstream.EventSplitter()
            found = []
            for start in range(0, len(self.whole), size):
                found += splitter.feed(self.whole[start : start + size])
            self.assertEqual(["1", "2", ""], [each.id for each in found])
            self.assertEqual(self.whole, b"".join(e.data for e in found))
            self.assertFalse(splitter.partial)

    def test_partial_event_is_held_back(self) -> None:
        splitter = eventstream.EventSplitter()
        self.assertEqual([], splitter.feed(b"id: 1\ndata: a\n"))
        self.assertTrue(splitter.partial)

    def test_endless_event_is_refused(self) -> None:
        splitter = eventstream.EventSplitter()
        with self.assertRaises(ValueError):
            splitter.feed(b"x" * (eventstream.MAX_EVENT_BYTES + 1))
