"""Settings of the engine stand-in."""

import pydantic

DEFAULT_QUALITY = 0.8


class EngineSettings(pydantic.BaseModel):
    """Settings; durations are scaled by ``time_scale``.

    :param name: name shown in answers.
    :param host: IP number to listen on.
    :param port: port of the engine's interface, 0 for any.
    :param control_port: port of the control interface, which stays up when
        the engine crashes.
    :param seed: seed of answers and of the loss of cache events.
    :param time_scale: factor on every duration; 0.1 runs ten times as fast.
    :param serves: versions served, as ``model:version``.
    :param base_ms: time of a step of an empty batch.
    :param slope_ms: additional time of a step per request in the batch.
    :param prompt_ms: time of one prompt token that is not cached.
    :param chunk_tokens: maximum number of prompt tokens in one step.
    :param max_batch: maximum number of requests in the batch.
    :param max_queue: maximum number of requests in the queue.
    :param block_tokens: tokens of a block of the prefix cache.
    :param cache_blocks: maximum number of blocks in the prefix cache.
    :param start_cold: whether the engine is cold when it starts.
    :param cold_allowance: maximum number of requests in flight while cold.
    :param cold_factor: factor on the step time of a cold engine.
    :param warm_after: seconds from the first request until it is warm.
    :param cold_overload: effect of exceeding the allowance while cold:
        ``crash`` or ``error``.
    :param restart_delay: seconds until it restarts by itself after a crash;
        None waits for the control interface.
    :param report_interval: seconds between load samples.
    :param report_lag: minimum age in seconds of the reported sample.
    :param event_lag: seconds until a cache event is shown.
    :param event_gap: share of cache events that are lost.
    :param fencing: whether orders with a lower fencing number than an
        earlier one are refused.
    :param load_seconds: time to load a model, version or adapter.
    :param weights_url: URL prefix of the weight store, or empty.
    :param quality: mean quality by ``model:version`` and request class; the
        class ``*`` applies to all others.
    :param quality_spread: standard deviation of the quality of an answer.
    :param poison_marker: text in a body that crashes the engine.
    :param mean_tokens: mean length of an answer without ``max_tokens``.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    name: str = "engine"
    host: str = "127.0.0.1"
    port: int = 0
    control_port: int = 0
    seed: int = 1
    time_scale: float = pydantic.Field(default=1.0, gt=0)
    serves: list[str] = ["small:v1"]
    base_ms: float = 8.0
    slope_ms: float = 0.8
    prompt_ms: float = 0.05
    chunk_tokens: int = 512
    max_batch: int = 16
    max_queue: int = 64
    block_tokens: int = 16
    cache_blocks: int = 4096
    start_cold: bool = True
    cold_allowance: int = 2
    cold_factor: float = 3.0
    warm_after: float = 5.0
    cold_overload: str = pydantic.Field("crash", pattern="^(crash|error)$")
    restart_delay: float | None = None
    report_interval: float = 0.25
    report_lag: float = 0.5
    event_lag: float = 0.5
    event_gap: float = 0.05
    fencing: bool = True
    load_seconds: float = 1.0
    weights_url: str = ""
    quality: dict[str, dict[str, float]] = {}
    quality_spread: float = 0.05
    poison_marker: str = "[[crash]]"
    mean_tokens: int = 24

    def mean_quality(self, version: str, request_class: str) -> float:
        """Return the mean quality of a version for a request class."""
        classes = self.quality.get(version, {})
        return classes.get(request_class, classes.get("*", DEFAULT_QUALITY))
