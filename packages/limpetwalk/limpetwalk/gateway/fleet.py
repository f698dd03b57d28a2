"""Backend servers as this node believes them to be."""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import math

from .. import clock as clocks
from . import types

# Servers whose entries lapsed in an outage of the store register again
# within about this long of its return; until then they may be in use.
# Seconds; the platform states it.
EXPIRY_GRACE = 2.0
# Time in which a server's failures lose half of their weight, seconds.
# Some requests of each node fall into it at the sizes served.
FAILURE_HALF_LIFE = 4.0
# Failures in a row after which a server is left alone for a while.
FAILURES_TO_BACK_OFF = 2
# First and longest time for which it is left alone, seconds. The first is
# short because a single request may be to blame, the longest stays below
# the time in which a crashed server is back.
FIRST_BACKOFF = 0.4
MAX_BACKOFF = 3.0


@dataclass(slots=True)
class ServerHealth:
    """What this node has seen of a server itself.

    :param in_flight: requests of this node at the server.
    :param failing: recent failures by weight, halved every
        ``FAILURE_HALF_LIFE``.
    :param seen: recent outcomes by weight, halved alike.
    """

    in_flight: int = 0
    failing: float = 0.0
    seen: float = 0.0
    failures_in_row: int = 0
    backoff_until: float = -math.inf
    _rest: float = FIRST_BACKOFF
    _updated: float = 0.0

    def note(self, failed: bool, now: float, unreached: bool = False) -> None:
        """Note the outcome of a request.

        :param unreached: whether there was not even a connection. A server
            that is down refuses each one, so a single one is enough.
        """
        self._decay(now)
        self.seen += 1.0
        if not failed:
            self.failures_in_row = 0
            self._rest = FIRST_BACKOFF
            return
        self.failing += 1.0
        self.failures_in_row += 1
        if unreached or self.failures_in_row >= FAILURES_TO_BACK_OFF:
            self.backoff_until = now + self._rest
            self._rest = min(MAX_BACKOFF, self._rest * 2)

    def failure_share(self, now: float) -> float:
        """Return the share of recent requests that failed.

        One success is assumed besides what was seen, so that a single
        failure does not condemn a server.
        """
        self._decay(now)
        return self.failing / (self.seen + 1.0)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._updated) / FAILURE_HALF_LIFE)
        self.failing *= factor
        self.seen *= factor
        self._updated = now


@dataclass(slots=True)
class Member:
    """Server of the fleet.

    :param entry: what the server says of itself.
    :param row_version: version of the row that told it.
    :param cold_until: instant at which it stops being cold.
    :param expires_at: instant at which a lapsed entry is taken for gone.
    """

    entry: types.Server
    row_version: int
    cold_until: float = -math.inf
    expires_at: float = math.inf
    health: ServerHealth = field(default_factory=ServerHealth)

    @property
    def id(self) -> str:
        """Identifier of the server."""
        return self.entry.id

    def is_cold(self, now: float) -> bool:
        """Whether the server is cold."""
        return now < self.cold_until


class Fleet:
    """Servers, by the entries that they keep at the platform.

    :param clock: source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._by_service: dict[str, list[Member]] = {}
        self._trusted_versions: dict[str, set[str]] = {}
        self._store_back_at = -math.inf
        self.evacuated: frozenset[str] = frozenset()
        self.fully_read = False

    def record_store_recovery(self) -> None:
        """Note that the store answers again after it was away."""
        self._store_back_at = self._clock.monotonic()

    def put(self, entry: types.Server, row_version: int) -> Member | None:
        """Take over an entry.

        :returns: the server, or None when a newer entry is known.
        """
        now = self._clock.monotonic()
        held = self._members.get(entry.id)
        if held is not None and held.row_version > row_version:
            return None
        if held is None or held.entry.boot_ms != entry.boot_ms:
            held = Member(entry, row_version)
        held.entry, held.row_version = entry, row_version
        held.expires_at = math.inf
        held.cold_until = now + entry.cold_left
        self._members[entry.id] = held
        self._index()
        return held

    def remove(self, server_id: str) -> bool:
        """Take a server out whose entry is gone.

        :returns: whether it is out now; just after an outage of the store
            it stays a little, since entries lapse in one.
        """
        held = self._members.get(server_id)
        if held is None:
            return True
        until = self._store_back_at + EXPIRY_GRACE
        if self._clock.monotonic() < until and not held.entry.leaving:
            held.expires_at = min(held.expires_at, until)
            return False
        del self._members[server_id]
        self._index()
        return True

    def retain_only(self, ids: Iterable[str]) -> list[str]:
        """Remove servers that a whole read of the table did not show.

        :returns: identifiers of the servers that are out now.
        """
        gone = set(self._members) - set(ids)
        self.fully_read = True
        out = [server_id for server_id in gone if self.remove(server_id)]
        for service, members in self._by_service.items():
            if service not in self._trusted_versions:
                versions = {held.entry.version for held in members}
                self._trusted_versions[service] = versions
        return out

    def members(self, service: str) -> list[Member]:
        """Return the servers of a service, usable or not."""
        return self._by_service.get(service, [])

    def get(self, server_id: str) -> Member | None:
        """Return a server by its identifier."""
        return self._members.get(server_id)

    def usable(self, service: str) -> Iterator[Member]:
        """Yield servers that may be sent new work."""
        now = self._clock.monotonic()
        for held in self.members(service):
            entry = held.entry
            if entry.leaving or now >= held.expires_at:
                continue
            if entry.zone in self.evacuated:
                continue
            yield held

    def trusted_versions(self, service: str) -> set[str]:
        """Return versions that served before any roll-out was ordered."""
        return self._trusted_versions.setdefault(service, set())

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def __len__(self) -> int:
        return len(self._members)

    def _index(self) -> None:
        index: dict[str, list[Member]] = {}
        for held in self._members.values():
            index.setdefault(held.entry.service, []).append(held)
        self._by_service = index
