"""Tests of the permits for cold backend servers."""

import unittest

from limpetwalk.conf import snapshot
from limpetwalk.routing import cold_permits
from tests.limpetwalk.backends import backend_fixtures


class LocalPermitsTest(unittest.TestCase):
    def test_all_nodes_together_stay_within_the_allowance(self):
        for allowance in range(12):
            server = backend_fixtures.server(
                "s1", 1, warmup=snapshot.WarmUp(allowance, 60.0)
            )
            for nodes in (1, 3, 9, 380):
                permits = cold_permits.LocalPermits(lambda nodes=nodes: nodes)
                acquired = 0
                while permits.try_acquire(server, "b1"):
                    acquired += 1
                self.assertLessEqual(acquired * nodes, allowance)

    def test_a_released_permit_can_be_taken_again(self):
        server = backend_fixtures.server(
            "s1", 1, warmup=snapshot.WarmUp(1, 60.0)
        )
        permits = cold_permits.LocalPermits(lambda: 1)
        permit = permits.try_acquire(server, "b1")
        self.assertIsNone(permits.try_acquire(server, "b1"))
        permits.release(permit)
        self.assertIsNotNone(permits.try_acquire(server, "b1"))
