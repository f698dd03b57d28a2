"""Look-ups in a configuration."""

import random
import unittest

from limpetwalk.gateway import catalog
from limpetwalk.gateway import types

from . import builders


def make(*prefixes: str) -> catalog.Catalog:
    routes = tuple(
        builders.route(name=prefix, prefix=prefix) for prefix in prefixes
    )
    return catalog.Catalog(types.Config(1, routes, {}, {}, types.Limits()))


class RouteLookup(unittest.TestCase):
    """The longest prefix of a host wins."""

    def test_longest_prefix_wins(self) -> None:
        held = make("/a/", "/a/b/", "/")
        for path, expected in (
            ("/a/b/c", "/a/b/"),
            ("/a/x", "/a/"),
            ("/a", "/"),
            ("/a/b", "/a/"),
            ("/q", "/"),
        ):
            found = held.route("api.example", path)
            assert found is not None
            self.assertEqual(expected, found.prefix, path)

    def test_no_route_for_another_host_or_prefix(self) -> None:
        held = make("/a/")
        self.assertIsNone(held.route("other.example", "/a/x"))
        self.assertIsNone(held.route("api.example", "/b/x"))
        self.assertIsNone(held.route("api.example", "/A/x"))

    def test_port_of_the_host_is_ignored(self) -> None:
        self.assertIsNotNone(make("/a/").route("api.example:80", "/a/"))

    def test_path_is_taken_as_it_was_sent(self) -> None:
        self.assertIsNone(make("/a/").route("api.example", "/%61/x"))


class TargetDraw(unittest.TestCase):
    """Split routes draw a service by its weight."""

    def test_shares_follow_the_weights(self) -> None:
        rng = random.Random(3)
        drawn = [
            catalog.choose_target((("a", 90), ("b", 10)), rng)
            for _ in range(2000)
        ]
        self.assertAlmostEqual(0.9, drawn.count("a") / 2000, delta=0.03)

    def test_weight_zero_gets_nothing(self) -> None:
        rng = random.Random(3)
        drawn = {
            catalog.choose_target((("a", 0), ("b", 1)), rng)
            for _ in range(200)
        }
        self.assertEqual({"b"}, drawn)
        self.assertIsNone(catalog.choose_target((("a", 0),), rng))
