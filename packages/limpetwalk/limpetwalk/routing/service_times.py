"""Recent durations for which requests occupy a replica."""

from collections.abc import Hashable
from dataclasses import dataclass

# Weight of a new duration in the moving average.
AVERAGE_WEIGHT = 0.05
# Share of the mean duration that a request needs at least.
MIN_TIME_SHARE = 0.25


@dataclass(slots=True)
class _Subject:
    mean_seconds: float = 0.0
    in_flight: int = 0


class ServiceTimes:
    """Moving averages of durations by version or service.

    Admission uses them to refuse requests that cannot meet their deadline.
    """

    def __init__(self) -> None:
        self._subjects: dict[Hashable, _Subject] = {}

    def start(self, subject: Hashable) -> None:
        """Record that a request occupies a replica."""
        self._subjects.setdefault(subject, _Subject()).in_flight += 1

    def finish(self, subject: Hashable, seconds: float | None) -> None:
        """Record that a request has released its replica.

        :param seconds: how long it occupied the replica; None when it was not
            answered, since its duration is not that of an answer.
        """
        times = self._subjects[subject]
        times.in_flight -= 1
        if seconds is None:
            return
        if not times.mean_seconds:
            times.mean_seconds = seconds
        times.mean_seconds += AVERAGE_WEIGHT * (seconds - times.mean_seconds)

    def min_completion_seconds(self, subject: Hashable, ahead: int) -> float:
        """Return the minimum time in seconds until a request is complete.

        Answers differ in length, so only a part of the mean duration is
        required beyond the wait in the queue.

        :param ahead: number of requests that are served before it.
        """
        times = self._subjects.get(subject)
        if times is None:
            return 0.0
        queued = ahead * times.mean_seconds / max(1, times.in_flight)
        return queued + MIN_TIME_SHARE * times.mean_seconds
