"""Tests of the circuit breaker and of the boots of servers."""

import random
import unittest

from limpetwalk.conf import snapshot
from limpetwalk.routing import boots
from limpetwalk.routing import circuit

WARMUP = snapshot.WarmUp(2, 10.0)


class CircuitTest(unittest.TestCase):
    def setUp(self):
        self.circuit = circuit.Circuit(random.Random(1))

    def open(self, now: float) -> None:
        for _ in range(circuit.FAILURES_TO_OPEN):
            self.circuit.fail(now)

    def test_consecutive_failures_open_it_and_a_trial_closes_it(self):
        self.circuit.fail(0.0)
        self.circuit.succeed()
        self.assertFalse(self.circuit.fail(0.0))
        self.assertFalse(self.circuit.fail(0.0))
        self.assertTrue(self.circuit.fail(0.0))
        self.assertFalse(self.circuit.allows(0.1))
        self.assertTrue(self.circuit.allows(1.0))
        self.circuit.start()
        self.assertFalse(self.circuit.allows(1.0))
        self.assertTrue(self.circuit.succeed())
        self.assertTrue(self.circuit.allows(1.0))

    def test_a_trial_without_a_result_permits_another(self):
        self.open(0.0)
        self.circuit.start()
        self.circuit.end_without_result()
        self.assertTrue(self.circuit.allows(1.0))

    def test_pauses_grow_up_to_the_maximum(self):
        self.open(0.0)
        for _ in range(20):
            self.circuit.fail(0.0)
        max_pause = circuit.MAX_PAUSE_SECONDS * 1.2
        self.assertFalse(self.circuit.allows(max_pause / 2))
        self.assertTrue(self.circuit.allows(max_pause))

    def test_a_load_read_after_it_opened_permits_a_trial(self):
        self.open(5.0)
        self.circuit.record_load_read(4.9)
        self.assertFalse(self.circuit.allows(5.1))
        self.circuit.record_load_read(5.05)
        self.assertTrue(self.circuit.allows(5.1))


class BootTest(unittest.TestCase):
    def test_an_unknown_boot_counts_as_cold(self):
        boot = boots.Boot()
        boot.note_sent(0.0)
        self.assertTrue(boot.is_cold(WARMUP, 100.0))
        boot.update("b1", 1.0, 0.0)
        self.assertTrue(boot.is_cold(WARMUP, 9.0))
        self.assertFalse(boot.is_cold(WARMUP, 10.0))

    def test_a_boot_without_requests_stays_cold(self):
        boot = boots.Boot()
        boot.update("b1", 1.0)
        self.assertTrue(boot.is_cold(WARMUP, 100.0))

    def test_a_new_boot_is_cold_and_an_older_report_changes_nothing(self):
        boot = boots.Boot()
        boot.update("b1", 0.0, 0.0)
        self.assertFalse(boot.is_cold(WARMUP, 20.0))
        self.assertTrue(boot.update("b2", 20.0))
        self.assertTrue(boot.is_cold(WARMUP, 20.0))
        self.assertFalse(boot.update("b1", 19.0))
        self.assertEqual("b2", boot.boot_id)

    def test_an_unconfirmed_boot_is_cold_until_it_is_reported(self):
        boot = boots.Boot()
        boot.update("b1", 0.0, 0.0)
        boot.mark_unconfirmed()
        self.assertTrue(boot.is_cold(WARMUP, 20.0))
        boot.update("b1", 21.0)
        self.assertFalse(boot.is_cold(WARMUP, 21.0))
