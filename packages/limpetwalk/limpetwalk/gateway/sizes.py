"""Which model answers, and whether its answer is good enough.

Answers the load of mixed requests of which only some need a strong model.
"""

from collections.abc import Mapping
from collections.abc import Sequence

ENOUGH = 45


def start_model(models: Sequence[str], time_left: float) -> str:
    """Return the model that is tried first, or empty without a choice.

    :param models: models of the route, smallest first.
    """
    return models[0] if models else ""


def next_model(
    models: Sequence[str],
    model: str,
    confidence: int | None,
    costs: Mapping[str, float],
) -> str | None:
    """Return the model that should answer instead, None when it is fine.

    :param confidence: the model's opinion of its answer, 0 to 100; None
        when it gave none.
    """
    if confidence is None or confidence >= ENOUGH or model == models[-1]:
        return None
    return models[-1]
