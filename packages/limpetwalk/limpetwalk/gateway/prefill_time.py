"""Estimates the prefill time of models from their responses."""

# Seconds per prompt token that are assumed before a model's first sample.
DEFAULT_SECONDS_PER_TOKEN = 0.1e-3
# Lower limit of a sample, in seconds per token; faster responses came from a
# cache.
MIN_SECONDS_PER_TOKEN = 1e-6
# Part of the time to the first byte that is not prefill time, in seconds.
OVERHEAD = 0.08
# Prompts with fewer tokens to read are ignored; their prefill time is too
# short to estimate from.
MIN_SAMPLE_TOKENS = 400
# Weights of a sample below and above the current estimate. Queueing only adds
# to a sample, so the estimate follows the fast responses.
WEIGHT_DOWN = 0.3
WEIGHT_UP = 0.03


class PrefillTimes:
    """Estimates of the prefill time per prompt token, by model."""

    def __init__(self) -> None:
        self._per_token: dict[str, float] = {}

    def seconds_per_token(self, model: str) -> float:
        """Return the prefill time of a model per token, in seconds."""
        return self._per_token.get(model, DEFAULT_SECONDS_PER_TOKEN)

    def prefill_seconds(self, model: str, tokens: float) -> float:
        """Return the prefill time of a number of tokens, in seconds."""
        return tokens * self.seconds_per_token(model)

    def record(self, model: str, tokens: float, latency: float) -> None:
        """Update the estimate of a model from a response.

        :param tokens: tokens that had to be read in any case. Shared ones
            may have been cached by a request of another node; where they were
            not, the sample is slow and gets a small weight.
        :param latency: time from the request to the first byte, in seconds.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        sample = max(MIN_SECONDS_PER_TOKEN, (latency - OVERHEAD) / tokens)
        estimate = self._per_token.get(model)
        if estimate is None:
            self._per_token[model] = sample
            return
        weight = WEIGHT_DOWN if sample < estimate else WEIGHT_UP
        self._per_token[model] = estimate + weight * (sample - estimate)
