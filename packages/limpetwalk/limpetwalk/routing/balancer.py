"""Choice of a replica at a cost independent of the number of replicas."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Sequence
import random
from typing import Protocol

import xxhash

from .. import clock as clocks
from .. import registry
from . import replicas

# Replicas that are compared for one request.
SAMPLE_SIZE = 16
# Replicas that are checked in order when the sample has no usable one.
MAX_SCANNED = 64
# Additional requests that a suspected one in flight counts as.
SUSPECTED_COST = 1.0
# Affinity is used up to this many entry nodes for each concurrent request
# that a replica takes, and up to this share of its concurrency in flight.
AFFINITY_MAX_NODES_PER_SLOT = 2
AFFINITY_MAX_LOAD_SHARE = 0.5


class Balancer(Protocol):
    """Picks a replica for a request; plug-ins of kind BALANCER."""

    def pick(
        self,
        tier: replicas.Tier,
        usable: Callable[[replicas.Replica], bool],
        affinity: str,
    ) -> replicas.Replica | None:
        """Return a usable replica, or None when none was found.

        :param tier: replicas of the version or service.
        :param usable: returns whether a replica may be sent the request.
        :param affinity: key whose requests prefer the same replica, or empty.
        """
        ...


@registry.register(registry.Kind.BALANCER, "least_in_flight")
class LeastInFlight:
    """Picks the replica with the fewest requests in flight from this node.

    Among equals, the replica that the affinity key prefers is picked.
    Of more than ``SAMPLE_SIZE`` replicas, a random sample of that size is
    compared.

    :param known_nodes: returns the number of known entry nodes, this one
        included.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        known_nodes: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._known_nodes = known_nodes

    def pick(
        self,
        tier: replicas.Tier,
        usable: Callable[[replicas.Replica], bool],
        affinity: str,
    ) -> replicas.Replica | None:
        """Return a usable replica, or None when none was found."""
        now = self._clock.monotonic()
        best = self._sample_least(tier.replicas, usable)
        if best is None or not affinity:
            return best
        affine = rendezvous(tier, affinity)
        if affine is best or not usable(affine):
            return best
        return affine if self._accepts_affinity(affine, best, now) else best

    def _accepts_affinity(
        self, affine: replicas.Replica, best: replicas.Replica, now: float
    ) -> bool:
        """Return whether the affine replica has no more load than another.

        A cached prefix saves less time than a queue costs. With many nodes,
        each has too few requests of its own to detect a crowded replica.
        """
        concurrency = affine.server.concurrency
        if self._known_nodes() > AFFINITY_MAX_NODES_PER_SLOT * concurrency:
            return False
        if (
            affine.estimated_in_flight(now)
            > AFFINITY_MAX_LOAD_SHARE * concurrency
        ):
            return False
        return self._cost(affine) <= self._cost(best)

    def _sample_least(
        self,
        candidates: Sequence[replicas.Replica],
        usable: Callable[[replicas.Replica], bool],
    ) -> replicas.Replica | None:
        if len(candidates) <= SAMPLE_SIZE:
            usable_sample = [
                replica for replica in candidates if usable(replica)
            ]
        else:
            picked = self._rng.choices(candidates, k=SAMPLE_SIZE)
            usable_sample = [replica for replica in picked if usable(replica)]
        if not usable_sample:
            return self._scan(candidates, usable)
        # Ties go to the replica that this node has left idle longest, so that
        # the few requests of each of many nodes are spread over all replicas.
        return min(
            usable_sample,
            key=lambda replica: (self._cost(replica), replica.last_sent_at),
        )

    def _scan(
        self,
        candidates: Sequence[replicas.Replica],
        usable: Callable[[replicas.Replica], bool],
    ) -> replicas.Replica | None:
        if not candidates:
            return None
        start = self._rng.randrange(len(candidates))
        for offset in range(min(len(candidates), MAX_SCANNED)):
            replica = candidates[(start + offset) % len(candidates)]
            if usable(replica):
                return replica
        return None

    def _cost(self, replica: replicas.Replica) -> float:
        return replica.in_flight + SUSPECTED_COST * replica.suspected_in_flight


def rendezvous(tier: replicas.Tier, key: str) -> replicas.Replica:
    """Return the replica that a key prefers, by rendezvous hashing.

    The first hash chooses a group of the tier, the second a replica in it.
    """
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
    candidates: replicas.Candidates | None,
    usable: Callable[[replicas.Replica], bool],
    affinity: str,
    avoided: Container[str] = (),
) -> replicas.Replica | None:
    """Return a usable replica, or None when none was found.

    Untried replicas are preferred to tried ones, then near ones to far ones.

    :param avoided: names of servers that this request has tried.
    """
    if candidates is None:
        return None

    def untried(replica: replicas.Replica) -> bool:
        return replica.name not in avoided and usable(replica)

    for predicate in (untried, usable) if avoided else (usable,):
        for tier in (candidates.near, candidates.far):
            if not tier.replicas:
                continue
            replica = balancer.pick(tier, predicate, affinity)
            if replica is not None:
                return replica
    return None
