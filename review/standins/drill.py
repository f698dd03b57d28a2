"""A roll-out that is completed, before the store comes back from a copy."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import random
import time

import deployment

SERVICE, KEY = "wuno96b", "n2ctnfzs989anu6wsjnb"
NODES, REPLICAS = 3, 3
# Period of the order, and time after the order at which the store is lost,
# in seconds.
PERIOD, LOST_AT = 16.0, 16.5
# Longest age of the copy, and time for which the store is away, in seconds.
MAX_COPY_AGE, AWAY = 6.0, 1.0
# Time after which the platform lets entries of ended servers expire, seconds.
EXPIRY = 3 * deployment.HEARTBEAT_S
RECOVER_S, MEASURED_S = 12.0, 10.0
# Requests a second, in sessions.
PER_S, SESSIONS = 10.0, 8

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-lookup",
            "hostname": "ficu95.example",
            "prefix": "/cufi504/",
            "type": "idempotent",
            "timeout_ms": 1000,
            "slo_ms": 200,
            "priority": 2,
            "backend": SERVICE,
            "attempts": 2,
            "public": False,
        }
    ],
    "backends": [{"name": SERVICE, "health_path": "/healthz"}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
}
ORDER = {"backend": SERVICE, "to": "v2", "period_s": PERIOD}


class Traffic:
    """Sends requests of a few sessions, and counts the answers."""

    def __init__(self, site: deployment.Site) -> None:
        self._site = site
        self._rng = random.Random()
        self._number = 0
        self._tasks: set[asyncio.Task] = set()
        # For each request the time of its sending, and its status or 0.
        self.answers: list[tuple[float, int]] = []

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(PER_S))
            task = asyncio.create_task(self._send())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self) -> None:
        self._number += 1
        sent_at = self._site.now
        answer = await self._site.send(
            self._rng.choice(self._site.nodes),
            "GET",
            "/cufi504/2f",
            [
                ("Host", "ficu95.example"),
                ("Attempt-Id", f"a{self._number:06d}"),
                ("Session", f"s{self._rng.randrange(SESSIONS)}"),
                ("Deadline-Ms", "1000"),
                ("Authorization", f"Token {KEY}"),
            ],
            timeout=1.5,
        )
        served = answer is not None and answer.complete
        status = answer.status if answer is not None and served else 0
        self.answers.append((sent_at, status))

    def served(self, start: float, end: float) -> tuple[int, int]:
        """Return how many of the requests sent in a span were served."""
        found = [code for at, code in self.answers if start <= at < end]
        return sum(code == 200 for code in found), len(found)


class Platform:
    """Carries out what the status of the roll-out says, and keeps copies."""

    def __init__(self, site: deployment.Site) -> None:
        self._site = site
        self.copies: list[tuple[str, tuple]] = []
        self.completed_at: float | None = None

    def phase(self) -> str:
        """Return the phase in the system's own row, for the choice of copy."""
        value, _ = self._site.store.rows.get(
            ("limpetwalk", f"rollout/{SERVICE}"), (b"{}", 0)
        )
        return json.loads(value).get("phase", "")

    def state(self) -> str:
        value, _ = self._site.store.rows.get(
            ("status", f"rollout/{SERVICE}"), (b"{}", 0)
        )
        return json.loads(value).get("state", "")

    async def run(self) -> None:
        known = ""
        while True:
            await asyncio.sleep(0.1)
            self.copies.append((self.phase(), self._site.store.snapshot()))
            state = self.state()
            if state != known:
                known = state
                self._site.note("status", state=state, phase=self.phase())
            if state == "complete" and self.completed_at is None:
                self.completed_at = self._site.now
                for server in self._site.servers:
                    if server.version == "v1":
                        await server.kill()


async def lose_store(
    site: deployment.Site, platform: Platform, kill: bool
) -> None:
    """Bring the store back from a copy from before the last stages.

    :param kill: whether all nodes are killed meanwhile.
    """
    copy = next(
        (
            copy
            for phase, copy in reversed(platform.copies)
            if phase == "canary"
        ),
        None,
    )
    if copy is None or time.monotonic() - copy[0] > MAX_COPY_AGE:
        raise deployment.CannotRun("no copy of that age was before the end")
    site.store.away = True
    site.note("store away")
    if kill:
        await kill_nodes(site)
    await asyncio.sleep(AWAY)
    site.note("store restored", copy_age=round(time.monotonic() - copy[0], 1))
    site.store.restore(copy)
    site.store.away = False
    if kill:
        await start_nodes(site)
    # The operator has written nothing since the copy; the replicas write
    # their entries again.
    await asyncio.sleep(EXPIRY)
    site.expire_entries()


async def kill_nodes(site: deployment.Site) -> None:
    """Kill all nodes at once."""
    for node in site.nodes:
        await node.kill()
    site.note("all nodes killed")


async def start_nodes(site: deployment.Site) -> None:
    """Start all nodes."""
    for node in site.nodes:
        await node.start()


async def play(
    site: deployment.Site,
    trouble: Callable[[deployment.Site, Platform], Awaitable[None]],
) -> int:
    """Play the roll-out and then the trouble; return whether it held.

    :param trouble: runs after the roll-out is complete, until all nodes have
        been started again.
    """
    await site.start(NODES)
    site.store.put("op", "config", CONFIG)
    for number in range(REPLICAS):
        await site.add_server(f"i-old-{number}", SERVICE, "hu-central-a")
    for node in site.nodes:
        await node.start()
    for node in site.nodes:
        await node.await_ready()
    traffic, platform = Traffic(site), Platform(site)
    began = site.now
    tasks = [asyncio.create_task(traffic.run())]
    await asyncio.sleep(4)
    for number in range(REPLICAS):
        await site.add_server(
            f"i-new-{number}", SERVICE, "hu-central-a", version="v2"
        )
    ordered_at = site.now
    site.store.put("op", f"rollout/{SERVICE}", ORDER)
    tasks.append(asyncio.create_task(platform.run()))
    await asyncio.sleep(LOST_AT)
    if platform.completed_at is None:
        raise deployment.CannotRun("the roll-out was not complete in time")
    site.note("complete", after=round(platform.completed_at - ordered_at, 1))
    lost_at = site.now
    if deployment.TROUBLE:
        await trouble(site, platform)
    for node in site.nodes:
        await node.await_ready()
    back_at = site.now
    site.note("all nodes are back and ready")
    await asyncio.sleep(RECOVER_S + MEASURED_S)
    before = traffic.served(began, lost_at)
    after = traffic.served(back_at + RECOVER_S, site.now - 1.5)
    for task in tasks:
        task.cancel()
    alive = [
        server.id
        for server in site.servers
        if server.process is not None and server.process.returncode is None
    ]
    site.note("result", served_before=before, served_after=after, alive=alive)
    print(f"status {platform.state()!r}, replicas that run: {alive}")
    print(f"served before: {before[0]} of {before[1]}")
    print(
        f"served later than {RECOVER_S:.0f} s after: {after[0]} of {after[1]}"
    )
    if not after[1] or before[0] * 4 < before[1]:
        raise deployment.CannotRun("too few requests were served before")
    broken = after[0] * 4 < after[1]
    return deployment.BROKEN if broken else deployment.HELD
