"""State of backend servers at this node, indexed for a choice."""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from dataclasses import dataclass
import random

import xxhash

from .. import clock as clocks
from .. import registry
from ..backends import base as backends
from ..conf import snapshot
from . import boots
from . import circuit
from . import limiter

REPORT_MAX_AGE_SECONDS = 3.0
GROUP_SIZE = 32
# Time in which a node raises its requests at a replica to the full share after
# operators return the server to service.
RAMP_SECONDS = 10.0
RAMP_MIN_FACTOR = 0.1
# A short queue at a replica costs less than an idle replica while requests
# wait at the nodes.
OVERCOMMIT_FACTOR = 1.5

ClientFactory = Callable[
    [snapshot.Server, snapshot.Tuning], backends.BackendClient
]


def build_client(
    server: snapshot.Server, tuning: snapshot.Tuning
) -> backends.BackendClient:
    """Return a client for the protocol that a server is declared with."""
    factory = registry.get(registry.Kind.BACKEND_PROTOCOL, server.protocol)
    return factory(server, tuning)


@dataclass(frozen=True, slots=True)
class NodeContext:
    """Zone of a node and state of the fleet around it.

    :param zone: its availability zone.
    :param known_nodes: returns the number of known entry nodes, this one
        included.
    :param leaving: returns the addresses of instances that take no new work.
    """

    zone: str = ""
    known_nodes: Callable[[], int] = lambda: 1
    leaving: Callable[[], frozenset[str]] = frozenset


class Replica:
    """Backend server with its state at this node.

    :param server: its declaration in the snapshot in force.
    :param client: its client.
    :param rng: random source of its circuit.
    """

    def __init__(
        self,
        server: snapshot.Server,
        client: backends.BackendClient,
        rng: random.Random,
    ) -> None:
        self.server = server
        self.client = client
        self.name_hash = xxhash.xxh32_intdigest(server.name.encode())
        self.in_flight = 0
        self.boot = boots.Boot()
        self.circuit = circuit.Circuit(rng)
        self.limiter = limiter.Limiter()
        self.ramp_started_at: float | None = None
        self.suspected_in_flight = 0
        # Random, so that nodes that start together choose among idle replicas
        # in different orders.
        self.last_sent_at = -rng.random()
        self._others_in_flight = 0
        self._sampled_at = float("-inf")
        # Starts and ends of this node's requests as (instant, +1 or -1), and
        # their sum since the last load report was sampled.
        self._in_flight_changes: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._change_since_sample = 0

    @property
    def name(self) -> str:
        """Name of the server."""
        return self.server.name

    def is_cold(self, now: float) -> bool:
        """Return whether requests to the server need permits."""
        return self.boot.is_cold(self.server.warmup, now)

    def is_fresh(self, now: float) -> bool:
        """Return whether the last load report is recent enough to be used."""
        return now - self._sampled_at < REPORT_MAX_AGE_SECONDS

    def estimated_in_flight(self, now: float) -> float:
        """Return the estimated requests of all nodes at the server.

        The share of the other nodes is as old as the load report, so the
        estimate shows which replicas are full, not which has the least load.
        """
        others = self._others_in_flight if self.is_fresh(now) else 0
        return float(self.in_flight + others)

    def has_room(self, now: float, nodes: int) -> bool:
        """Return whether this node may send one more request.

        A node may always use its share of the concurrency. It may use up to
        twice the share while a fresh report shows free concurrency.

        :param nodes: number of entry nodes.
        """
        share = max(1, self.server.concurrency // nodes)
        allowed = share * self.limiter.factor * self._ramp_factor(now)
        if self.in_flight < max(1.0, allowed):
            return True
        if self.in_flight >= 2 * allowed or not self.is_fresh(now):
            return False
        return (
            self.estimated_in_flight(now)
            < OVERCOMMIT_FACTOR * self.server.concurrency
        )

    def start(self, now: float) -> None:
        """Record that a request is sent."""
        self.in_flight += 1
        self.last_sent_at = now
        self._record_change(now, 1)
        self.boot.note_sent(now)
        self.circuit.start()

    def finish(self, now: float) -> None:
        """Record that a request has ended."""
        self.in_flight -= 1
        self._record_change(now, -1)

    def apply_load_report(
        self, report: backends.LoadReport, now: float
    ) -> bool:
        """Apply a load report that this node or a peer has read.

        :returns: whether the server has restarted.
        """
        sampled_at = now - report.age
        self.circuit.record_load_read(sampled_at)
        if sampled_at > self._sampled_at:
            self._sampled_at = sampled_at
            self._drop_changes(sampled_at)
            own = self.in_flight - self._change_since_sample
            self._others_in_flight = max(
                0, report.running + report.waiting - own
            )
        return self.boot.update(report.boot_id, sampled_at)

    def _record_change(self, now: float, by: int) -> None:
        self._in_flight_changes.append((now, by))
        self._change_since_sample += by
        # Reports older than that are not used, so neither are the changes.
        self._drop_changes(now - REPORT_MAX_AGE_SECONDS)

    def _drop_changes(self, until: float) -> None:
        while (
            self._in_flight_changes and self._in_flight_changes[0][0] <= until
        ):
            self._change_since_sample -= self._in_flight_changes.popleft()[1]

    def _ramp_factor(self, now: float) -> float:
        if self.ramp_started_at is None:
            return 1.0
        elapsed = (now - self.ramp_started_at) / RAMP_SECONDS
        return min(1.0, max(RAMP_MIN_FACTOR, elapsed))


class Tier:
    """Replicas of one version or service at one distance, near or far.

    They are also split into groups by the hash of their names, so that the
    replica of an affinity key is found in two steps and adding or removing
    a replica only moves keys of its own group.
    """

    def __init__(self, members: list[Replica]) -> None:
        self.replicas = members
        group_count = 1
        while group_count * GROUP_SIZE < len(members):
            group_count *= 2
        groups: list[list[Replica]] = [[] for _ in range(group_count)]
        for replica in members:
            groups[replica.name_hash % group_count].append(replica)
        self.groups = groups


@dataclass(frozen=True, slots=True)
class Candidates:
    """Replicas of one version or service.

    :param near: those in the node's own region.
    :param far: those in other regions.
    """

    near: Tier
    far: Tier


@dataclass(slots=True)
class Index:
    """Index of the replicas of a snapshot, built once for each snapshot.

    :param by_name: all replicas by name.
    :param by_subject: replicas in service by version or service.
    :param near_zones: names of the zones in the node's region.
    """

    snap: snapshot.Snapshot
    by_name: dict[str, Replica]
    by_subject: dict[Hashable, Candidates]
    near_zones: frozenset[str]


class Directory:
    """Replicas of the snapshot in force.

    :param config: returns the snapshot in force.
    :param clock: clock of the node.
    :param rng: random source of the circuits.
    :param node_context: zone of the node and state of the fleet.
    :param factory: creates the client of a server.
    """

    def __init__(
        self,
        config: Callable[[], snapshot.AppliedSnapshot],
        clock: clocks.Clock,
        rng: random.Random,
        node_context: NodeContext | None = None,
        factory: ClientFactory = build_client,
    ) -> None:
        self.node_context = node_context or NodeContext()
        self._config = config
        self._clock = clock
        self._rng = rng
        self._factory = factory
        self._index: Index | None = None
        self._retired: list[Replica] = []

    def current(self) -> Index:
        """Return the index of the snapshot in force."""
        snap = self._config().snapshot
        if self._index is None or self._index.snap is not snap:
            self._index = self._build(snap)
        return self._index

    def replica(self, name: str) -> Replica | None:
        """Return a replica by the name of its server."""
        return self.current().by_name.get(name)

    async def close(self) -> None:
        """Close all clients."""
        replicas = list(self._retired)
        if self._index is not None:
            replicas.extend(self._index.by_name.values())
        self._retired.clear()
        for replica in replicas:
            await replica.client.close()

    async def close_retired(self) -> None:
        """Close the clients of removed servers that have no requests."""
        idle = [replica for replica in self._retired if not replica.in_flight]
        self._retired = [
            replica for replica in self._retired if replica.in_flight
        ]
        for replica in idle:
            await replica.client.close()

    def _build(self, snap: snapshot.Snapshot) -> Index:
        old_replicas = self._index.by_name if self._index else {}
        index = Index(snap, {}, {}, self._near_zones(snap))
        in_service: dict[Hashable, list[Replica]] = {}
        for server in snap.servers.values():
            replica = self._update_or_create(
                old_replicas.get(server.name), server, snap.tuning
            )
            index.by_name[server.name] = replica
            if is_in_service(server, snap):
                for subject in served_subjects(server):
                    in_service.setdefault(subject, []).append(replica)
        for subject, members in in_service.items():
            index.by_subject[subject] = _candidates(members, index.near_zones)
        for name, replica in old_replicas.items():
            if index.by_name.get(name) is not replica:
                self._retired.append(replica)
        return index

    def _update_or_create(
        self,
        old: Replica | None,
        server: snapshot.Server,
        tuning: snapshot.Tuning,
    ) -> Replica:
        if old is None or _needs_new_client(old.server, server):
            return Replica(server, self._factory(server, tuning), self._rng)
        self._start_ramp_on_return(old, server)
        old.server = server
        return old

    def _start_ramp_on_return(
        self, old: Replica, server: snapshot.Server
    ) -> None:
        assert self._index is not None
        was_in = is_in_service(old.server, self._index.snap)
        is_in = is_in_service(server, self._config().snapshot)
        if is_in and not was_in:
            old.ramp_started_at = self._clock.monotonic()

    def _near_zones(self, snap: snapshot.Snapshot) -> frozenset[str]:
        own = snap.zones.get(self.node_context.zone)
        return frozenset(
            name
            for name, zone in snap.zones.items()
            if own is None or zone.region == own.region
        )


def is_in_service(server: snapshot.Server, snap: snapshot.Snapshot) -> bool:
    """Return whether operators let a backend server receive new work."""
    zone = snap.zones.get(server.zone)
    if zone is None or zone.state is snapshot.PlacementState.OUT:
        return False
    return server.state is snapshot.PlacementState.IN


def _needs_new_client(old: snapshot.Server, new: snapshot.Server) -> bool:
    return (old.address, old.protocol) != (new.address, new.protocol)


def served_subjects(server: snapshot.Server) -> list[Hashable]:
    """Return the versions and the service that a server is a replica of."""
    served: list[Hashable] = list(server.serves)
    if server.service:
        served.append(server.service)
    return served


def _candidates(
    members: list[Replica], near_zones: frozenset[str]
) -> Candidates:
    near = [item for item in members if item.server.zone in near_zones]
    far = [item for item in members if item.server.zone not in near_zones]
    return Candidates(Tier(near), Tier(far))
