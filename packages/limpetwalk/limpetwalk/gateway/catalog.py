"""Look-ups in the configuration in force."""

from collections.abc import Sequence
import random

from . import types


class Catalog:
    """Configuration with its routes and keys ready to be looked up.

    The look-up costs as many steps as the path has slashes, however many
    routes there are.

    :param config: configuration to look up in.
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
        """Return the route of the longest prefix, or None.

        :param host: host as the caller named it; a port is ignored.
        :param path: path as it was sent, without the query.
        """
        name = host.rpartition(":")[0] if _has_port(host) else host
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = self._routes.get((name, path[: end + 1]))
            if found is not None:
                return found
        return None

    def workspace(self, key: str) -> types.Workspace | None:
        """Return the workspace that holds a key, or None."""
        return self.config.keys.get(key)

    def service(self, name: str) -> types.Service | None:
        """Return a service, or None when it is not configured."""
        return self.config.services.get(name)


def _has_port(host: str) -> bool:
    return ":" in host and host.rpartition(":")[2].isdigit()


def choose_target(
    targets: Sequence[tuple[str, int]], rng: random.Random
) -> str | None:
    """Return a service drawn by its weight, or None without any.

    :param targets: services and their weights.
    """
    total = sum(weight for _, weight in targets)
    if total <= 0:
        return None
    mark = rng.uniform(0.0, total)
    for name, weight in targets:
        mark -= weight
        if weight > 0 and mark <= 0:
            return name
    return [name for name, weight in targets if weight > 0][-1]
