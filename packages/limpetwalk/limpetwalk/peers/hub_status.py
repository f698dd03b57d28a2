"""What a hub tells of its node and of itself."""

from dataclasses import dataclass
import math


@dataclass(frozen=True, slots=True)
class ConfigStatus:
    """Configuration that a node tells its peers of in its heartbeats.

    :param generation: generation in force; 0 before the first.
    :param digest: its digest.
    :param confirmed_age: seconds since some node read in the table service
        that it is the newest.
    """

    generation: int = 0
    digest: str = ""
    confirmed_age: float = math.inf


@dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes that a hub has sent and received since it started."""

    sent: int
    received: int
