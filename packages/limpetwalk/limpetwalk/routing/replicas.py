"""Backend servers as this node sees them, indexed for a choice."""

from collections.abc import Callable
from collections.abc import Hashable
from dataclasses import dataclass
from dataclasses import field

from .. import registry
from ..backends import base as backends
from ..conf import snapshot

ClientFactory = Callable[
    [snapshot.Server, snapshot.Tuning], backends.BackendClient
]


def build_client(
    server: snapshot.Server, tuning: snapshot.Tuning
) -> backends.BackendClient:
    """Return a client of the protocol that a server is declared with."""
    factory = registry.get(registry.Kind.BACKEND_PROTOCOL, server.protocol)
    return factory(server, tuning)


@dataclass(slots=True, eq=False)
class Replica:
    """Backend server with what this node knows of it.

    :param server: its declaration in the snapshot in force.
    :param client: its client.
    :param in_flight: requests of this node at it.
    """

    server: snapshot.Server
    client: backends.BackendClient
    in_flight: int = 0

    @property
    def name(self) -> str:
        """Name of the server."""
        return self.server.name


@dataclass(slots=True)
class Index:
    """Replicas that may be chosen, built once for each snapshot.

    :param by_name: all replicas by name.
    :param by_subject: replicas by the version or service that they serve.
    """

    snap: snapshot.Snapshot
    by_name: dict[str, Replica]
    by_subject: dict[Hashable, list[Replica]] = field(default_factory=dict)


class Directory:
    """Replicas of the snapshot in force.

    :param config: returns the snapshot in force.
    :param factory: makes the client of a server.
    """

    def __init__(
        self,
        config: Callable[[], snapshot.Applied],
        factory: ClientFactory = build_client,
    ) -> None:
        self._config = config
        self._factory = factory
        self._index: Index | None = None
        self.retired: list[Replica] = []

    def current(self) -> Index:
        """Return the index of the snapshot in force."""
        snap = self._config().snapshot
        if self._index is None or self._index.snap is not snap:
            self._index = self._build(snap)
        return self._index

    async def close(self) -> None:
        """Close all clients."""
        held = list(self.retired)
        if self._index is not None:
            held.extend(self._index.by_name.values())
        for replica in held:
            await replica.client.close()

    def _build(self, snap: snapshot.Snapshot) -> Index:
        old = self._index.by_name if self._index else {}
        index = Index(snap, {})
        for server in snap.servers.values():
            replica = self._keep(old.get(server.name), server, snap.tuning)
            index.by_name[server.name] = replica
            if _is_in(server, snap):
                _add(index, replica)
        for name, replica in old.items():
            if index.by_name.get(name) is not replica:
                self.retired.append(replica)
        return index

    def _keep(
        self,
        old: Replica | None,
        server: snapshot.Server,
        tuning: snapshot.Tuning,
    ) -> Replica:
        if old is not None and old.server.address == server.address:
            old.server = server
            return old
        return Replica(server, self._factory(server, tuning))


def _is_in(server: snapshot.Server, snap: snapshot.Snapshot) -> bool:
    zone = snap.zones.get(server.zone)
    zone_out = zone is None or zone.state is snapshot.PlacementState.OUT
    return server.state is snapshot.PlacementState.IN and not zone_out


def _add(index: Index, replica: Replica) -> None:
    subjects: list[Hashable] = list(replica.server.serves)
    if replica.server.service:
        subjects.append(replica.server.service)
    for subject in subjects:
        index.by_subject.setdefault(subject, []).append(replica)
