"""Baseline balancers for comparison with the router's own."""

from collections.abc import Callable
import itertools
import random

from limpetwalk import clock as clocks
from limpetwalk.routing import replicas

Usable = Callable[[replicas.Replica], bool]


class RandomChoice:
    """Chooses a usable replica at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(
        self, tier: replicas.Tier, usable: Usable, affinity: str
    ) -> replicas.Replica | None:
        """Return a usable replica, or None."""
        candidates = [replica for replica in tier.replicas if usable(replica)]
        return self._rng.choice(candidates) if candidates else None


class RoundRobin:
    """Chooses the usable replicas in turn."""

    def __init__(self, rng: random.Random) -> None:
        self._counter = itertools.count(rng.randrange(1000))

    def pick(
        self, tier: replicas.Tier, usable: Usable, affinity: str
    ) -> replicas.Replica | None:
        """Return a usable replica, or None."""
        candidates = [replica for replica in tier.replicas if usable(replica)]
        return (
            candidates[next(self._counter) % len(candidates)]
            if candidates
            else None
        )


class LeastConnections:
    """Chooses the usable replica with the fewest requests of this node."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(
        self, tier: replicas.Tier, usable: Usable, affinity: str
    ) -> replicas.Replica | None:
        """Return a usable replica, or None."""
        candidates = [replica for replica in tier.replicas if usable(replica)]
        self._rng.shuffle(candidates)
        return min(
            candidates, key=lambda replica: replica.in_flight, default=None
        )


class LeastReported:
    """Chooses the less loaded of two random replicas.

    The load is the last report plus the requests sent since.

    :param rng: source of randomness.
    :param clock: clock of the node.
    """

    def __init__(self, rng: random.Random, clock: clocks.Clock) -> None:
        self._rng = rng
        self._clock = clock

    def pick(
        self, tier: replicas.Tier, usable: Usable, affinity: str
    ) -> replicas.Replica | None:
        """Return a usable replica, or None."""
        now = self._clock.monotonic()
        candidates = [replica for replica in tier.replicas if usable(replica)]
        sampled = self._rng.sample(candidates, min(2, len(candidates)))
        return min(
            sampled,
            key=lambda replica: replica.estimated_in_flight(now),
            default=None,
        )


class PerfectKnowledge:
    """Chooses the usable replica with the fewest requests of all nodes.

    It reads the load of the servers directly, without any delay.

    :param rng: source of randomness.
    :param load: returns the number of requests at a server by its name.
    """

    def __init__(self, rng: random.Random, load: Callable[[str], int]) -> None:
        self._rng = rng
        self._load = load

    def pick(
        self, tier: replicas.Tier, usable: Usable, affinity: str
    ) -> replicas.Replica | None:
        """Return a usable replica, or None."""
        candidates = [replica for replica in tier.replicas if usable(replica)]
        self._rng.shuffle(candidates)
        return min(
            candidates,
            key=lambda replica: self._load(replica.name),
            default=None,
        )
