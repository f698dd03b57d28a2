"""Fakes of the node's components and a node that is built from them."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import hashlib
import random

import aiohttp
from aiohttp import web

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as measures
from limpetwalk.backends import base as backends
from limpetwalk.conf import snapshot
from limpetwalk_node import app
from limpetwalk_node import lifecycle
from limpetwalk_node.api import server
from limpetwalk_node.records import non_idempotent_runner
from limpetwalk_node.records import record_writer

KEY = "key-of-bercvar"
OTHER_KEY = "key-of-navarrete"


def make_snapshot(**changes) -> snapshot.Snapshot:
    """Return a configuration with two workspaces and two models."""
    live = snapshot.VersionState.LIVE
    cfg = snapshot.Snapshot(
        digest="d1",
        models={
            name: snapshot.Model(name, {"v1": live, "v2": live}, "v1", *prices)
            for name, prices in (
                ("small", (100, 200)),
                ("large", (1000, 2000)),
            )
        },
        servers={},
        cascades={
            "assistant": snapshot.Cascade(
                "assistant", "fixed", ("small", "large"), 0.7
            ),
            "strong": snapshot.Cascade(
                "strong", "always_strong", ("large",), 0.7
            ),
        },
        services={
            "registry": snapshot.Service(
                "registry",
                (
                    snapshot.ServiceRoute("GET", "/filings/*", True),
                    snapshot.ServiceRoute("POST", "/payments", False),
                ),
                10.0,
            )
        },
        workspaces={
            "bercvar": _workspace("bercvar", KEY, {"small", "large"}),
            "navarrete": dataclasses.replace(
                _workspace("navarrete", OTHER_KEY, {"small"}),
                services=frozenset(),
            ),
        },
        rollouts={},
        zones={},
        session_keys=(snapshot.SessionKey("k1", "secret"),),
        tuning=snapshot.Tuning(body_limit_bytes=100_000),
    )
    return dataclasses.replace(cfg, **changes)


def _workspace(name, key, models) -> snapshot.Workspace:
    return snapshot.Workspace(
        name=name,
        key_digests=(hashlib.sha256(key.encode()).hexdigest(),),
        cascades=frozenset({"assistant", "strong"}),
        models=frozenset(models),
        services=frozenset({"registry"}),
        rate=1000.0,
        concurrency=100,
        priority=1,
    )


class SkewedClock(clocks.SystemClock):
    """System clock with an offset that a test adds to its wall time."""

    offset = 0.0

    def wall(self):
        return super().wall() + self.offset


class FakeConfig:
    """Configuration source whose snapshot a test changes."""

    def __init__(self, cfg=None) -> None:
        self.applied = snapshot.AppliedSnapshot(1, cfg or make_snapshot())
        self.fresh = True

    def current(self):
        return self.applied

    def is_fresh(self):
        return self.fresh

    def change(self, **changes) -> None:
        previous = self.applied
        self.applied = snapshot.AppliedSnapshot(
            previous.generation + 1,
            dataclasses.replace(previous.snapshot, **changes),
        )


class FakeEngines:
    """Engines that answer with scripted events."""

    def __init__(self) -> None:
        self.work_items = []
        self.answers = {"small": ["cheap ", "words"], "large": ["strong"]}
        self.failure = None
        self.fail_after = 0
        self.gate = None
        self.reached = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def complete(self, item) -> AsyncIterator[backends.EngineEvent]:
        self.work_items.append(item)
        count = 0
        try:
            for text in self.answers[item.target.model]:
                if self.failure and count >= self.fail_after:
                    raise self.failure
                yield backends.Delta(text)
                count += 1
                if self.gate is not None:
                    self.reached.set()
                    await self.gate.wait()
            if self.failure:
                raise self.failure
            yield backends.Finished(backends.Usage(10, count), "stop")
        except (asyncio.CancelledError, GeneratorExit):
            self.cancelled.set()
            raise


class FakeRatings:
    """Rating service with a fixed score for each model."""

    def __init__(self) -> None:
        self.scores = {"small": 0.9, "large": 0.95}
        self.available = True

    async def rate(self, req, timeout):
        if not self.available:
            raise exceptions.RatingUnavailable("down")
        return self.scores[req.model]

    async def close(self):
        pass


class FakeServices:
    """Plain services that record their runs."""

    def __init__(self) -> None:
        self.runs = []
        self.failure = None
        self.gate = None
        self.reached = asyncio.Event()
        self.answer = backends.ServiceAnswer(
            201, b'{"ok": true}', {"Content-Type": "application/json"}
        )

    async def call(self, item):
        return await self._run(item)

    async def call_once(self, item, before_send, on_unsent):
        await before_send("registry-1", f"{item.request_id}-1")
        return await self._run(item)

    async def _run(self, item):
        self.runs.append(item)
        self.reached.set()
        if self.gate is not None:
            await self.gate.wait()
        if self.failure:
            raise self.failure
        return self.answer


class FakeBiller:
    """Biller that stores its entries in a list."""

    def __init__(self) -> None:
        self.entries = []
        self.available = True
        self.billed = asyncio.Event()

    async def bill(self, entry):
        self.entries.append(entry)
        self.billed.set()
        if not self.available:
            raise exceptions.StoreUnavailable("down")

    async def flush(self, timeout):
        return 0


class FakeNode:
    """Node built from fakes, whose callers' API listens on loopback."""

    def __init__(self, records) -> None:
        self.config = FakeConfig()
        self.engines = FakeEngines()
        self.ratings = FakeRatings()
        self.services = FakeServices()
        self.records = records
        self.biller = FakeBiller()
        self.lost_holders = set()
        self.is_full = False
        self.stored_answers = {}
        self.clock = SkewedClock()
        self.metrics = measures.Metrics()
        self.interfaces = app.compose(self.components())
        self.lifecycle = self.interfaces.node_lifecycle
        self.lifecycle.phase = lifecycle.Phase.SERVING

    def components(self) -> app.NodeComponents:
        return app.NodeComponents(
            name="node-1",
            holder="node-1/1",
            config=self.config,
            apply_config=self._apply_config,
            engines=self.engines,
            services=self.services,
            ratings=self.ratings,
            records=self.records,
            biller=self.biller,
            is_holder_live=lambda holder: holder not in self.lost_holders,
            fetch_answer=self._fetch_answer,
            is_full=lambda: self.is_full,
            status=lambda node_lifecycle: {"name": "node-1"},
            clock=self.clock,
            metrics=self.metrics,
            rng=random.Random(7),
            wait_limits=non_idempotent_runner.WaitLimits(0.1, 0.02),
            write_retries=record_writer.WriteRetries(100, 0.02),
        )

    async def _fetch_answer(self, record):
        return self.stored_answers.get(record.request_id)

    async def _apply_config(self, generation, data):
        return generation > self.config.applied.generation

    async def start(self) -> None:
        api = self.interfaces.callers
        self._runner = web.ServerRunner(
            server.TypedErrorServer(api.handle, api.refuse_unreadable),
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.port = self._runner.addresses[0][1]
        self.url = f"http://127.0.0.1:{self.port}"
        self.http = aiohttp.ClientSession(
            self.url, headers={"Authorization": f"Bearer {KEY}"}
        )

    async def stop(self) -> None:
        await self.http.close()
        await self._runner.cleanup()

    def refusal_count(self, reason: str, run: str = "not_run") -> float:
        """Return the count of refusals with a reason and a run state."""
        return self.metrics.value(
            "limpetwalk_refusals_total", {"reason": reason, "run": run}
        )
