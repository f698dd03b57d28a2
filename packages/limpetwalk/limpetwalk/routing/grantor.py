"""Grantor of warm-up permits for one cold backend server.

One node holds the lease to grant. Each permit has a lifetime that the
grantor counts from when it grants and the holder from when it asked, so the
holder always gives up first. A grantor that takes over does not know what
its predecessor granted, so it waits for a whole lifetime before it grants
anything.
"""

from dataclasses import dataclass

from .. import clock as clocks
from ..conf import snapshot
from . import warmup

MARGIN = 1.0


@dataclass(frozen=True, slots=True)
class Grant:
    """Permits granted to a node at once.

    :param count: permits, possibly none.
    :param fencing: fencing number of the grantor's lease.
    :param ttl: lifetime in seconds, from when the node asked.
    """

    count: int
    fencing: int
    ttl: float


@dataclass(slots=True)
class _Granted:
    node: str
    boot_id: str
    count: int
    expires_at: float


class Grantor:
    """Grants permits while its lease lasts.

    :param server: backend server.
    :param fencing: fencing number of the lease.
    :param lease_until: monotonic instant at which the lease ends; moved by
        ``extend``.
    :param ttl: lifetime of a permit, in seconds.
    :param nodes: entry nodes; their own shares are left to them.
    :param fresh: whether no earlier grantor can have permits out.
    """

    def __init__(
        self,
        server: snapshot.Server,
        fencing: int,
        lease_until: float,
        ttl: float,
        nodes: int,
        clock: clocks.Clock,
        fresh: bool = False,
    ) -> None:
        self.fencing = fencing
        self._server = server
        self._lease_until = lease_until
        self._ttl = ttl
        self._nodes = max(1, nodes)
        self._clock = clock
        self._granted: list[_Granted] = []
        now = clock.monotonic()
        # The predecessor may grant until its lease ends, which this lease
        # proves to be over; its permits then last for one lifetime more.
        self._grants_from = now if fresh else now + ttl + MARGIN

    def extend(self, lease_until: float) -> None:
        """Note that the lease was renewed."""
        self._lease_until = max(self._lease_until, lease_until)

    @property
    def limit(self) -> int:
        """Permits that may be out at once."""
        allowance = self._server.warmup.concurrency
        own = warmup.local_share(allowance, self._nodes, warmup.LOCAL_PART)
        return allowance - own * self._nodes

    def grant(self, node: str, boot_id: str, count: int) -> Grant:
        """Grant up to a number of permits.

        Permits of an earlier boot still count until they are returned or
        end: a node that has not seen the new boot may yet use them.

        :param node: node that asks.
        :param boot_id: boot that the permits are for.
        :param count: permits asked for.
        """
        now = self._clock.monotonic()
        if now >= self._lease_until or now < self._grants_from:
            return Grant(0, self.fencing, self._ttl)
        self._granted = [
            held for held in self._granted if held.expires_at > now
        ]
        out = sum(held.count for held in self._granted)
        given = max(0, min(count, self.limit - out))
        if given:
            expires_at = now + self._ttl + MARGIN
            self._granted.append(_Granted(node, boot_id, given, expires_at))
        return Grant(given, self.fencing, self._ttl)

    def give_back(self, node: str, boot_id: str, count: int) -> None:
        """Take back permits that a node no longer uses."""
        for held in self._granted:
            if (held.node, held.boot_id) == (node, boot_id) and count:
                taken = min(held.count, count)
                held.count -= taken
                count -= taken
        self._granted = [held for held in self._granted if held.count]
