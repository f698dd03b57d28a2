"""Lookups of routes, keys and services in a configuration."""

from collections.abc import Sequence
import random

from . import types


class Catalog:
    """Configuration with its routes indexed by host and prefix.

    Looking up a route takes at most one step per slash of the path, however
    many routes there are.

    :param config: configuration to index.
    """

    def __init__(self, config: types.Config) -> None:
        self.config = config
        self._routes = {
            (route.host, route.prefix): route for route in config.routes
        }

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.config.version

    def route(self, host: str, path: str) -> types.Route | None:
        """Return the route with the longest matching prefix, or None.

        :param host: host as the caller sent it; a port is ignored.
        :param path: path as the caller sent it, without the query.
        """
        name = host.rpartition(":")[0] if _has_port(host) else host
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def workspace(self, key: str) -> types.Workspace | None:
        """Return the workspace of an API key, or None when it is unknown."""
        return self.config.keys.get(key)

    def service(self, name: str) -> types.Service | None:
        """Return a service, or None when it is not configured."""
        return self.config.services.get(name)


def _has_port(host: str) -> bool:
    return ":" in host and host.rpartition(":")[2].isdigit()


def choose_target(
    targets: Sequence[tuple[str, int]], rng: random.Random
) -> str | None:
    """Choose a service at random by weight.

    :param targets: services and their weights.
    :returns: the service, or None when no weight is positive.
    """
    total = sum(weight for _, weight in targets)
    if total <= 0:
        return None
    threshold = rng.uniform(0.0, total)
    for name, weight in targets:
        threshold -= weight
        if weight > 0 and threshold <= 0:
            return name
    return [name for name, weight in targets if weight > 0][-1]
