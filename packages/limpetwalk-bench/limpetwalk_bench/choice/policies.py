"""Baselines for the choice of a replica."""

from collections.abc import Callable
import itertools
import random

from limpetwalk import clock as clocks
from limpetwalk.routing import replicas

Usable = Callable[[replicas.Replica], bool]


class RandomChoice:
    """Any usable replica."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(
        self, tier: replicas.Tier, usable: Usable, affinity: str
    ) -> replicas.Replica | None:
        """Return a usable replica, or None."""
        free = [held for held in tier.replicas if usable(held)]
        return self._rng.choice(free) if free else None


class RoundRobin:
    """Usable replicas in turn."""

    def __init__(self, rng: random.Random) -> None:
        self._turn = itertools.count(rng.randrange(1000))

    def pick(
        self, tier: replicas.Tier, usable: Usable, affinity: str
    ) -> replicas.Replica | None:
        """Return a usable replica, or None."""
        free = [held for held in tier.replicas if usable(held)]
        return free[next(self._turn) % len(free)] if free else None


class LeastConnections:
    """Usable replica with the fewest requests of this node."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(
        self, tier: replicas.Tier, usable: Usable, affinity: str
    ) -> replicas.Replica | None:
        """Return a usable replica, or None."""
        free = [held for held in tier.replicas if usable(held)]
        self._rng.shuffle(free)
        return min(free, key=lambda held: held.in_flight, default=None)


class LeastReported:
    """Lesser of two random replicas by the report and what was sent since.

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
        free = [held for held in tier.replicas if usable(held)]
        pair = self._rng.sample(free, min(2, len(free)))
        return min(
            pair, key=lambda held: held.estimated_in_flight(now), default=None
        )


class PerfectKnowledge:
    """Usable replica with the fewest requests of all nodes, known at once.

    :param load: returns the requests at a server by its name.
    """

    def __init__(self, rng: random.Random, load: Callable[[str], int]) -> None:
        self._rng = rng
        self._load = load

    def pick(
        self, tier: replicas.Tier, usable: Usable, affinity: str
    ) -> replicas.Replica | None:
        """Return a usable replica, or None."""
        free = [held for held in tier.replicas if usable(held)]
        self._rng.shuffle(free)
        return min(free, key=lambda held: self._load(held.name), default=None)
