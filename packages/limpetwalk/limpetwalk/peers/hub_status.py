"""Status values that a hub reports about its node and its traffic."""

from dataclasses import dataclass
import math


@dataclass(frozen=True, slots=True)
class ConfigStatus:
    """Configuration in force that a node reports in its heartbeats.

    :param generation: generation in force; 0 before the first.
    :param digest: its digest.
    :param confirmed_age: seconds since some node read in the table service
        that this generation is the newest; infinite when that is unknown.
    """

    generation: int = 0
    digest: str = ""
    confirmed_age: float = math.inf


@dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes that a hub has sent and received since it started."""

    sent: int
    received: int
