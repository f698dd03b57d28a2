"""Plan of a run: every request, determined before the first is sent."""

import random

from . import arrivals
from . import outcome
from . import workload


def plan_requests(cfg: workload.Workload) -> list[outcome.PlannedRequest]:
    """Return the requests of a workload in order of arrival.

    The plan depends on nothing but the workload and its seed.
    """
    rng = random.Random(cfg.seed)
    times = arrivals.arrival_times(cfg.arrivals, cfg.duration, rng)
    names = sorted(cfg.classes)
    weights = [cfg.classes[name].weight for name in names]
    requests = []
    for number, at in enumerate(times):
        request_class = rng.choices(names, weights)[0]
        requests.append(
            outcome.PlannedRequest(
                number=number,
                at=at,
                caller=_choose_caller(cfg, request_class, rng),
                request_class=request_class,
                key=f"load-{cfg.seed}-{number}-{rng.getrandbits(48):012x}",
                seed=rng.getrandbits(48),
            )
        )
    return requests


def _choose_caller(
    cfg: workload.Workload, request_class: str, rng: random.Random
) -> str:
    allowed = cfg.classes[request_class].callers or tuple(cfg.callers)
    names = sorted(allowed)
    weights = [cfg.callers[name].weight for name in names]
    return rng.choices(names, weights)[0]
