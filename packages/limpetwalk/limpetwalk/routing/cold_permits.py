"""Permits for work at backend servers in cold start."""

from collections.abc import Callable
from dataclasses import dataclass
import math
from typing import Protocol

from ..conf import snapshot


@dataclass(frozen=True, slots=True)
class Permit:
    """Right to have one request in flight at a cold backend server.

    :param server: name of the server.
    :param boot_id: boot that it is for.
    :param fencing: fencing number of the grantor's lease; 0 for a permit
        out of the node's own share.
    :param expires_at: monotonic instant of this node by which the request
        must have ended.
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
        """Return a permit if one is at hand.

        A source that has to ask for permits starts to do so, and calls the
        subscribers once it has some.
        """
        ...

    def release(self, permit: Permit) -> None:
        """Give a permit back."""
        ...

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Call back with the name of a server that has permits again."""
        ...


class LocalPermits:
    """Permits out of the node's own share of the allowance.

    Each node may use ``floor(allowance / nodes)``, so that all nodes
    together stay within the allowance without talking.

    :param live_nodes: number of entry nodes, this one included; it must
        not shrink because this node is cut off from the others.
    """

    def __init__(self, live_nodes: Callable[[], int]) -> None:
        self._live_nodes = live_nodes
        self._held: dict[tuple[str, str], int] = {}

    def try_acquire(
        self, server: snapshot.Server, boot_id: str
    ) -> Permit | None:
        """Return a permit if this node's share has one left."""
        nodes = max(1, self._live_nodes())
        limit = server.warmup.concurrency // nodes
        key = (server.name, boot_id)
        held = self._held.get(key, 0)
        if held >= limit:
            return None
        self._held[key] = held + 1
        return Permit(server.name, boot_id)

    def release(self, permit: Permit) -> None:
        """Give a permit back."""
        key = (permit.server, permit.boot_id)
        left = self._held[key] - 1
        if left:
            self._held[key] = left
        else:
            del self._held[key]

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Do nothing: permits come back only by ``release``."""
