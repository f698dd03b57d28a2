"""Evidence that one node gathers about versions of services."""

import collections
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
import json

from ..rollouts import evidence
from . import fleet

# Multiple of the usual time to the first byte beyond which an answer counts
# as a failure of its version. Load alone delays both versions.
SLOW_FACTOR = 5.0
# Answers after which the usual time is known, and the weight of a new one.
KNOWN_AFTER = 5
WEIGHT = 0.1


@dataclass(slots=True)
class EvidenceReport:
    """What one node tells of a roll-out.

    :param old_in_flight: its requests that run on old versions.
    :param phase: phase that it knows of.
    """

    base: evidence.Tally = field(default_factory=evidence.Tally)
    candidate: evidence.Tally = field(default_factory=evidence.Tally)
    old_in_flight: int = 0
    phase: str = ""

    @classmethod
    def from_json(cls, text: str) -> "EvidenceReport":
        """Return what a node told; nothing when it can't be read."""
        try:
            held = json.loads(text)
            return cls(
                evidence.Tally(**held["base"]),
                evidence.Tally(**held["candidate"]),
                int(held["old_in_flight"]),
                str(held["phase"]),
            )
        except (KeyError, TypeError, ValueError):
            return cls()


class VersionTallies:
    """Outcomes by service and version.

    :param members: returns the servers of a service.
    """

    def __init__(self, members: Callable[[str], list[fleet.Member]]) -> None:
        self._members = members
        self._held: dict[tuple[str, str], evidence.Tally] = (
            collections.defaultdict(evidence.Tally)
        )
        self._usual: dict[tuple[str, str], tuple[float, int]] = {}

    def note(self, service: str, version: str, good: bool) -> None:
        """Note the outcome of a request that a version ran."""
        self._held[(service, version)].observe(good)

    def is_slow(self, service: str, model: str, latency: float) -> bool:
        """Note the time to a first byte; whether it is unusually long.

        :param latency: time to the first byte, in seconds.
        """
        usual, count = self._usual.get((service, model), (latency, 0))
        slow = count >= KNOWN_AFTER and latency > SLOW_FACTOR * usual
        if not slow:
            usual += WEIGHT * (latency - usual)
        self._usual[(service, model)] = (usual, count + 1)
        return slow

    def to_json(self, service: str, target: str, phase: str) -> str:
        """Return what is told of a roll-out to a version."""
        told = EvidenceReport(phase=phase)
        for (name, version), held in self._held.items():
            if name == service:
                arm = told.candidate if version == target else told.base
                arm.add(held)
        told.old_in_flight = sum(
            member.health.in_flight
            for member in self._members(service)
            if member.entry.version != target
        )
        return json.dumps(asdict(told))
