"""Lookups in a configuration."""

import random
import unittest

from limpetwalk.gateway import catalog
from limpetwalk.gateway import types

from . import builders


def make_catalog(*prefixes: str) -> catalog.Catalog:
    routes = tuple(
        builders.route(name=prefix, prefix=prefix) for prefix in prefixes
    )
    return catalog.Catalog(types.Config(1, routes, {}, {}, types.Limits()))


class RouteLookup(unittest.TestCase):
    """The longest prefix of a host wins."""

    def test_longest_prefix_wins(self) -> None:
        config = make_catalog("/a/", "/a/b/", "/")
        for path, expected in (
            ("/a/b/c", "/a/b/"),
            ("/a/x", "/a/"),
            ("/a", "/"),
            ("/a/b", "/a/"),
            ("/q", "/"),
        ):
            route = config.route("api.example", path)
            assert route is not None
            self.assertEqual(expected, route.prefix, path)

    def test_no_route_for_another_host_or_prefix(self) -> None:
        config = make_catalog("/a/")
        self.assertIsNone(config.route("other.example", "/a/x"))
        self.assertIsNone(config.route("api.example", "/b/x"))
        self.assertIsNone(config.route("api.example", "/A/x"))

    def test_port_of_the_host_is_ignored(self) -> None:
        self.assertIsNotNone(
            make_catalog("/a/").route("api.example:80", "/a/")
        )

    def test_path_is_taken_as_it_was_sent(self) -> None:
        self.assertIsNone(make_catalog("/a/").route("api.example", "/%61/x"))


class TargetChoice(unittest.TestCase):
    """Routes with several targets choose one by weight."""

    def test_shares_follow_the_weights(self) -> None:
        rng = random.Random(3)
        chosen = [
            catalog.choose_target((("a", 90), ("b", 10)), rng)
            for _ in range(2000)
        ]
        self.assertAlmostEqual(0.9, chosen.count("a") / 2000, delta=0.03)

    def test_weight_zero_gets_nothing(self) -> None:
        rng = random.Random(3)
        chosen = {
            catalog.choose_target((("a", 0), ("b", 1)), rng)
            for _ in range(200)
        }
        self.assertEqual({"b"}, chosen)
        self.assertIsNone(catalog.choose_target((("a", 0),), rng))
