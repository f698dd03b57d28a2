"""Tests of tasks that must not end before the process stops."""

import asyncio
from collections.abc import Callable
import contextlib
import socket
from typing import Any
import unittest
from unittest import mock

import uvloop

from limpetwalk import metrics as metrics_
from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import server_limits
from limpetwalk.gateway import server_load
from limpetwalk.gateway import server_speed
from limpetwalk.gateway import store_watch
from limpetwalk_bench.hub import site
from limpetwalk_node.gateway import cluster_state
from limpetwalk_node.gateway import load_broadcast
from limpetwalk_node.gateway import node
from limpetwalk_node.gateway import pauses
from limpetwalk_node.gateway import rollouts
from limpetwalk_node.gateway import supervision
from limpetwalk_node.gateway import table_follower

from . import harness


class FailingOnce:
    """Stands for a method, whose first calls raise."""

    def __init__(self, method: Callable[..., Any], failures: int = 1) -> None:
        self.method = method
        self.failures = failures
        self.calls = 0

    def __get__(self, instance: Any, owner: Any) -> Callable[..., Any]:
        return lambda *args, **kwargs: self(instance, *args, **kwargs)

    def __call__(self, *args: Any, **kwargs: Any) -> Any:
        if asyncio.iscoroutinefunction(self.method):
            return self._await(*args, **kwargs)
        self._count_call()
        return self.method(*args, **kwargs)

    async def _await(self, *args: Any, **kwargs: Any) -> Any:
        self._count_call()
        return await self.method(*args, **kwargs)

    def _count_call(self) -> None:
        self.calls += 1
        if self.calls <= self.failures:
            raise ZeroDivisionError("first calls")


class GatewayTasks(unittest.IsolatedAsyncioTestCase):
    """Tasks of a gateway, each of which fails once."""

    async def test_every_task_starts_again(self) -> None:
        for owner, name in (
            (table_follower.TableFollower, "_next"),
            (rollouts.EvidenceReporter, "_pause"),
            (rollouts.RolloutLeader, "pause"),
            (load_broadcast.LoadBroadcast, "_interval"),
            (node.Gateway, "_check_settings_file"),
            (pauses.PauseDetector, "_check"),
        ):
            failing = FailingOnce(getattr(owner, name))
            run = harness.RunningGateway()
            with (
                self.subTest(name=name),
                mock.patch.object(owner, name, failing),
            ):
                try:
                    await run.start()
                    await run.until(lambda f=failing: f.calls >= 2)
                    self.assertTrue(run.lines.events("error.unexpected"))
                finally:
                    await run.stop()

    async def test_failed_application_of_changes_loses_none(self) -> None:
        run = harness.RunningGateway()
        failing = FailingOnce(cluster_state.ClusterState.apply_servers)
        with mock.patch.object(
            cluster_state.ClusterState, "apply_servers", failing
        ):
            await run.start()
        self.addAsyncCleanup(run.stop)
        fleet = run.gateway.cluster_state.fleet
        self.assertEqual({"e-1", "p-1"}, {member.id for member in fleet})
        await run.site.add_server("p-2", site.PLAIN)
        await run.until(lambda: fleet.get("p-2"))


class Supervision(unittest.IsolatedAsyncioTestCase):
    """A task under supervision."""

    def setUp(self) -> None:
        self.lines = harness.Lines()
        self.metrics = metrics_.Metrics()
        self.supervisor = supervision.Supervisor(
            harness.journal(self.lines), self.metrics
        )
        self.starts: list[float] = []

    async def run_for(
        self, task: Callable[[], Any], seconds: float
    ) -> "asyncio.Task[None]":
        running = asyncio.create_task(self.supervisor.run(task, "testing"))
        await asyncio.sleep(seconds)
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running
        return running

    async def test_pauses_grow(self) -> None:
        async def fail() -> None:
            self.starts.append(asyncio.get_running_loop().time())
            raise ValueError

        with mock.patch.object(supervision, "FIRST_PAUSE", 0.02):
            await self.run_for(fail, 0.7)
        self.assertLessEqual(4, len(self.starts))
        self.assertLessEqual(len(self.starts), 6)
        self.assertEqual(
            {"testing"},
            {line["place"] for line in self.lines.events("error.unexpected")},
        )
        self.assertIn(
            'limpetwalk_task_failures_total{task="testing"}',
            self.metrics.expose().decode(),
        )

    async def test_cancelled_part_does_not_end_the_task(self) -> None:
        async def cancel_a_part() -> None:
            self.starts.append(0.0)
            part = asyncio.ensure_future(asyncio.sleep(1))
            part.cancel()
            await part

        with mock.patch.object(supervision, "FIRST_PAUSE", 0.01):
            running = await self.run_for(cancel_a_part, 0.2)
        self.assertLess(1, len(self.starts))
        self.assertTrue(running.cancelled())


class Datagrams(unittest.IsolatedAsyncioTestCase):
    """The task that sends and receives load reports."""

    def test_odd_peers_and_loads_cost_no_other_report(self) -> None:
        """On the event loop of the program."""
        uvloop.run(self._send_past_an_odd_peer())

    async def _send_past_an_odd_peer(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            address = sock.getsockname()
        peers = {
            "odd": peer_groups.Peer(("::1", 7340), ""),
            "sound": peer_groups.Peer(address, ""),
        }
        loads = mock.Mock(spec=server_load.ServerLoads)
        loads.own_loads.return_value = {
            "s-1": server_load.Load(1e9, 2**40, 2**40)
        }
        limits = mock.Mock(spec=server_limits.ServerLimits)
        limits.observed.return_value = []
        broadcast = load_broadcast.LoadBroadcast(
            "sound",
            lambda: peers,
            loads,
            limits,
            limits,
            lambda: [],
            store_watch.PeerNews(mock.Mock(monotonic=lambda: 0.0)),
            mock.Mock(cut_off=False),
            mock.Mock(),
            harness.journal(harness.Lines()),
            server_speed.LearntSpeeds(mock.Mock(monotonic=lambda: 0.0)),
        )
        running = asyncio.create_task(broadcast.run(address))
        async with asyncio.timeout(5):
            while not loads.own_loads.called:
                await asyncio.sleep(0.02)
        broadcast._send_report(
            "", loads.own_loads.return_value, ["odd", "sound"]
        )
        broadcast.send_evidence("odd", "order", "{}")
        async with asyncio.timeout(5):
            while not loads.apply_report.called:
                await asyncio.sleep(0.02)
        self.assertFalse(running.done())
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_socket_is_bound_again(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            address = sock.getsockname()
        journal = harness.journal(harness.Lines())
        clock = mock.Mock(monotonic=lambda: 0.0)
        loads = mock.Mock(spec=server_load.ServerLoads)
        loads.own_loads.return_value = {}
        limits = mock.Mock(spec=server_limits.ServerLimits)
        limits.observed.return_value = []
        broadcast = load_broadcast.LoadBroadcast(
            "n1",
            lambda: {"n1": peer_groups.Peer(address, "")},
            loads,
            limits,
            limits,
            lambda: [],
            store_watch.PeerNews(clock),
            mock.Mock(cut_off=False),
            mock.Mock(),
            journal,
            server_speed.LearntSpeeds(clock),
        )
        failing = FailingOnce(broadcast._interval, failures=2)
        supervisor = supervision.Supervisor(journal, metrics_.Metrics())
        with mock.patch.object(broadcast, "_interval", failing):
            running = asyncio.create_task(
                supervisor.run(lambda: broadcast.run(address), "gossip")
            )
            async with asyncio.timeout(5):
                while failing.calls < 4:
                    await asyncio.sleep(0.02)
        broadcast.send_evidence("n1", "order", "{}")
        received: list[tuple[str, str, str]] = []
        broadcast.on_evidence = lambda *args: received.append(args)
        async with asyncio.timeout(5):
            while not received:
                await asyncio.sleep(0.02)
        self.assertEqual([("n1", "order", "{}")], received)
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running
