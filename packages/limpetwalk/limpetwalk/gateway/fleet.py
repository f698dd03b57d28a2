"""Backend servers and their health, as known to this node."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import math

from .. import clock as clocks
from . import types

# Seconds within which servers whose entries expired in an outage of the store
# register again after its recovery, as the platform states. Until then they
# may still be used.
EXPIRY_GRACE = 2.0
# Time after which an entry that was read at a node's start, or from the copy
# of a restored store, shows that its server is up, in seconds: entries expire
# after three intervals of about a second.
ENTRY_PROOF_TIME = 5.0
# Half-life of a recorded outcome's weight, in seconds. At the supported
# deployment sizes, each node sends a server several requests in this time.
FAILURE_HALF_LIFE = 4.0
# Consecutive failures after which a server is backed off.
FAILURES_TO_BACK_OFF = 2
# First and longest backoff, in seconds. The first is short because a single
# request may be the cause; the longest is shorter than the restart of a
# crashed server.
FIRST_BACKOFF = 0.4
MAX_BACKOFF = 3.0
# Removed servers whose last entries are remembered.
MAX_REMOVED = 1000


@dataclass(slots=True)
class ServerHealth:
    """Health of a server, from the outcomes of this node's requests.

    :param in_flight: requests of this node at the server.
    :param failure_weight: weight of recent failures, halved every
        ``FAILURE_HALF_LIFE``.
    :param outcome_weight: weight of all recent outcomes, halved likewise.
    :param failures_in_row: failures since the last success.
    :param backoff_until: instant at which the backoff ends.
    :param unreached_since: instant since which no connection was established,
        None while it is up.
    """

    in_flight: int = 0
    failure_weight: float = 0.0
    outcome_weight: float = 0.0
    failures_in_row: int = 0
    backoff_until: float = -math.inf
    unreached_since: float | None = None
    _next_backoff: float = FIRST_BACKOFF
    _decayed_at: float = 0.0

    def record(
        self, failed: bool, now: float, unreached: bool = False
    ) -> None:
        """Record the outcome of a request.

        :param failed: whether the request failed.
        :param now: current instant.
        :param unreached: whether no connection was established. A server
            that is down refuses every connection, so a single refusal starts
            the backoff.
        """
        self._decay(now)
        self.outcome_weight += 1.0
        if not unreached:
            self.unreached_since = None
        elif self.unreached_since is None:
            self.unreached_since = now
        if not failed:
            self.failures_in_row = 0
            self._next_backoff = FIRST_BACKOFF
            return
        self.failure_weight += 1.0
        self.failures_in_row += 1
        if unreached or self.failures_in_row >= FAILURES_TO_BACK_OFF:
            self.backoff_until = now + self._next_backoff
            self._next_backoff = min(MAX_BACKOFF, self._next_backoff * 2)

    def forget_unreached(self) -> None:
        """Forget failures to connect, which were not the server's."""
        if self.unreached_since is not None:
            self.unreached_since = None
            self.failures_in_row = 0
            self.failure_weight = 0.0
            self.backoff_until = -math.inf
            self._next_backoff = FIRST_BACKOFF

    def failure_share(self, now: float) -> float:
        """Return the share of recent requests that failed, 0 to 1.

        One success is added to the recorded outcomes, so that a single
        failure does not rule a server out.
        """
        self._decay(now)
        return self.failure_weight / (self.outcome_weight + 1.0)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._decayed_at) / FAILURE_HALF_LIFE)
        self.failure_weight *= factor
        self.outcome_weight *= factor
        self._decayed_at = now


@dataclass(slots=True)
class Member:
    """Server of the fleet.

    :param entry: registration of the server.
    :param row_version: version of the row that holds the entry.
    :param cold_until: instant at which it stops being cold.
    :param expires_at: instant from which a server whose entry was removed
        is no longer used.
    :param health: health of the server as seen by this node.
    :param heard_at: instant at which it last answered this node.
    :param was_away: whether it got no requests of this node until now, because
        it was leaving, evacuated, paused or backing off.
    """

    entry: types.Server
    row_version: types.Version
    cold_until: float = -math.inf
    expires_at: float = math.inf
    health: ServerHealth = field(default_factory=ServerHealth)
    heard_at: float = -math.inf
    was_away: bool = False

    @property
    def id(self) -> str:
        """Identifier of the server."""
        return self.entry.id

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold."""
        return now < self.cold_until


class Fleet:
    """Servers that are registered at the platform.

    :param clock: source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._removed: collections.OrderedDict[str, types.Server] = (
            collections.OrderedDict()
        )
        self._by_service: dict[str, list[Member]] = {}
        self._trusted_versions: dict[str, set[str]] = {}
        self._store_recovered_at = -math.inf
        # Starts of servers that have said that they leave.
        self._said_leaving: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # Instant of the first read, or of the store's last restoration.
        self._doubted_at = -math.inf
        self.evacuated: frozenset[str] = frozenset()
        self.fully_read = False

    def record_store_recovery(self) -> None:
        """Record that the store responds again after an outage."""
        self._store_recovered_at = self._clock.monotonic()

    def doubt_entries(self) -> None:
        """Record that entries may be of servers that are gone."""
        self._doubted_at = self._clock.monotonic()

    def put(
        self, entry: types.Server, row_version: types.Version
    ) -> Member | None:
        """Add or update the entry of a server.

        :returns: the server, or None when a newer entry is known.
        """
        now = self._clock.monotonic()
        member = self._members.get(entry.id)
        if member is not None and member.row_version > row_version:
            return None
        self._removed.pop(entry.id, None)
        if member is None or member.entry.boot_ms != entry.boot_ms:
            member = Member(entry, row_version)
        member.entry, member.row_version = entry, row_version
        member.expires_at = math.inf
        member.cold_until = now + entry.cold_left
        self._members[entry.id] = member
        self._index()
        return member

    def remove(self, server_id: str) -> bool:
        """Remove a server whose entry was removed.

        Entries expire in an outage of the store. For ``EXPIRY_GRACE`` after
        its recovery a server is kept, unless it was leaving.

        :returns: whether the server is removed now.
        """
        member = self._members.get(server_id)
        if member is None:
            return True
        until = self._store_recovered_at + EXPIRY_GRACE
        if self._clock.monotonic() < until and not member.entry.leaving:
            member.expires_at = min(member.expires_at, until)
            return False
        del self._members[server_id]
        self._removed[server_id] = member.entry
        if len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)
        self._index()
        return True

    def record_leaving(self, entry: types.Server) -> bool:
        """Record that a server has said that it leaves.

        This goes before its entry, until it starts again.

        :returns: whether that is news.
        """
        if entry.start in self._said_leaving:
            return False
        self._said_leaving[entry.start] = None
        if len(self._said_leaving) > MAX_REMOVED:
            self._said_leaving.popitem(last=False)
        return True

    def is_leaving(self, entry: types.Server) -> bool:
        """Return whether a server takes no new requests."""
        return entry.leaving or entry.start in self._said_leaving

    def is_outdated(self, entry: types.Server) -> bool:
        """Return whether a later state of a server is known.

        The versions of a copy from which the store was restored don't tell,
        but a server counts its own entries.
        """
        member = self._members.get(entry.id)
        known = member.entry if member else self._removed.get(entry.id)
        if known is None:
            return False
        if entry.boot_ms != known.boot_ms:
            return entry.boot_ms < known.boot_ms
        if member is None:
            return entry.sequence <= known.sequence
        has_returned = known.leaving and not entry.leaving
        return entry.sequence < known.sequence or has_returned

    def retain_only(self, ids: Iterable[str]) -> list[str]:
        """Remove servers that are missing from a full read of the table.

        :param ids: identifiers of the servers that were read.
        :returns: identifiers of the servers that are removed now.
        """
        missing = set(self._members) - set(ids)
        if not self.fully_read:
            self.doubt_entries()
        self.fully_read = True
        removed = [
            server_id for server_id in missing if self.remove(server_id)
        ]
        for service, members in self._by_service.items():
            if service not in self._trusted_versions:
                versions = {member.entry.version for member in members}
                self._trusted_versions[service] = versions
        return removed

    def members(self, service: str) -> list[Member]:
        """Return all servers of a service, usable or not."""
        return self._by_service.get(service, [])

    def get(self, server_id: str) -> Member | None:
        """Return a server by its identifier, or None when it is unknown."""
        return self._members.get(server_id)

    def usable(self, service: str) -> Iterator[Member]:
        """Yield the servers of a service that may be sent new requests."""
        now = self._clock.monotonic()
        for member in self.members(service):
            entry = member.entry
            if self.is_leaving(entry) or now >= member.expires_at:
                member.was_away = True
                continue
            if entry.zone in self.evacuated:
                member.was_away = True
                continue
            yield member

    def proven_versions(self, service: str) -> set[str]:
        """Return the versions of the usable servers that are known to be up.

        A server has answered since its entry was in doubt, or the entry has
        outlasted the time in which it would have expired.
        """
        doubted_at = self._doubted_at
        settled = self._clock.monotonic() - doubted_at >= ENTRY_PROOF_TIME
        return {
            member.entry.version
            for member in self.usable(service)
            if settled or member.heard_at >= doubted_at
        }

    def trusted_versions(self, service: str) -> set[str]:
        """Return the versions that served before any roll-out was ordered."""
        return self._trusted_versions.setdefault(service, set())

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def __len__(self) -> int:
        return len(self._members)

    def _index(self) -> None:
        index: dict[str, list[Member]] = {}
        for member in self._members.values():
            index.setdefault(member.entry.service, []).append(member)
        self._by_service = index
