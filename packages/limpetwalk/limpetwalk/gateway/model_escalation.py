"""Selects the model of a request and escalates to a larger one.

Serves mixed requests of which only some need a strong model: the smallest
model responds first. Its confidence in the response, which is known before any
of it is passed on, decides whether to escalate, and to which model.
"""

from collections.abc import Sequence

# Confidence from which a response is passed on, 0 to 100. Below it, more
# responses are poor than good.
SUFFICIENT_CONFIDENCE = 50
# Greatest distance below ``SUFFICIENT_CONFIDENCE`` that is a near miss. The
# next size answers most near misses well; the rest goes to the largest model
# at once.
NEAR_MISS = 14


def start_model(models: Sequence[str]) -> str:
    """Return the model that responds first, or empty when there is none.

    :param models: models of the route, smallest first.
    """
    return models[0] if models else ""


def next_model(
    models: Sequence[str], model: str, confidence: int | None
) -> str | None:
    """Return the model to escalate to, or None to keep the response.

    :param models: models of the route, smallest first.
    :param model: model that has responded.
    :param confidence: its confidence in the response, 0 to 100; None when it
        reported none.
    """
    if (
        confidence is None
        or confidence >= SUFFICIENT_CONFIDENCE
        or model not in models
    ):
        return None
    larger = models[models.index(model) + 1 :]
    if not larger:
        return None
    if confidence >= SUFFICIENT_CONFIDENCE - NEAR_MISS:
        return larger[0]
    return larger[-1]
