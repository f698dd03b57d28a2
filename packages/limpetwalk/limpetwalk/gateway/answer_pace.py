"""Pace at which servers send the events of their streams.

Serves roll-outs of versions that answer several times slower. The time to the
first event depends on the length of the prompt and on the queue, and hides a
factor of five; the time between events hides much less. An answer is compared
with the fastest that the version in force gave at the same node. Load makes
answers of both versions slow, so what counts is how many more of the new one
are.
"""

import collections

# Events after which the pace of an answer is known. Slow answers take longer
# to end, so those that have ended are the faster ones.
EVENTS_TO_JUDGE = 4
# Answers of the version in force that are remembered, and the least number
# that an answer is compared with.
MAX_SAMPLES = 200
MIN_SAMPLES = 5
# Share of the answers of the version in force that are its fastest, and the
# multiple of their time between events beyond which an answer is slow.
FASTEST_SHARE = 0.1
SLOW_FACTOR = 3.0


class AnswerPace:
    """Events of one server's answer and their times.

    :ivar events: number of events so far.
    """

    def __init__(self) -> None:
        self.events = 0
        self._first_at = 0.0
        self._latest_at = 0.0

    def record_event(self, now: float) -> None:
        """Record an event.

        :param now: current instant, in seconds.
        """
        if not self.events:
            self._first_at = now
        self.events += 1
        self._latest_at = now

    def seconds_per_event(self) -> float | None:
        """Return the mean time between events, None before the second."""
        if self.events < 2:
            return None
        return (self._latest_at - self._first_at) / (self.events - 1)


class UsualPaces:
    """Paces of the version in force, by service and model."""

    def __init__(self) -> None:
        self._samples: dict[tuple[str, str], collections.deque[float]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=MAX_SAMPLES)
            )
        )

    def is_slow(
        self, service: str, model: str, seconds_per_event: float
    ) -> bool | None:
        """Return whether a pace is far from the fastest of the usual ones.

        :returns: None when too few usual ones are known. Those of other
            models are used where there are too few of the same.
        """
        samples = list(self._samples.get((service, model), ()))
        if len(samples) < MIN_SAMPLES:
            samples = [
                sample
                for (name, _), others in self._samples.items()
                if name == service
                for sample in others
            ]
        if len(samples) < MIN_SAMPLES:
            return None
        fastest = sorted(samples)[int(FASTEST_SHARE * len(samples))]
        return seconds_per_event > SLOW_FACTOR * fastest

    def record(
        self, service: str, model: str, seconds_per_event: float
    ) -> None:
        """Record the pace of an answer of the version in force."""
        self._samples[(service, model)].append(seconds_per_event)
