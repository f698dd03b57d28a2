"""Fake backend servers and snapshots for the routing tests."""

import asyncio
import random

from limpetwalk import clock as clocks
from limpetwalk import metrics
from limpetwalk.backends import base
from limpetwalk.conf import snapshot
from limpetwalk.routing import cold_permits
from limpetwalk.routing import dispatch_core
from limpetwalk.routing import quarantine
from limpetwalk.routing import replicas
from limpetwalk.routing import work
from tests.limpetwalk.backends import backend_fixtures

SERVICE = "registry"
TOKENS = ("a ", "b ", "c ", "d ")
DEADLINE = 10.0
WARM = snapshot.WarmUp(1000, 0.0)


def failure(
    kind: base.FailureKind, sent: bool = True, crashed: bool = False
) -> base.AttemptFailed:
    """Return the failure of an attempt."""
    return base.AttemptFailed(kind, sent, crashed)


class FakeClient:
    """Client that follows a script with one step for each call.

    A step is a failure, a pair of a number of tokens and a failure, an
    event to wait for, or None for an answer. Calls after the end of the
    script are answered.
    """

    def __init__(self, server: snapshot.Server, tuning=None) -> None:
        self.server = server
        self.boot_id = f"{server.name}-boot-1"
        self.script: list = []
        self.calls: list = []
        self.closed = False

    async def complete(self, call: base.EngineCall):
        self.calls.append(call)
        step = self.script.pop(0) if self.script else None
        count, exc = step if isinstance(step, tuple) else (len(TOKENS), step)
        if isinstance(exc, asyncio.Event):
            await exc.wait()
            exc = None
        if isinstance(step, Exception):
            raise step
        for text in TOKENS[call.resume_from : count]:
            yield base.Delta(text)
        if exc is not None:
            raise exc
        yield base.Finished(base.Usage(3, len(TOKENS)), "stop")

    async def call_service(self, call: base.ServiceCall) -> base.ServiceAnswer:
        self.calls.append(call)
        step = self.script.pop(0) if self.script else None
        if isinstance(step, asyncio.Event):
            await step.wait()
        if isinstance(step, Exception):
            raise step
        return base.ServiceAnswer(200, self.server.name.encode())

    async def fetch_load(self) -> base.LoadReport:
        step = self.script.pop(0) if self.script else None
        if isinstance(step, Exception):
            raise step
        return base.LoadReport(self.boot_id, 0, 0, 8.0, 0.0)

    async def close(self) -> None:
        self.closed = True


class Site:
    """Snapshot with engines or services, and the dispatch core for them.

    :param count: backend servers, spread over three zones.
    """

    def __init__(
        self,
        count: int = 3,
        service: str = "",
        clock: clocks.Clock | None = None,
        concurrency: int = 4,
        warmup_limits: snapshot.WarmUp = WARM,
        permits: cold_permits.PermitSource | None = None,
        tuning: snapshot.Tuning | None = None,
        nodes: int = 1,
    ) -> None:
        self.clock = clock or clocks.SystemClock()
        self.leaving: frozenset[str] = frozenset()
        self.metrics = metrics.Metrics()
        self.quarantine = quarantine.Quarantine(clock=self.clock)
        self.clients: dict[str, FakeClient] = {}
        self._zones = {"z1", "z2", "z3"}
        self._zones_out: set[str] = set()
        self._versions = {"v1": snapshot.VersionState.LIVE}
        self._tuning = tuning or snapshot.Tuning(retry_share=1.0)
        self._servers = {
            f"s{number}": backend_fixtures.server(
                f"s{number}",
                1000 + number,
                service,
                zone=f"z{number % 3 + 1}",
                concurrency=concurrency,
                warmup=warmup_limits,
            )
            for number in range(count)
        }
        self.applied = self._apply()
        self.core = dispatch_core.DispatchCore(
            lambda: self.applied,
            permits or cold_permits.LocalPermits(lambda: nodes),
            self.quarantine,
            self.clock,
            self.metrics,
            random.Random(1),
            replicas.NodeContext("z1", lambda: nodes, lambda: self.leaving),
            factory=self._client,
        )
        self.core.directory.current()

    def zone_out(self, zone: str, out: bool = True) -> None:
        """Take a zone out of service, or back in."""
        (self._zones_out.add if out else self._zones_out.discard)(zone)
        self.applied = self._apply()

    def withdraw(self, version: str) -> None:
        """Withdraw a version."""
        self._versions = {version: snapshot.VersionState.WITHDRAWN}
        self.applied = self._apply()

    def replica(self, name: str) -> replicas.Replica:
        """Return a replica."""
        replica = self.core.directory.replica(name)
        assert replica is not None
        return replica

    def calls(self) -> list:
        """Return the calls that all servers received."""
        return [
            call for client in self.clients.values() for call in client.calls
        ]

    def engine_work(self, text: str = "hello", **values) -> work.EngineWork:
        """Return the work for a chat completion."""
        deadline = self.clock.monotonic() + values.pop("timeout", DEADLINE)
        return work.EngineWork(
            "r1",
            backend_fixtures.VERSION,
            backend_fixtures.chat(text),
            values.pop("priority", 1),
            deadline,
            **values,
        )

    def service_work(self, body: bytes = b"{}") -> work.ServiceWork:
        """Return the work for a service call."""
        deadline = self.clock.monotonic() + DEADLINE
        return work.ServiceWork(
            "r1", SERVICE, "POST", "/payments", {}, body, 1, deadline
        )

    def _client(self, server: snapshot.Server, tuning) -> FakeClient:
        return self.clients.setdefault(server.name, FakeClient(server))

    def _apply(self) -> snapshot.AppliedSnapshot:
        states = snapshot.PlacementState
        zones = {
            name: snapshot.Zone(
                name,
                "region",
                states.OUT if name in self._zones_out else states.IN,
            )
            for name in self._zones
        }
        model = snapshot.Model("small", self._versions, "v1", 1, 1)
        snap = snapshot.Snapshot(
            "digest",
            {"small": model},
            self._servers,
            {},
            {},
            {},
            {},
            zones,
            (),
            self._tuning,
        )
        return snapshot.AppliedSnapshot(1, snap)
