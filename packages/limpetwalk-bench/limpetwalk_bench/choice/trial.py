"""One run of a balancing policy under a load."""

import asyncio
from dataclasses import dataclass
import itertools
import random

import numpy

from limpetwalk import metrics
from limpetwalk import refusals
from limpetwalk.backends import base
from limpetwalk.conf import snapshot
from limpetwalk.routing import balancer
from limpetwalk.routing import cold_permits
from limpetwalk.routing import dispatch_core
from limpetwalk.routing import dispatchers
from limpetwalk.routing import quarantine
from limpetwalk.routing import replicas
from limpetwalk.routing import work
from limpetwalk_bench.engine import settings

from . import engines
from . import policies
from . import virtual

VERSION = snapshot.ModelVersion("small", "v1")
MAX_BATCH = 8
MEAN_TOKENS = 24
DEADLINE_SECONDS = 4.0
REPORT_INTERVAL_SECONDS = 1.0
UNLIMITED = 100_000
SESSIONS = 40
PREFIX_WORDS = 160
ZONES = ("z1", "z2", "z3")


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of one run.

    :param policy: name of the balancing policy.
    :param load: offered load as a share of the engines' capacity.
    :param replicas: number of engines.
    :param nodes: number of entry nodes.
    :param seconds: time during which requests arrive.
    :param seed: seed of arrivals and choices.
    """

    policy: str
    load: float
    replicas: int
    nodes: int
    seconds: float
    seed: int


@dataclass(slots=True)
class Result:
    """Result of one run.

    :param offered: requests that were sent.
    :param answered: requests that were answered.
    :param refused: requests that were refused.
    :param first_tokens: seconds until the first token of each answer.
    """

    offered: int = 0
    answered: int = 0
    refused: int = 0
    first_tokens: list[float] | None = None

    def quantile(self, share: float) -> float:
        """Return a quantile of the time to the first token in seconds."""
        if not self.first_tokens:
            return float("nan")
        return float(numpy.quantile(self.first_tokens, share))


def capacity() -> float:
    """Return the requests a second that an engine answers without cache."""
    cfg = settings.EngineSettings()
    step_ms = cfg.base_ms + cfg.slope_ms * MAX_BATCH
    tokens_ms = step_ms / MAX_BATCH * MEAN_TOKENS
    return 1000 / (tokens_ms + cfg.prompt_ms * PREFIX_WORDS)


class Trial:
    """Engines, entry nodes and arriving requests of one run.

    :param plan: parameters of the run.
    """

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._arrival_rng = random.Random(plan.seed)
        self._choice_rng = random.Random(plan.seed + 1)
        self._clock = virtual.VirtualClock(asyncio.get_running_loop())
        self._engines = {
            f"e{number}": engines.LocalEngine(
                settings.EngineSettings(
                    start_cold=False,
                    max_batch=MAX_BATCH,
                    max_queue=UNLIMITED,
                    mean_tokens=MEAN_TOKENS,
                    cache_blocks=10 * PREFIX_WORDS // 16,
                ),
                self._clock,
            )
            for number in range(plan.replicas)
        }
        self._applied = snapshot.AppliedSnapshot(1, self._make_snapshot())
        self._cores = [
            self._make_core(ZONES[number % len(ZONES)])
            for number in range(plan.nodes)
        ]
        self._dispatchers = [
            self._make_dispatcher(core) for core in self._cores
        ]
        self._result = Result(first_tokens=[])

    async def run(self) -> Result:
        """Send all requests and return the result when each has ended."""
        for engine in self._engines.values():
            engine.start()
        report_task = asyncio.create_task(self._poll_load_reports())
        rate = self._plan.load * capacity() * self._plan.replicas
        tasks = []
        for number in itertools.count():
            await asyncio.sleep(self._arrival_rng.expovariate(rate))
            if self._clock.monotonic() > self._plan.seconds:
                break
            tasks.append(asyncio.create_task(self._send_request(number)))
        await asyncio.gather(*tasks)
        report_task.cancel()
        for engine in self._engines.values():
            await engine.close()
        return self._result

    async def _send_request(self, number: int) -> None:
        session = self._arrival_rng.randrange(SESSIONS)
        words = " ".join(f"s{session}w{n}" for n in range(PREFIX_WORDS))
        message = {"role": "user", "content": f"{words} question {number}"}
        started = self._clock.monotonic()
        engine_work = work.EngineWork(
            f"r{number}",
            VERSION,
            {"messages": [message]},
            1,
            started + DEADLINE_SECONDS,
            f"session-{session}",
        )
        self._result.offered += 1
        first_token = None
        dispatcher = self._dispatchers[number * 7 % len(self._dispatchers)]
        try:
            async for event in dispatcher.complete(engine_work):
                if first_token is None and isinstance(event, base.Delta):
                    first_token = self._clock.monotonic() - started
        except refusals.Refused:
            self._result.refused += 1
            return
        self._result.answered += 1
        assert self._result.first_tokens is not None
        self._result.first_tokens.append(first_token or 0.0)

    async def _poll_load_reports(self) -> None:
        while True:
            for core in self._cores:
                known_replicas = core.directory.current().by_name.values()
                for replica in known_replicas:
                    report = await replica.client.fetch_load()
                    replica.apply_load_report(report, self._clock.monotonic())
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    def _make_core(self, zone: str) -> dispatch_core.DispatchCore:
        return dispatch_core.DispatchCore(
            lambda: self._applied,
            cold_permits.LocalPermits(lambda: 1),
            quarantine.Quarantine(clock=self._clock),
            self._clock,
            metrics.Metrics(),
            self._choice_rng,
            replicas.NodeContext(zone, lambda: self._plan.nodes),
            self._make_balancer(),
            lambda server, tuning: engines.LocalClient(
                server, self._engines[server.name]
            ),
        )

    def _make_dispatcher(
        self, core: dispatch_core.DispatchCore
    ) -> dispatchers.EngineDispatcher:
        return dispatchers.EngineDispatcher(
            lambda: self._applied,
            cold_permits.LocalPermits(lambda: 1),
            core.quarantine,
            self._clock,
            metrics.Metrics(),
            self._choice_rng,
            core,
        )

    def _make_balancer(self) -> balancer.Balancer:
        if self._plan.policy == "random":
            return policies.RandomChoice(self._choice_rng)
        if self._plan.policy == "round robin":
            return policies.RoundRobin(self._choice_rng)
        if self._plan.policy == "least connections":
            return policies.LeastConnections(self._choice_rng)
        if self._plan.policy == "reports":
            return policies.LeastReported(self._choice_rng, self._clock)
        if self._plan.policy == "perfect knowledge":
            return policies.PerfectKnowledge(
                self._choice_rng,
                lambda name: self._engines[name].engine.in_flight,
            )
        return balancer.LeastInFlight(
            self._clock, self._choice_rng, lambda: self._plan.nodes
        )

    def _make_snapshot(self) -> snapshot.Snapshot:
        state = snapshot.PlacementState.IN
        limits_concurrency = self._plan.policy == "limpetwalk"
        servers = {}
        for number, name in enumerate(self._engines):
            servers[name] = snapshot.Server(
                name,
                snapshot.ServerKind.ENGINE,
                "openai",
                f"127.0.0.1:{number + 1}",
                ZONES[number % len(ZONES)],
                state,
                frozenset([VERSION]),
                "",
                MAX_BATCH if limits_concurrency else UNLIMITED,
                snapshot.WarmUp(UNLIMITED, 0.0),
                True,
            )
        version_states = {"v1": snapshot.VersionState.LIVE}
        return snapshot.Snapshot(
            "digest",
            {"small": snapshot.Model("small", version_states, "v1", 1, 1)},
            servers,
            {},
            {},
            {},
            {},
            {name: snapshot.Zone(name, "region", state) for name in ZONES},
            (),
            snapshot.Tuning(),
        )
