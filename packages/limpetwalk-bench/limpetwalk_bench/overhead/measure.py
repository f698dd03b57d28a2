"""Open- and closed-loop measurements of one HTTP target."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random
import time
from typing import Any

import aiohttp
import numpy as np


@dataclass(frozen=True, slots=True)
class Target:
    """HTTP target of a measurement.

    :param name: name in the table.
    :param url: URL that is posted to.
    :param headers: headers of each request.
    """

    name: str
    url: str
    headers: dict[str, str]


@dataclass(slots=True)
class Sample:
    """Latencies of the requests sent to one target.

    :param latencies: seconds from sending to the whole answer.
    :param errors: requests without a status of 200.
    """

    latencies: list[float] = field(default_factory=list)
    errors: int = 0

    def quantile_ms(self, share: float) -> float:
        """Return a quantile in milliseconds."""
        return float(np.quantile(self.latencies, share)) * 1000


async def post(
    http: aiohttp.ClientSession,
    target: Target,
    body: dict[str, Any],
    sample: Sample,
) -> None:
    """Send one request and add its latency to a sample."""
    started = time.perf_counter()
    try:
        async with http.post(
            target.url, json=body, headers=target.headers
        ) as resp:
            await resp.read()
            good = resp.status == 200
    except aiohttp.ClientError:
        good = False
    if good:
        sample.latencies.append(time.perf_counter() - started)
    else:
        sample.errors += 1


async def open_loop(
    http: aiohttp.ClientSession,
    target: Target,
    body: Callable[[], dict[str, Any]],
    rate: float,
    duration: float,
    rng: random.Random,
    sample: Sample,
) -> None:
    """Send requests at random times of a given mean rate."""
    tasks = []
    due = time.perf_counter()
    end = due + duration
    while True:
        due += rng.expovariate(rate)
        if due >= end:
            break
        wait = due - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
        task = asyncio.create_task(post(http, target, body(), sample))
        tasks.append(task)
    await asyncio.gather(*tasks)


async def closed_loop(
    http: aiohttp.ClientSession,
    target: Target,
    body: Callable[[], dict[str, Any]],
    concurrency: int,
    duration: float,
) -> float:
    """Send requests back to back.

    :returns: answered requests a second.
    """
    sample = Sample()
    started = time.perf_counter()

    async def worker() -> None:
        while time.perf_counter() - started < duration:
            await post(http, target, body(), sample)

    await asyncio.gather(*(worker() for _ in range(concurrency)))
    return len(sample.latencies) / (time.perf_counter() - started)
