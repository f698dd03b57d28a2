"""Body of ``/status``."""

from collections.abc import Callable
from typing import Any

from limpetwalk.peers import base as peers

from .. import lifecycle
from .. import protocols
from .. import settings


class Status:
    """Returns the state of a node as JSON data.

    :param cfg: settings of the node.
    :param config: configuration in force.
    :param peers_: returns the live peers.
    """

    def __init__(
        self,
        cfg: settings.NodeSettings,
        config: protocols.ConfigSource,
        peers_: Callable[[], list[peers.Peer]],
    ) -> None:
        self._cfg = cfg
        self._config = config
        self._peers = peers_

    def __call__(self, node_lifecycle: lifecycle.Lifecycle) -> dict[str, Any]:
        """Return the current state."""
        applied = self._config.current()
        return {
            "name": self._cfg.name,
            "zone": self._cfg.zone,
            "region": self._cfg.region,
            "phase": node_lifecycle.phase.value,
            "in_flight": node_lifecycle.in_flight,
            "generation": 0 if applied is None else applied.generation,
            "digest": "" if applied is None else applied.snapshot.digest,
            "ready": node_lifecycle.is_ready(self._config),
            "fresh": self._config.is_fresh(),
            "peers": [
                {
                    "name": peer.name,
                    "zone": peer.zone,
                    "generation": peer.generation,
                    "leaving": peer.leaving,
                }
                for peer in self._peers()
            ],
        }
