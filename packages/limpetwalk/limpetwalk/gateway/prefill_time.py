"""How fast models read prompts, learnt from the answers."""

# Seconds a prompt token takes before anything is known of a model.
DEFAULT_SECONDS_PER_TOKEN = 0.1e-3
# Least seconds a token takes; faster answers were cached.
LEAST_PACE = 1e-6
# Seconds from a request to its first byte that reading does not explain.
OVERHEAD = 0.08
# Prompts shorter than this tell little, tokens.
LEAST_TOKENS = 400
# Weight of a sample below and above what is believed. Waiting only adds, so
# the belief follows the fast answers.
WEIGHT_DOWN = 0.3
WEIGHT_UP = 0.03


class PrefillTimes:
    """Seconds that a token of a prompt takes, by model."""

    def __init__(self) -> None:
        self._per_token: dict[str, float] = {}

    def seconds_per_token(self, model: str) -> float:
        """Return the seconds that a model takes to read a token."""
        return self._per_token.get(model, DEFAULT_SECONDS_PER_TOKEN)

    def prefill_seconds(self, model: str, tokens: float) -> float:
        """Return the seconds that a model takes to read tokens."""
        return tokens * self.seconds_per_token(model)

    def record(self, model: str, tokens: float, latency: float) -> None:
        """Note how long a first byte took.

        :param tokens: tokens that had to be read in any case. Shared ones
            may have been read for another node; where they were not, the
            sample is slow and hardly counts.
        :param latency: time from the request to the first byte, in seconds.
        """
        if tokens < LEAST_TOKENS:
            return
        sample = max(LEAST_PACE, (latency - OVERHEAD) / tokens)
        held = self._per_token.get(model)
        if held is None:
            self._per_token[model] = sample
            return
        weight = WEIGHT_DOWN if sample < held else WEIGHT_UP
        self._per_token[model] = held + weight * (sample - held)
