"""Choice of a replica at a cost that does not grow with their number."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Sequence
import random
from typing import Protocol

import xxhash

from .. import clock as clocks
from .. import registry
from . import replicas

SAMPLE_SIZE = 16
MAX_SCANNED = 64
SUSPECT_COST = 1.0
AFFINITY_MAX_NODES_PER_SLOT = 2
AFFINITY_MAX_LOAD_SHARE = 0.5


class Balancer(Protocol):
    """Orders replicas for one request; plug-ins of kind BALANCER."""

    def pick(
        self,
        tier: replicas.Tier,
        usable: Callable[[replicas.Replica], bool],
        affinity: str,
    ) -> replicas.Replica | None:
        """Return a usable replica, or None when none was found.

        :param tier: replicas of the version or service.
        :param usable: whether a replica may be sent the request.
        :param affinity: key that prefers the same replica, or empty.
        """
        ...


@registry.register(registry.Kind.BALANCER, "least_in_flight")
class LeastInFlight:
    """Replica with the fewest requests of this node, the affine one if equal.

    Of more than ``SAMPLE_SIZE`` replicas, so many random ones are looked at.

    :param live_nodes: number of entry nodes, this one included.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        live_nodes: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._live_nodes = live_nodes

    def pick(
        self,
        tier: replicas.Tier,
        usable: Callable[[replicas.Replica], bool],
        affinity: str,
    ) -> replicas.Replica | None:
        """Return a usable replica, or None when none was found."""
        now = self._clock.monotonic()
        best = self._least(tier.replicas, usable)
        if best is None or not affinity:
            return best
        affine = rendezvous(tier, affinity)
        if affine is best or not usable(affine):
            return best
        return affine if self._bears(affine, best, now) else best

    def _bears(
        self, affine: replicas.Replica, best: replicas.Replica, now: float
    ) -> bool:
        """Whether the affine replica is no more loaded than another.

        A warm prefix is not worth a queue. Where the nodes are many, each
        has too few requests of its own to tell a crowded replica by.
        """
        concurrency = affine.server.concurrency
        if self._live_nodes() > AFFINITY_MAX_NODES_PER_SLOT * concurrency:
            return False
        if (
            affine.estimated_in_flight(now)
            > AFFINITY_MAX_LOAD_SHARE * concurrency
        ):
            return False
        return self._cost(affine) <= self._cost(best)

    def _least(
        self,
        held: Sequence[replicas.Replica],
        usable: Callable[[replicas.Replica], bool],
    ) -> replicas.Replica | None:
        if len(held) <= SAMPLE_SIZE:
            drawn = [replica for replica in held if usable(replica)]
        else:
            picked = self._rng.choices(held, k=SAMPLE_SIZE)
            drawn = [replica for replica in picked if usable(replica)]
        if not drawn:
            return self._scan(held, usable)
        # Among equals the one that has waited longest, so that the few
        # requests of each of many nodes go round.
        return min(
            drawn,
            key=lambda replica: (self._cost(replica), replica.last_sent_at),
        )

    def _scan(
        self,
        held: Sequence[replicas.Replica],
        usable: Callable[[replicas.Replica], bool],
    ) -> replicas.Replica | None:
        if not held:
            return None
        start = self._rng.randrange(len(held))
        for step in range(min(len(held), MAX_SCANNED)):
            replica = held[(start + step) % len(held)]
            if usable(replica):
                return replica
        return None

    def _cost(self, replica: replicas.Replica) -> float:
        return replica.in_flight + SUSPECT_COST * replica.suspects_in_flight


def rendezvous(tier: replicas.Tier, key: str) -> replicas.Replica:
    """Return the replica that a key prefers, by two rendezvous hashes."""
    data = key.encode()
    groups = [
        (_weight(data, number), group)
        for number, group in enumerate(tier.groups)
        if group
    ]
    group = max(groups, key=lambda item: item[0])[1]
    return max(group, key=lambda replica: _weight(data, replica.name_hash))


def _weight(data: bytes, seed: int) -> int:
    return xxhash.xxh64_intdigest(data, seed)


def choose(
    balancer: Balancer,
    held: replicas.Candidates | None,
    usable: Callable[[replicas.Replica], bool],
    affinity: str,
    avoided: Container[str] = (),
) -> replicas.Replica | None:
    """Return a replica: untried before tried ones, near before far.

    :param avoided: names of servers that this request has tried.
    """
    if held is None:
        return None

    def untried(replica: replicas.Replica) -> bool:
        return replica.name not in avoided and usable(replica)

    for test in (untried, usable) if avoided else (usable,):
        for tier in (held.near, held.far):
            if not tier.replicas:
                continue
            found = balancer.pick(tier, test, affinity)
            if found is not None:
                return found
    return None
