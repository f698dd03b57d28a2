"""Arrival times of a workload."""

from collections.abc import Iterator
import math
import random

from . import workload


def arrival_times(
    cfg: workload.Arrivals, duration: float, rng: random.Random
) -> Iterator[float]:
    """Yield arrival times in seconds after the start, in order.

    :param duration: seconds during which requests arrive.
    :param rng: source of the random gaps.
    """
    if cfg.kind is workload.ArrivalKind.BURSTS:
        yield from _bursts(cfg, duration, rng)
        return
    peak = cfg.peak if cfg.kind is workload.ArrivalKind.DAWN else 1.0
    now = 0.0
    while True:
        # Thins a Poisson process at the peak rate to the current rate.
        now += rng.expovariate(cfg.rate * peak)
        if now >= duration:
            return
        if rng.random() * peak <= _relative_rate(peak, now / duration):
            yield now


def _bursts(
    cfg: workload.Arrivals, duration: float, rng: random.Random
) -> Iterator[float]:
    now = 0.0
    while True:
        now += rng.expovariate(cfg.rate / cfg.burst)
        if now >= duration:
            return
        for _ in range(1 + int(rng.expovariate(1 / cfg.burst))):
            yield now


def _relative_rate(peak: float, position: float) -> float:
    # A raised cosine pulse with the value ``peak`` in the middle and a width
    # chosen so that the mean over the run stays near 1.
    if peak == 1.0:
        return 1.0
    width = 1.0 / peak
    distance = abs(position - 0.5) / width
    if distance >= 1.0:
        return 0.0
    return peak * 0.5 * (1 + math.cos(math.pi * distance))
