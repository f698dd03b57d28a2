"""Model engines: slots, prefill one prompt after another, prefix cache."""

import collections
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Speed of an engine.

    :param slots: requests that it processes at once.
    :param queue: further requests that may wait for a slot.
    :param prefill_seconds: prefill time of a token of the smallest model.
    :param step_seconds: time of one step, in which each request generates a
        token, when the engine runs a single request.
    :param crowding: share by which each further request lengthens a step.
    :param cache_seconds: time for which a part of a prompt stays cached.
    """

    slots: int = 16
    queue: int = 16
    prefill_seconds: float = 1 / 32_400
    step_seconds: float = 0.00612
    crowding: float = 0.02
    cache_seconds: float = 9.3


@dataclass(slots=True)
class Work:
    """Request as an engine sees it.

    :param pace: factor of the model on times, 1 for a middle-sized one.
    :param parts: parts of the prompt with their tokens, in order.
    :param output_tokens: tokens to generate.
    """

    model: str
    pace: float
    parts: tuple[tuple[str, int], ...]
    output_tokens: int


@dataclass(slots=True)
class Engine:
    """Engine in simulated time.

    :param waiting: requests that wait for a slot.
    """

    speed: EngineSpeed
    active: int = 0
    waiting: collections.deque[Work] = field(default_factory=collections.deque)
    prefilled_until: float = 0.0
    _cached: dict[tuple[str, str], float] = field(default_factory=dict)

    @property
    def is_full(self) -> bool:
        """Whether the engine rejects a further request."""
        return len(self.waiting) >= self.speed.queue

    def begin(self, work: Work, now: float) -> tuple[float, float]:
        """Begin a request that has a slot.

        :returns: instants of its first event and of its end.
        """
        self.active += 1
        prefill = (
            self._uncached_tokens(work, now)
            * self.speed.prefill_seconds
            * work.pace
        )
        self.prefilled_until = max(self.prefilled_until, now) + prefill
        step = (
            self.speed.step_seconds
            * work.pace
            * (1 + self.speed.crowding * self.active)
        )
        first = self.prefilled_until + step
        return first, first + work.output_tokens * step

    def _uncached_tokens(self, work: Work, now: float) -> int:
        uncached = 0
        for part, tokens in work.parts:
            key = (work.model, part)
            read_at = self._cached.get(key)
            stale = read_at is None or now - read_at > self.speed.cache_seconds
            if uncached or stale:
                uncached += tokens
            self._cached[key] = now
        return uncached
