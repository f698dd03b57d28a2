"""Model engines: slots, prefill one prompt after another, prefix cache."""

import dataclasses
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
    :param memory: tokens that the running requests may occupy together; 0
        for any number.
    """

    slots: int = 16
    queue: int = 16
    prefill_seconds: float = 1 / 32_400
    step_seconds: float = 0.00612
    crowding: float = 0.02
    cache_seconds: float = 9.3
    memory: int = 0

    def scaled(self, factor: float) -> "EngineSpeed":
        """Return the speed of an engine that needs a multiple of the time."""
        return dataclasses.replace(
            self,
            prefill_seconds=self.prefill_seconds * factor,
            step_seconds=self.step_seconds * factor,
        )


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

    @property
    def tokens(self) -> int:
        """Tokens that the request occupies while it runs."""
        return sum(tokens for _, tokens in self.parts) + self.output_tokens


@dataclass(slots=True)
class Engine:
    """Engine in simulated time.

    :param used_memory: tokens that the running requests occupy.
    """

    speed: EngineSpeed
    active: int = 0
    prefilled_until: float = 0.0
    used_memory: int = 0
    _cached: dict[tuple[str, str], float] = field(default_factory=dict)

    def has_slot(self, work: Work) -> bool:
        """Return whether a request may begin at once."""
        if self.active >= self.speed.slots:
            return False
        memory = self.speed.memory
        return not memory or self.used_memory + work.tokens <= memory

    def begin(self, work: Work, now: float) -> tuple[float, float]:
        """Begin a request that has a slot.

        :returns: instants of its first event and of its end.
        """
        self.active += 1
        self.used_memory += work.tokens
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

    def end(self, work: Work) -> None:
        """End a request that has begun."""
        self.active -= 1
        self.used_memory -= work.tokens

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
