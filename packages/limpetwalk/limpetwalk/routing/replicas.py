"""Backend servers as this node sees them, indexed for a choice."""

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
RAMP_SECONDS = 10.0
RAMP_MIN_FACTOR = 0.1
# Nodes that queue while a replica idles cost more than a short queue at it.
OVERCOMMIT_FACTOR = 1.5

ClientFactory = Callable[
    [snapshot.Server, snapshot.Tuning], backends.BackendClient
]


def build_client(
    server: snapshot.Server, tuning: snapshot.Tuning
) -> backends.BackendClient:
    """Return a client of the protocol that a server is declared with."""
    factory = registry.get(registry.Kind.BACKEND_PROTOCOL, server.protocol)
    return factory(server, tuning)


@dataclass(frozen=True, slots=True)
class NodeContext:
    """What a node knows of where it runs.

    :param zone: its availability zone.
    :param live_nodes: number of entry nodes, this one included.
    :param leaving: addresses of the instances that take no new work.
    """

    zone: str = ""
    live_nodes: Callable[[], int] = lambda: 1
    leaving: Callable[[], frozenset[str]] = frozenset


class Replica:
    """Backend server with what this node knows of it.

    :param server: its declaration in the snapshot in force.
    :param client: its client.
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
        self.suspects_in_flight = 0
        # Nodes that start together go round in different orders.
        self.last_sent_at = -rng.random()
        self._others = 0
        self._sampled_at = float("-inf")
        # Starts and ends of this node's requests, and their sum.
        self._changes: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._since = 0

    @property
    def name(self) -> str:
        """Name of the server."""
        return self.server.name

    def is_cold(self, now: float) -> bool:
        """Whether it may only be sent what it has permits for."""
        return self.boot.is_cold(self.server.warmup, now)

    def is_fresh(self, now: float) -> bool:
        """Whether the load report is recent enough to be believed."""
        return now - self._sampled_at < REPORT_MAX_AGE_SECONDS

    def estimated_in_flight(self, now: float) -> float:
        """Return the estimated requests at the server, of all nodes.

        Those of the others are as old as the load report, so this serves
        to find what is full and not to tell which replica has least.
        """
        others = self._others if self.is_fresh(now) else 0
        return float(self.in_flight + others)

    def has_room(self, now: float, nodes: int) -> bool:
        """Whether this node may send one more request.

        Its share of the concurrency is always its own; beyond it, up to
        twice the share, it may use what a fresh report shows as free.
        """
        share = max(1, self.server.concurrency // nodes)
        allowed = share * self.limiter.factor * self._ramp(now)
        if self.in_flight < max(1.0, allowed):
            return True
        if self.in_flight >= 2 * allowed or not self.is_fresh(now):
            return False
        return (
            self.estimated_in_flight(now)
            < OVERCOMMIT_FACTOR * self.server.concurrency
        )

    def start(self, now: float) -> None:
        """Note that a request is sent."""
        self.in_flight += 1
        self.last_sent_at = now
        self._change(now, 1)
        self.boot.note_sent(now)
        self.circuit.start()

    def finish(self, now: float) -> None:
        """Note that a request has ended."""
        self.in_flight -= 1
        self._change(now, -1)

    def apply_load_report(
        self, report: backends.LoadReport, now: float
    ) -> bool:
        """Take a load report, of this node or of a peer.

        :returns: whether the server has started anew.
        """
        sampled_at = now - report.age
        self.circuit.record_load_read(sampled_at)
        if sampled_at > self._sampled_at:
            self._sampled_at = sampled_at
            self._forget(sampled_at)
            own = self.in_flight - self._since
            self._others = max(0, report.running + report.waiting - own)
        return self.boot.update(report.boot_id, sampled_at)

    def _change(self, now: float, by: int) -> None:
        self._changes.append((now, by))
        self._since += by
        # Reports that old are not believed, so neither are these needed.
        self._forget(now - REPORT_MAX_AGE_SECONDS)

    def _forget(self, until: float) -> None:
        while self._changes and self._changes[0][0] <= until:
            self._since -= self._changes.popleft()[1]

    def _ramp(self, now: float) -> float:
        if self.ramp_started_at is None:
            return 1.0
        passed = (now - self.ramp_started_at) / RAMP_SECONDS
        return min(1.0, max(RAMP_MIN_FACTOR, passed))


class Tier:
    """Replicas of one version or service at one distance.

    They are also split into groups by the hash of their names, so that a
    key finds its replica in two steps and a replica that comes or goes
    moves keys of its own group only.
    """

    def __init__(self, held: list[Replica]) -> None:
        self.replicas = held
        number = 1
        while number * GROUP_SIZE < len(held):
            number *= 2
        groups: list[list[Replica]] = [[] for _ in range(number)]
        for replica in held:
            groups[replica.name_hash % number].append(replica)
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
    """Replicas that may be chosen, built once for each snapshot.

    :param by_name: all replicas by name.
    :param by_subject: replicas by the version or service that they serve.
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
    :param node_context: what the node knows of where it runs.
    :param factory: makes the client of a server.
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
        held = list(self._retired)
        if self._index is not None:
            held.extend(self._index.by_name.values())
        self._retired.clear()
        for replica in held:
            await replica.client.close()

    async def close_retired(self) -> None:
        """Close the clients of servers that were removed, once idle."""
        idle = [held for held in self._retired if not held.in_flight]
        self._retired = [held for held in self._retired if held.in_flight]
        for replica in idle:
            await replica.client.close()

    def _build(self, snap: snapshot.Snapshot) -> Index:
        old = self._index.by_name if self._index else {}
        index = Index(snap, {}, {}, self._near_zones(snap))
        chosen: dict[Hashable, list[Replica]] = {}
        for server in snap.servers.values():
            replica = self._keep(old.get(server.name), server, snap.tuning)
            index.by_name[server.name] = replica
            if is_in_service(server, snap):
                for subject in served_subjects(server):
                    chosen.setdefault(subject, []).append(replica)
        for subject, held in chosen.items():
            index.by_subject[subject] = _candidates(held, index.near_zones)
        for name, replica in old.items():
            if index.by_name.get(name) is not replica:
                self._retired.append(replica)
        return index

    def _keep(
        self,
        old: Replica | None,
        server: snapshot.Server,
        tuning: snapshot.Tuning,
    ) -> Replica:
        if old is None or _is_other(old.server, server):
            return Replica(server, self._factory(server, tuning), self._rng)
        self._note_return(old, server)
        old.server = server
        return old

    def _note_return(self, old: Replica, server: snapshot.Server) -> None:
        assert self._index is not None
        was_in = is_in_service(old.server, self._index.snap)
        comes_in = is_in_service(server, self._config().snapshot)
        if comes_in and not was_in:
            old.ramp_started_at = self._clock.monotonic()

    def _near_zones(self, snap: snapshot.Snapshot) -> frozenset[str]:
        own = snap.zones.get(self.node_context.zone)
        return frozenset(
            name
            for name, zone in snap.zones.items()
            if own is None or zone.region == own.region
        )


def is_in_service(server: snapshot.Server, snap: snapshot.Snapshot) -> bool:
    """Whether operators let a backend server receive new work."""
    zone = snap.zones.get(server.zone)
    if zone is None or zone.state is snapshot.PlacementState.OUT:
        return False
    return server.state is snapshot.PlacementState.IN


def _is_other(old: snapshot.Server, new: snapshot.Server) -> bool:
    return (old.address, old.protocol) != (new.address, new.protocol)


def served_subjects(server: snapshot.Server) -> list[Hashable]:
    """Return the versions and the service that a server is a replica of."""
    found: list[Hashable] = list(server.serves)
    if server.service:
        found.append(server.service)
    return found


def _candidates(held: list[Replica], near_zones: frozenset[str]) -> Candidates:
    near = [item for item in held if item.server.zone in near_zones]
    far = [item for item in held if item.server.zone not in near_zones]
    return Candidates(Tier(near), Tier(far))
