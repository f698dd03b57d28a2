"""Stand-in of the platform's load balancer, inside the load tool.

It learns of a node's readiness by periodic health checks, so it lags by up
to one interval, as the platform's load balancer does.
"""

import asyncio
import random

import aiohttp

from . import workload

# Interval and time-out of health checks, in seconds.
CHECK_INTERVAL = 0.2
CHECK_TIMEOUT = 0.5


class Balancer:
    """Chooses a ready node for each connection.

    :param site: site whose nodes are chosen from.
    :param http: client session for the health checks.
    :param rng: source of the random choices.
    """

    def __init__(
        self,
        site: workload.Site,
        http: aiohttp.ClientSession,
        rng: random.Random,
    ) -> None:
        self._nodes = site.nodes
        self._http = http
        self._rng = rng
        self._ready: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Check all nodes once, then start periodic checks."""
        await self._check_all()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic checks."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def choose(self, avoid: str = "") -> str | None:
        """Return the name of a ready node, or None when there is none.

        :param avoid: node that just failed; chosen only if no other is ready.
        """
        names = sorted(self._ready - {avoid}) or sorted(self._ready)
        if not names:
            return None
        return self._rng.choice(names)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            await self._check_all()

    async def _check_all(self) -> None:
        await asyncio.gather(*(self._check(name) for name in self._nodes))

    async def _check(self, name: str) -> None:
        timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT)
        url = f"{self._nodes[name].operators}/ready"
        try:
            async with self._http.get(url, timeout=timeout) as resp:
                ready = resp.status == 200
        except (aiohttp.ClientError, TimeoutError):
            ready = False
        if ready:
            self._ready.add(name)
        else:
            self._ready.discard(name)
