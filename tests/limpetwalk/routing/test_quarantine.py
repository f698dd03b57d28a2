"""Tests of the quarantine of requests that crash servers."""

import unittest

from limpetwalk import clock as clocks
from limpetwalk.routing import quarantine
from tests.limpetwalk.backends import backend_fixtures


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.reported = []
        self.quarantine = quarantine.Quarantine(
            lambda *crash: self.reported.append(crash),
            max_fingerprints=3,
            lifetime=60.0,
            clock=self.clock,
        )

    def test_crashes_of_one_server_count_once(self):
        for boot_id in ("b1", "b2", "b3"):
            self.quarantine.record_crash("f", "s1", boot_id)
        self.assertFalse(self.quarantine.is_quarantined("f", 2))
        self.quarantine.record_crash("f", "s2", "b1")
        self.assertTrue(self.quarantine.is_quarantined("f", 2))

    def test_own_crashes_are_reported_and_those_of_peers_are_not(self):
        self.quarantine.record_crash("f", "s1", "b1")
        self.quarantine.merge_crash("f", "s2", "b2")
        self.assertTrue(self.quarantine.is_quarantined("f", 2))
        self.assertEqual([("f", "s1", "b1")], self.reported)

    def test_an_answer_clears_the_suspicion(self):
        self.quarantine.record_crash("f", "s1", "b1")
        self.quarantine.clear("f")
        self.quarantine.record_crash("f", "s2", "b1")
        self.assertFalse(self.quarantine.is_quarantined("f", 2))

    def test_the_oldest_fingerprints_beyond_the_limit_are_removed(self):
        for name in ("f1", "f2", "f3", "f4"):
            self.quarantine.record_crash(name, "s1", "b1")
        self.assertFalse(self.quarantine.crashed_servers("f1"))
        self.assertTrue(self.quarantine.crashed_servers("f4"))

    def test_a_quarantine_expires(self):
        self.quarantine.record_crash("f", "s1", "b1")
        self.quarantine.record_crash("f", "s2", "b1")
        self.clock.advance(60.0)
        self.assertFalse(self.quarantine.is_quarantined("f", 2))

    def test_a_retry_has_the_same_fingerprint(self):
        body = backend_fixtures.chat("[[crash]]")
        first = quarantine.engine_fingerprint(body)
        retry_body = dict(reversed(list(body.items()))) | {"stream": True}
        self.assertEqual(first, quarantine.engine_fingerprint(retry_body))
        other = quarantine.engine_fingerprint(backend_fixtures.chat("other"))
        self.assertNotEqual(first, other)
