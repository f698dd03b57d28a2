"""Checks of a configuration before an operator writes it."""

from typing import Any
import unittest

from limpetwalk.gateway import config_checks
from limpetwalk.gateway import types

from . import builders

SERVICES = {"s": types.Service("s", 0.0, 0.0)}
KEYS = {"k": types.Workspace("w", None)}


class CheckCase(unittest.TestCase):
    """Test case with the findings of a configuration."""

    def check(
        self, *routes: types.Route, **changes: Any
    ) -> list[tuple[str, ...]]:
        """Return the ids and paths of the findings."""
        fields: dict[str, Any] = {
            "version": 1,
            "routes": routes or (builders.route(),),
            "services": SERVICES,
            "keys": KEYS,
            "limits": types.Limits(),
        }
        config = types.Config(**{**fields, **changes})
        return [
            (item.id, *map(str, item.path))
            for item in config_checks.check_config(config)
        ]


class Prefixes(CheckCase):
    """Routes that no request reaches."""

    def test_route_below_an_identical_one_is_found(self) -> None:
        self.assertEqual(
            [("route-shadowed", "routes", "a", "prefix")],
            self.check(builders.route(name="a"), builders.route(name="b")),
        )

    def test_longer_prefix_or_other_host_is_not(self) -> None:
        for changes in ({"prefix": "/r/x/"}, {"host": "b.example"}):
            with self.subTest(changes):
                other = builders.route(name="b", **changes)
                self.assertEqual([], self.check(builders.route(), other))

    def test_prefix_without_its_slashes_is_found(self) -> None:
        for prefix, expected in (
            ("/r", [("route-unmatched", "routes", "r", "prefix")]),
            ("r/", [("route-unmatched", "routes", "r", "prefix")]),
            ("/", []),
        ):
            with self.subTest(prefix):
                self.assertEqual(
                    expected, self.check(builders.route(prefix=prefix))
                )


class Targets(CheckCase):
    """Services of routes."""

    def test_undeclared_service_is_an_error(self) -> None:
        route = builders.route(targets=(("s", 1), ("t", 1)))
        self.assertEqual(
            [("undeclared", "routes", "r", "targets")], self.check(route)
        )

    def test_service_without_a_route_is_found(self) -> None:
        services = {**SERVICES, "t": types.Service("t", 0.0, 0.0)}
        self.assertEqual(
            [("service-unused", "services", "t")],
            self.check(services=services),
        )

    def test_weights_that_do_not_sum_to_a_hundred_are_not(self) -> None:
        services = {**SERVICES, "t": types.Service("t", 0.0, 0.0)}
        route = builders.route(targets=(("s", 1), ("t", 2)))
        self.assertEqual([], self.check(route, services=services))

    def test_target_of_weight_zero_is_found(self) -> None:
        route = builders.route(targets=(("s", 0),))
        self.assertEqual(
            [
                ("no-weight", "routes", "r", "targets"),
                ("route-without-service", "routes", "r", "targets"),
                ("service-unused", "services", "s"),
            ],
            self.check(route),
        )


class Models(CheckCase):
    """Steps of a route."""

    def test_repeated_model_is_found(self) -> None:
        self.assertEqual(
            [("step-unreachable", "routes", "r", "models", "2")],
            self.check(builders.route(models=("a", "b", "a"))),
        )

    def test_different_models_are_not(self) -> None:
        self.assertEqual([], self.check(builders.route(models=("a", "A"))))


class RouteLimits(CheckCase):
    """Limits of a route that contradict each other."""

    def test_timeout_below_a_target_is_found(self) -> None:
        for key in ("target_latency", "largest_gap"):
            for value, expected in (
                (1.1, [("timeout-below-target", "routes", "r", "timeout")]),
                (1.0, []),
            ):
                with self.subTest(key=key, value=value):
                    route = builders.route(
                        streaming=True, attempts=1, **{key: value}
                    )
                    self.assertEqual(expected, self.check(route))

    def test_gap_of_a_route_without_streams_is_not(self) -> None:
        self.assertEqual([], self.check(builders.route(largest_gap=9.0)))

    def test_attempts_that_are_never_made_are_found(self) -> None:
        once = types.Idempotency.NON_IDEMPOTENT
        for changes, is_found in (
            ({"attempts": 6}, True),
            ({"attempts": 5}, False),
            ({"attempts": 2, "idempotency": once}, True),
            ({"attempts": 1, "idempotency": once}, False),
            ({"attempts": 2, "streaming": True}, True),
            ({"attempts": 2, "streaming": True, "resumable": True}, False),
        ):
            with self.subTest(changes):
                expected = ("attempts-without-effect", "routes", "r")
                self.assertEqual(
                    [(*expected, "attempts")] if is_found else [],
                    self.check(builders.route(**changes)),
                )


class ColdServers(CheckCase):
    """Cold rates and cold times."""

    def test_one_without_the_other_is_found(self) -> None:
        for seconds, rate, expected in (
            (0.0, 8.0, [("cold-rate-without-time", "cold_rate")]),
            (3.0, 0.0, [("cold-time-without-rate", "cold_seconds")]),
            (3.0, 8.0, []),
            (0.0, 0.0, []),
        ):
            with self.subTest(seconds=seconds, rate=rate):
                services = {"s": types.Service("s", seconds, rate)}
                self.assertEqual(
                    [(ident, "services", "s", k) for ident, k in expected],
                    self.check(services=services),
                )


class Keys(CheckCase):
    """Keys of workspaces."""

    def test_shared_keys_are_found(self) -> None:
        self.assertEqual(
            [("key-shared", "workspaces")], self.check(shared_keys=1)
        )

    def test_route_whose_key_nobody_has_is_found(self) -> None:
        self.assertEqual(
            [("no-workspace", "routes", "r")], self.check(keys={})
        )

    def test_route_that_needs_no_key_is_not(self) -> None:
        self.assertEqual([], self.check(keys={}, keys_required=False))
        self.assertEqual([], self.check(builders.route(public=True), keys={}))
