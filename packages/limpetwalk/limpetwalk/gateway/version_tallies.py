"""Outcomes by service and version that one node reports as evidence."""

import collections
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
import json
from typing import Any

from ..rollouts import evidence
from . import answer_pace
from . import fleet
from . import json_decoder

# Multiple of the usual time to the first byte beyond which a response counts
# as a failure of its version. Load alone delays both versions.
SLOW_FACTOR = 5.0
# Responses after which the usual time is known, and the weight of a new one in
# the moving average.
MIN_SAMPLES = 5
SAMPLE_WEIGHT = 0.1
# Largest sum, number of requests and rate of a report.
MAX_REPORTED = 2**53


@dataclass(slots=True)
class EvidenceReport:
    """Evidence of one node about a roll-out.

    :param base: outcomes of the other versions.
    :param candidate: outcomes of the new version.
    :param base_paces: slow and other answers of the other versions, by the
        time between their events.
    :param candidate_paces: the same of the new version.
    :param old_in_flight: requests of the node in flight at other versions.
    :param phase: value of the phase that the node knows, or empty.
    :param rate: requests per second that the node sends to the service.
    """

    base: evidence.Tally = field(default_factory=evidence.Tally)
    candidate: evidence.Tally = field(default_factory=evidence.Tally)
    old_in_flight: int = 0
    phase: str = ""
    base_paces: evidence.Tally = field(default_factory=evidence.Tally)
    candidate_paces: evidence.Tally = field(default_factory=evidence.Tally)
    rate: float = 0.0

    @classmethod
    def from_json(cls, text: str) -> "EvidenceReport":
        """Return a report from its JSON, an empty one when it is invalid."""
        try:
            return cls.from_dict(json_decoder.decode(text))
        except ValueError:
            return cls()

    @classmethod
    def from_dict(cls, document: Any) -> "EvidenceReport":
        """Return a report from JSON types, an empty one when invalid."""
        try:
            return cls(
                _parse_tally(document["base"]),
                _parse_tally(document["candidate"]),
                _parse_count(document["old_in_flight"]),
                str(document["phase"]),
                # Nodes of version 0.3 report neither paces nor a rate.
                _parse_tally(document.get("base_paces", {})),
                _parse_tally(document.get("candidate_paces", {})),
                _parse_sum(document.get("rate", 0.0)),
            )
        except (AttributeError, KeyError, TypeError, ValueError):
            return cls()

    def to_dict(self) -> dict[str, Any]:
        """Return the report as JSON types."""
        return asdict(self)


def _parse_tally(document: Any) -> evidence.Tally:
    tally = evidence.Tally(**document)
    for count in (tally.failures, tally.successes, tally.rated):
        _parse_count(count)
    for total in (tally.total, tally.squares):
        _parse_sum(total)
    return tally


def _parse_count(value: Any) -> int:
    return json_decoder.integer(value, 0, MAX_REPORTED)


def _parse_sum(value: Any) -> float:
    return json_decoder.number(value, 0, MAX_REPORTED)


class VersionTallies:
    """Outcomes of this node's requests by service and version.

    :param members: returns the servers of a service.
    """

    def __init__(self, members: Callable[[str], list[fleet.Member]]) -> None:
        self._members = members
        self._tallies: dict[tuple[str, str], evidence.Tally] = (
            collections.defaultdict(evidence.Tally)
        )
        self._usual: dict[tuple[str, str], tuple[float, int]] = {}
        self._paces: dict[tuple[str, str], evidence.Tally] = (
            collections.defaultdict(evidence.Tally)
        )
        self._usual_paces = answer_pace.UsualPaces()

    def record(self, service: str, version: str, good: bool) -> None:
        """Record the outcome of a request that a version ran."""
        self._tallies[(service, version)].observe(good)

    def record_pace(
        self,
        service: str,
        version: str,
        model: str,
        seconds_per_event: float,
        is_candidate: bool,
    ) -> None:
        """Record the pace of an answer.

        :param is_candidate: whether the version is being rolled out.
        """
        slow = self._usual_paces.is_slow(service, model, seconds_per_event)
        if slow is not None:
            self._paces[(service, version)].observe(not slow)
        if not is_candidate:
            self._usual_paces.record(service, model, seconds_per_event)

    def is_slow(self, service: str, model: str, latency: float) -> bool:
        """Record a time to first byte; return whether it is unusually long.

        :param latency: time to the first byte, in seconds.
        """
        usual, count = self._usual.get((service, model), (latency, 0))
        slow = count >= MIN_SAMPLES and latency > SLOW_FACTOR * usual
        if not slow:
            usual += SAMPLE_WEIGHT * (latency - usual)
        self._usual[(service, model)] = (usual, count + 1)
        return slow

    def report_json(
        self, service: str, target: str, phase: str, rate: float = 0.0
    ) -> str:
        """Return this node's evidence report on a roll-out as JSON.

        :param target: version that is rolled out.
        :param phase: value of the phase that this node knows, or empty.
        :param rate: requests per second that it sends to the service.
        """
        report = EvidenceReport(phase=phase, rate=round(rate, 1))
        for (name, version), tally in self._tallies.items():
            if name == service:
                arm = report.candidate if version == target else report.base
                arm.add(tally)
        for (name, version), tally in self._paces.items():
            if name == service:
                arm = (
                    report.candidate_paces
                    if version == target
                    else report.base_paces
                )
                arm.add(tally)
        report.old_in_flight = sum(
            member.health.in_flight
            for member in self._members(service)
            if member.entry.version != target
        )
        return json.dumps(report.to_dict())
