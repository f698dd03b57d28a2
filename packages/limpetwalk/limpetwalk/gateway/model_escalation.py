"""Which model answers, and whether its answer is good enough.

Answers the load of mixed requests of which only some need a strong model:
the smallest model answers first, and its own opinion of the answer, which
comes before any of it is passed on, says how much larger a model is worth
its price.
"""

from collections.abc import Sequence

# Opinion from which an answer is passed on, 0 to 100. Below it more answers
# are poor than good.
SUFFICIENT_CONFIDENCE = 50
# Greatest distance below ``SUFFICIENT_CONFIDENCE`` that is a near miss. The
# next size answers most near misses well; the rest goes to the largest model
# at once.
NEAR_MISS = 14


def start_model(models: Sequence[str]) -> str:
    """Return the model that is tried first, or empty without a choice.

    :param models: models of the route, smallest first.
    """
    return models[0] if models else ""


def next_model(
    models: Sequence[str], model: str, confidence: int | None
) -> str | None:
    """Return the model that should answer instead, None when it is fine.

    :param models: models of the route, smallest first.
    :param model: model that has answered.
    :param confidence: its opinion of the answer, 0 to 100; None when it
        gave none.
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
