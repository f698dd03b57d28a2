"""Permits for requests to cold backend servers."""

from collections.abc import Callable
from dataclasses import dataclass
import math
from typing import Protocol

from ..conf import snapshot


@dataclass(frozen=True, slots=True)
class Permit:
    """Right to have one request in flight at a cold backend server.

    :param server: name of the server.
    :param boot_id: boot of the server that it is valid for.
    :param fencing: fencing number of the grantor's lease; 0 for a permit
        from the node's own share.
    :param expires_at: instant of this node's monotonic clock by which the
        request must have ended.
    """

    server: str
    boot_id: str
    fencing: int = 0
    expires_at: float = math.inf


class PermitSource(Protocol):
    """Grants permits to send work to a cold backend server."""

    def try_acquire(
        self, server: snapshot.Server, boot_id: str
    ) -> Permit | None:
        """Return a permit if one is available, else None.

        A source that has to request permits starts a request and calls the
        subscribers when permits arrive.
        """
        ...

    def release(self, permit: Permit) -> None:
        """Return a permit to the source."""
        ...

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Register a callback for the name of a server with new permits."""
        ...


class LocalPermits:
    """Permits from the node's own share of the allowance.

    Each node may use ``floor(allowance / nodes)`` permits, so that all nodes
    together stay within the allowance without communication.

    :param known_nodes: returns the number of known entry nodes, this one
        included; it must not shrink because this node is disconnected from
        the others.
    """

    def __init__(self, known_nodes: Callable[[], int]) -> None:
        self._known_nodes = known_nodes
        self._in_use: dict[tuple[str, str], int] = {}

    def try_acquire(
        self, server: snapshot.Server, boot_id: str
    ) -> Permit | None:
        """Return a permit if this node's share is not used up, else None."""
        nodes = max(1, self._known_nodes())
        limit = server.warmup.concurrency // nodes
        key = (server.name, boot_id)
        used = self._in_use.get(key, 0)
        if used >= limit:
            return None
        self._in_use[key] = used + 1
        return Permit(server.name, boot_id)

    def release(self, permit: Permit) -> None:
        """Return a permit to this node's share."""
        key = (permit.server, permit.boot_id)
        remaining = self._in_use[key] - 1
        if remaining:
            self._in_use[key] = remaining
        else:
            del self._in_use[key]

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Do nothing, since only ``release`` makes permits available."""
