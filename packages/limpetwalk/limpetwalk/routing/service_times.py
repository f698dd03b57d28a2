"""Recent times that requests hold a replica."""

from collections.abc import Hashable
from dataclasses import dataclass

AVERAGE_WEIGHT = 0.05
MIN_TIME_SHARE = 0.25


@dataclass(slots=True)
class _Subject:
    held: float = 0.0
    busy: int = 0


class ServiceTimes:
    """Moving averages by version or service, for early refusal."""

    def __init__(self) -> None:
        self._subjects: dict[Hashable, _Subject] = {}

    def start(self, subject: Hashable) -> None:
        """Note that a request took a replica."""
        self._subjects.setdefault(subject, _Subject()).busy += 1

    def finish(self, subject: Hashable, seconds: float | None) -> None:
        """Note that a request gave its replica back.

        :param seconds: how long it held it; None when it was not answered,
            which tells nothing about the time that an answer takes.
        """
        found = self._subjects[subject]
        found.busy -= 1
        if seconds is None:
            return
        if not found.held:
            found.held = seconds
        found.held += AVERAGE_WEIGHT * (seconds - found.held)

    def min_completion_seconds(self, subject: Hashable, ahead: int) -> float:
        """Return seconds that a request needs at the least.

        Answers differ in length, so only a part of the mean time is asked
        for beyond the wait in the queue.

        :param ahead: requests that are served before it.
        """
        found = self._subjects.get(subject)
        if found is None:
            return 0.0
        queued = ahead * found.held / max(1, found.busy)
        return queued + MIN_TIME_SHARE * found.held
