"""Tests of the liveness of holders of records and leases."""

import types
import unittest

from limpetwalk.peers import base as peers
from limpetwalk_node.records import holder_liveness


class FakeHub:
    name = "a"
    boot_id = "boot-a"

    def __init__(self):
        self.heartbeats = {}
        self.listed_names = []
        self.members = types.SimpleNamespace(
            live_heartbeats=lambda: self.heartbeats
        )

    def candidates(self):
        return [
            peers.Peer(name, "127.0.0.1:1", "z", 1, False)
            for name in self.listed_names
        ]


class HolderLivenessTest(unittest.TestCase):
    def setUp(self):
        self.hub = FakeHub()
        self.holders = holder_liveness.HolderLiveness(self.hub)

    def add_heartbeat(self, name, boot_id):
        self.hub.heartbeats[name] = types.SimpleNamespace(boot_id=boot_id)

    def test_this_process_is_live(self):
        self.assertTrue(self.holders.is_live("a/boot-a"))
        self.assertFalse(self.holders.is_live("a/boot-before"))

    def test_a_peer_is_live_only_with_the_boot_id_of_its_heartbeat(self):
        self.add_heartbeat("b", "boot-2")
        self.assertTrue(self.holders.is_live("b/boot-2"))
        self.assertFalse(self.holders.is_live("b/boot-1"))

    def test_a_peer_without_a_link_is_live_while_listed(self):
        self.hub.listed_names = ["c"]
        self.assertTrue(self.holders.is_live("c/boot-9"))
        self.assertFalse(self.holders.is_live("d/boot-9"))
