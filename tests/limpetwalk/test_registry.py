"""Tests of the plug-in registry."""

import unittest

from limpetwalk import exceptions
from limpetwalk import registry


class RegistryTest(unittest.TestCase):
    def test_get_returns_what_was_registered(self):
        @registry.register(registry.Kind.FAULT, "registry-test")
        class Plugin:
            pass

        plugin = registry.get(registry.Kind.FAULT, "registry-test")
        self.assertIs(plugin, Plugin)

    def test_a_second_plugin_of_a_name_is_refused(self):
        registry.register(registry.Kind.FAULT, "registry-twice")(object())
        with self.assertRaises(exceptions.DuplicatePlugin):
            registry.register(registry.Kind.FAULT, "registry-twice")(object())

    def test_unknown_name_lists_the_known_ones(self):
        registry.register(registry.Kind.EXPERIMENT, "known")(object())
        with self.assertRaisesRegex(exceptions.UnknownPlugin, "known"):
            registry.get(registry.Kind.EXPERIMENT, "unheard-of")
