"""Deterministic answers with a hidden quality.

The text of an answer ends with a marker such as ``[q=0.83]``, from which
the stand-in of the rating service reads the quality.
"""

from collections.abc import Mapping
import random
from typing import Any

import xxhash

from . import settings

WORDS = (
    "lot roast batch almond hazelnut contract clause renewal fee brand "
    "lodge owner deadline schedule price crate summary answer term notice"
).split()
MAX_TOKENS = 4096


def prompt_text(body: Mapping[str, Any]) -> str:
    """Return the messages of a chat completion body as one string."""
    parts = []
    for message in body.get("messages", ()):
        parts.append(f"{message.get('role')}: {message.get('content')}")
    return " ".join(parts)


def request_class(body: Mapping[str, Any]) -> str:
    """Return the request class that a caller put into ``metadata``."""
    metadata = body.get("metadata")
    if not isinstance(metadata, Mapping):
        return ""
    return str(metadata.get("request_class", ""))


def quality(
    cfg: settings.EngineSettings,
    version: str,
    body: Mapping[str, Any],
    mean: float | None = None,
) -> float:
    """Return the quality of an answer, 0.0 to 1.0.

    :param mean: mean quality that overrides the settings.
    """
    if mean is None:
        mean = cfg.mean_quality(version, request_class(body))
    rng = _rng(cfg.seed, "quality", version, prompt_text(body))
    sampled = rng.gauss(mean, cfg.quality_spread)
    return min(1.0, max(0.0, sampled))


def tokens(
    cfg: settings.EngineSettings,
    version: str,
    body: Mapping[str, Any],
    mean: float | None = None,
) -> list[str]:
    """Return the tokens of an answer, deterministic in seed and request.

    The first token repeats the last word of the prompt, so that a caller
    can check that the answer belongs to its own request.

    :param mean: mean quality that overrides the settings.
    """
    prompt = prompt_text(body)
    rng = _rng(cfg.seed, "tokens", version, prompt)
    length = _length(cfg, body, rng)
    words = [f"{rng.choice(WORDS)} " for _ in range(length - 1)]
    if words:
        words[0] = f"{prompt.split()[-1]} " if prompt.split() else words[0]
    words.append(f"[q={quality(cfg, version, body, mean):.2f}]")
    return words


def _length(
    cfg: settings.EngineSettings, body: Mapping[str, Any], rng: random.Random
) -> int:
    requested = body.get("max_completion_tokens") or body.get("max_tokens")
    if isinstance(requested, int):
        return max(1, min(MAX_TOKENS, requested))
    return rng.randint(max(1, cfg.mean_tokens // 2), cfg.mean_tokens * 3 // 2)


def _rng(seed: int, *parts: str) -> random.Random:
    seed_text = "\0".join((str(seed), *parts))
    return random.Random(xxhash.xxh64_intdigest(seed_text.encode()))
