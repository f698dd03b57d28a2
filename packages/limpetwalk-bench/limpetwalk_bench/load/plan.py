"""Plan of a run: every request, decided before the first is sent."""

import random

from . import arrivals
from . import outcome
from . import workload


def plan_requests(cfg: workload.Workload) -> list[outcome.Planned]:
    """Return the requests of a workload in the order of their arrival.

    The same workload gives the same plan, whatever happens at run time.
    """
    rng = random.Random(cfg.seed)
    times = arrivals.arrival_times(cfg.arrivals, cfg.duration, rng)
    names = sorted(cfg.classes)
    weights = [cfg.classes[name].weight for name in names]
    plans = []
    for number, at in enumerate(times):
        request_class = rng.choices(names, weights)[0]
        plans.append(
            outcome.Planned(
                number=number,
                at=at,
                caller=_choose_caller(cfg, request_class, rng),
                request_class=request_class,
                key=f"load-{cfg.seed}-{number}-{rng.getrandbits(48):012x}",
                seed=rng.getrandbits(48),
            )
        )
    return plans


def _choose_caller(
    cfg: workload.Workload, request_class: str, rng: random.Random
) -> str:
    allowed = cfg.classes[request_class].callers or tuple(cfg.callers)
    names = sorted(allowed)
    weights = [cfg.callers[name].weight for name in names]
    return rng.choices(names, weights)[0]
