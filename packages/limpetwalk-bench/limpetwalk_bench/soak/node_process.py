"""Entry node process whose connections to servers take its own paths.

A server announces one address to all nodes. This program runs an unchanged
node with another event loop method, so that each node reaches that address
through its own proxy.
"""

import json
import os
import runpy
from typing import Any

import uvloop

# Environment variable with the paths: a JSON object that maps "host:port" to
# "host:port".
PATHS_VARIABLE = "LIMPETWALK_SOAK_PATHS"


class _Loop(uvloop.Loop):
    """Event loop that connects through the paths."""

    paths: dict[str, str] = {}

    async def create_connection(
        self, protocol_factory: Any, *address: Any, **options: Any
    ) -> Any:
        path = self.paths.get(":".join(map(str, address)))
        if path is not None:
            host, _, port = path.rpartition(":")
            address = (host, int(port))
        return await super().create_connection(
            protocol_factory, *address, **options
        )


def _main() -> None:
    _Loop.paths = json.loads(os.environ[PATHS_VARIABLE])
    uvloop.Loop = _Loop  # type: ignore[misc]
    runpy.run_module("limpetwalk_node.gateway", run_name="__main__")


if __name__ == "__main__":
    _main()
