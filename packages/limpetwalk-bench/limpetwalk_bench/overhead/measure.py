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
    :param url: URL that requests are posted to.
    :param headers: headers of each request.
    """

    name: str
    url: str
    headers: dict[str, str]


@dataclass(slots=True)
class Sample:
    """Latencies of the requests sent to one target.

    :param latencies: seconds from sending until the answer is complete.
    :param errors: requests that failed or had a status other than 200.
    """

    latencies: list[float] = field(default_factory=list)
    errors: int = 0

    def quantile_ms(self, share: float) -> float:
        """Return a quantile of the latencies in milliseconds."""
        return float(np.quantile(self.latencies, share)) * 1000


async def post(
    http: aiohttp.ClientSession,
    target: Target,
    body: dict[str, Any],
    sample: Sample,
) -> None:
    """Send one request and add its latency or error to a sample."""
    started = time.perf_counter()
    try:
        async with http.post(
            target.url, json=body, headers=target.headers
        ) as resp:
            await resp.read()
            succeeded = resp.status == 200
    except aiohttp.ClientError:
        succeeded = False
    if succeeded:
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
    """Send requests with exponential gaps, whether or not answers come.

    :param http: client session.
    :param target: target of the requests.
    :param body: makes the body of a request.
    :param rate: mean requests a second.
    :param duration: seconds during which requests are sent.
    :param rng: source of the gaps.
    :param sample: sample that the latencies are added to.
    """
    tasks = []
    due = time.perf_counter()
    end = due + duration
    while True:
        due += rng.expovariate(rate)
        if due >= end:
            break
        delay = due - time.perf_counter()
        if delay > 0:
            await asyncio.sleep(delay)
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
    """Have workers send requests, each when its previous one has ended.

    :param http: client session.
    :param target: target of the requests.
    :param body: makes the body of a request.
    :param concurrency: number of workers.
    :param duration: seconds during which requests are sent.
    :returns: answered requests a second.
    """
    sample = Sample()
    started = time.perf_counter()

    async def worker() -> None:
        while time.perf_counter() - started < duration:
            await post(http, target, body(), sample)

    await asyncio.gather(*(worker() for _ in range(concurrency)))
    return len(sample.latencies) / (time.perf_counter() - started)
