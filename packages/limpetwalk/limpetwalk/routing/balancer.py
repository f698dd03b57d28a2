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

SMALL = 12
DRAWS = 8
MOST_SCANNED = 64
OTHER_ZONE_COST = 0.02
SUSPECT_COST = 1.0
AFFINITY_SLACK = 0.25


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


@registry.register(registry.Kind.BALANCER, "least_of_two")
class LeastOfTwo:
    """Lesser loaded of two random replicas, the affine one if it has room.

    :param zone: zone of the node; others cost a little more.
    """

    def __init__(
        self, clock: clocks.Clock, rng: random.Random, zone: str
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._zone = zone

    def pick(
        self,
        tier: replicas.Tier,
        usable: Callable[[replicas.Replica], bool],
        affinity: str,
    ) -> replicas.Replica | None:
        """Return a usable replica, or None when none was found."""
        now = self._clock.monotonic()
        best = self._least_of_two(tier.replicas, usable, now)
        if best is None or not affinity:
            return best
        affine = rendezvous(tier, affinity)
        if affine is best or not usable(affine):
            return best
        # Bounded load: warm prefixes are not worth a long queue.
        limit = self._cost(best, now) + AFFINITY_SLACK
        return affine if self._cost(affine, now) <= limit else best

    def _least_of_two(
        self,
        held: Sequence[replicas.Replica],
        usable: Callable[[replicas.Replica], bool],
        now: float,
    ) -> replicas.Replica | None:
        if len(held) <= SMALL:
            free = [replica for replica in held if usable(replica)]
            pair = self._rng.sample(free, min(2, len(free)))
            return min(
                pair, key=lambda item: self._cost(item, now), default=None
            )
        found: list[replicas.Replica] = []
        for _ in range(DRAWS):
            drawn = self._rng.choice(held)
            if drawn not in found and usable(drawn):
                found.append(drawn)
                if len(found) == 2:
                    break
        if not found:
            return self._scan(held, usable)
        return min(found, key=lambda replica: self._cost(replica, now))

    def _scan(
        self,
        held: Sequence[replicas.Replica],
        usable: Callable[[replicas.Replica], bool],
    ) -> replicas.Replica | None:
        if not held:
            return None
        start = self._rng.randrange(len(held))
        for step in range(min(len(held), MOST_SCANNED)):
            replica = held[(start + step) % len(held)]
            if usable(replica):
                return replica
        return None

    def _cost(self, replica: replicas.Replica, now: float) -> float:
        cost = replica.load(now) / max(1, replica.server.concurrency)
        if replica.server.zone != self._zone:
            cost += OTHER_ZONE_COST
        return cost + SUSPECT_COST * replica.suspects


def rendezvous(tier: replicas.Tier, key: str) -> replicas.Replica:
    """Return the replica that a key prefers, by two rendezvous hashes."""
    data = key.encode()
    groups = [
        (_weight(data, number), group)
        for number, group in enumerate(tier.groups)
        if group
    ]
    group = max(groups, key=lambda item: item[0])[1]
    return max(group, key=lambda replica: _weight(data, replica.seed))


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
