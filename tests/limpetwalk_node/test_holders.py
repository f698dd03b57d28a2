"""Tests of who holds records and leases."""

import types
import unittest

from limpetwalk.peers import base as peers
from limpetwalk_node.records import holder_liveness


class FakeHub:
    name = "a"
    boot_id = "boot-a"

    def __init__(self):
        self.beats = {}
        self.listed = []
        self.members = types.SimpleNamespace(
            live_heartbeats=lambda: self.beats
        )

    def candidates(self):
        return [
            peers.Peer(name, "127.0.0.1:1", "z", 1, False)
            for name in self.listed
        ]


class HoldersTest(unittest.TestCase):
    def setUp(self):
        self.hub = FakeHub()
        self.held = holder_liveness.HolderLiveness(self.hub)

    def beat(self, name, boot_id):
        self.hub.beats[name] = types.SimpleNamespace(boot_id=boot_id)

    def test_this_process_is_live(self):
        self.assertTrue(self.held.is_live("a/boot-a"))
        self.assertFalse(self.held.is_live("a/boot-before"))

    def test_a_peer_is_live_in_the_boot_that_its_heartbeat_names(self):
        self.beat("b", "boot-2")
        self.assertTrue(self.held.is_live("b/boot-2"))
        self.assertFalse(self.held.is_live("b/boot-1"))

    def test_a_peer_without_a_link_is_live_while_it_is_listed(self):
        self.hub.listed = ["c"]
        self.assertTrue(self.held.is_live("c/boot-9"))
        self.assertFalse(self.held.is_live("d/boot-9"))
