"""Checks of a platform's configuration before an operator writes it."""

from collections.abc import Iterator

from ..conf import checks
from ..conf import findings
from . import retries
from . import types

Findings = Iterator[findings.Finding]


def check_config(config: types.Config) -> list[findings.Finding]:
    """Return what is wrong or without effect in a configuration.

    The path of a finding names a route, service or value of the decoded
    configuration.
    """
    return [
        *_check_prefixes(config),
        *_check_targets(config),
        *_check_models(config),
        *_check_route_limits(config),
        *_check_services(config),
        *_check_keys(config),
    ]


def _check_prefixes(config: types.Config) -> Findings:
    """Warn of routes that the lookup of routes never returns."""
    owners = {
        (route.host, route.prefix): index
        for index, route in enumerate(config.routes)
    }
    for index, route in enumerate(config.routes):
        path: findings.KeyPath = ("routes", route.name)
        owner = owners[route.host, route.prefix]
        if owner != index:
            yield checks.warning(
                "route-shadowed",
                (*path, "prefix"),
                f"{route.prefix!r}, as route {config.routes[owner].name!r} "
                f"of the same host has",
                "a prefix of its own; the last route gets all requests",
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield checks.warning(
                "route-unmatched",
                (*path, "prefix"),
                f"{route.prefix!r}, which no request matches",
                "a prefix that begins and ends with a slash",
            )


def _check_targets(config: types.Config) -> Findings:
    """Check the services of routes, and that each is used."""
    used = set()
    for route in config.routes:
        path: findings.KeyPath = ("routes", route.name, "targets")
        for name, weight in route.targets:
            if name not in config.services:
                yield checks.error(
                    "undeclared",
                    path,
                    repr(name),
                    checks.one_of(config.services),
                )
            if weight:
                used.add(name)
            else:
                yield checks.warning(
                    "no-weight",
                    path,
                    f"weight 0 of {name!r}",
                    "a weight above 0, or no such target",
                )
        if not any(weight for _, weight in route.targets):
            yield checks.warning(
                "route-without-service",
                path,
                "no service with a weight above 0",
                "a service that gets the requests",
            )
    for name in config.services:
        if name not in used:
            yield checks.warning(
                "service-unused",
                ("services", name),
                "a service that no route sends requests to",
                "a route to it",
            )


def _check_models(config: types.Config) -> Findings:
    """Warn of steps of a route that repeat an earlier model."""
    for route in config.routes:
        for index, model in enumerate(route.models):
            if model in route.models[:index]:
                yield checks.warning(
                    "step-unreachable",
                    ("routes", route.name, "models", index),
                    f"{model!r} again",
                    "each model once, smallest first",
                )


def _check_route_limits(config: types.Config) -> Findings:
    """Warn of limits of a route that contradict each other."""
    for route in config.routes:
        path: findings.KeyPath = ("routes", route.name)
        # Only streams have gaps.
        gap = route.largest_gap if route.streaming else 0.0
        targets = {"target_latency": route.target_latency, "largest_gap": gap}
        for key, value in targets.items():
            if value > route.timeout:
                yield checks.warning(
                    "timeout-below-target",
                    (*path, "timeout"),
                    f"{route.timeout:g} s",
                    f"at least {key}, {value:g} s",
                )
        most = retries.MAX_ATTEMPTS_SENT if route.retryable else 1
        if route.attempts > most:
            yield checks.warning(
                "attempts-without-effect",
                (*path, "attempts"),
                str(route.attempts),
                f"at most {most}, as further ones are never made",
            )


def _check_services(config: types.Config) -> Findings:
    """Warn of a cold rate without a cold time, and of the reverse."""
    for name, service in config.services.items():
        if service.cold_rate and not service.cold_seconds:
            yield checks.warning(
                "cold-rate-without-time",
                ("services", name, "cold_rate"),
                f"{service.cold_rate:g} without a cold time",
                "both or neither, as starts are paced by the two",
            )
        if service.cold_seconds and not service.cold_rate:
            yield checks.warning(
                "cold-time-without-rate",
                ("services", name, "cold_seconds"),
                f"{service.cold_seconds:g} s without a cold rate",
                "both or neither, as starts are paced by the two",
            )


def _check_keys(config: types.Config) -> Findings:
    """Warn of API keys that can't tell workspaces apart or are missing."""
    if config.shared_keys:
        yield checks.warning(
            "key-shared",
            ("workspaces",),
            f"{config.shared_keys} keys that several workspaces hold",
            "keys of one workspace each; the last one gets the requests",
        )
    if config.keys_required and not config.keys:
        for route in config.routes:
            if not route.public:
                yield checks.warning(
                    "no-workspace",
                    ("routes", route.name),
                    "a route that needs a key, which no workspace has",
                    "a workspace with a key, or a public route",
                )
