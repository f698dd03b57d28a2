"""Parts of the gateway, put together, and its life from start to stop."""

import asyncio
from collections.abc import Coroutine
import json
import random
import socket
from typing import Any

from aiohttp import web
import aiomisc

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import ports

from . import admission
from . import cluster_state
from . import dispatch
from . import events
from . import frontend
from . import load_broadcast
from . import logs
from . import pauses
from . import poison_requests
from . import rollouts
from . import status
from . import table_follower

# Queue of connections that wait to be accepted.
BACKLOG = 512
# Time in which the balancer notices that a node is not ready, seconds: it
# asks once a second and acts on the second miss. What is taken later than
# this may not be finished in time, so streams are turned away.
BALANCER_DELAY = 2.6
# Part of the grace period after which requests still open are cut.
GRACE_SHARE = 5 / 6
# Pause between two looks whether a stopping node is idle, seconds.
IDLE_CHECK_INTERVAL = 0.05
# Multiple of the usual wait for changes of the nodes' shared rows: to miss
# one for a while only slows a roll-out down.
SHARED_WAIT_FACTOR = 2.0
# Longest pauses after a batch of changes, seconds. A configuration is to be in
# force within 2 s and a server that leaves gets nothing after 2 s; a version
# that is taken back gets nothing after 5 s, evidence and decision included.
OPERATOR_PAUSE = 0.8
SERVERS_PAUSE = 1.2
SHARED_PAUSE = 1.2
# Pause between tries to tell the other nodes of this one, seconds.
PRESENCE_RETRY_PAUSE = 1.0


# Pause between two looks at the settings file, seconds: it may change without
# a signal, and reading it takes some hundredths of a millisecond.
SETTINGS_CHECK_INTERVAL = 2.0


class Gateway(aiomisc.Service):
    """Entry node on a platform.

    :param platform: the platform's adapter.
    """

    __required__ = ("platform", "journal", "metrics")

    # Listening socket for callers; None opens one.
    sock: socket.socket | None = None

    platform: ports.Platform
    journal: logs.Journal
    metrics: metrics_.Metrics

    async def start(self) -> None:
        """Start to read the platform's tables and to listen."""
        clock = clocks.SystemClock()
        platform = self.platform
        await platform.open()
        self.cluster_state = cluster_state.ClusterState(
            clock, self.journal, self.metrics
        )
        self.dispatcher = dispatch.Dispatcher(
            lambda: platform.settings,
            platform.wire,
            self.cluster_state,
            poison_requests.PoisonRequests(
                self.cluster_state, lambda: platform.shared, self.journal
            ),
            clock,
            self.journal,
            self.metrics,
        )
        self.frontend = frontend.Frontend(
            self.cluster_state,
            admission.Admission(
                self.cluster_state, platform.wire, random.Random()
            ),
            self.dispatcher,
            clock,
            self.journal,
            self.metrics,
        )
        self.readiness = status.Readiness(
            self.cluster_state, self.journal, platform.readiness_path
        )
        self._followers = self._make_followers(clock)
        self._tasks: list[asyncio.Task[None]] = []
        for each in self._followers:
            self._spawn(each.run(), "watch")
        self._spawn(self._publish_presence(), "presence")
        self._spawn(self._follow_settings(), "settings")
        self._start_rollout_tasks(clock)
        teller = load_broadcast.LoadBroadcast(
            platform.settings.name,
            lambda: self.cluster_state.peers,
            self.dispatcher.server_loads,
            self.journal,
        )
        self._spawn(teller.run(platform.settings.peers), "gossip")
        self._spawn(
            pauses.detect_pauses(self.journal, self._reread_tables), "pauses"
        )
        metrics_page = status.MetricsPage(self.metrics, platform.metrics_path)
        listeners = {
            "callers": (self.frontend, platform.settings.callers),
            "readiness": (
                web.Server(self.readiness.handle),
                platform.settings.readiness,
            ),
            "metrics": (
                web.Server(metrics_page.handle),
                platform.settings.metrics,
            ),
        }
        self._runners = {
            name: await _serve(
                server, address, self.sock if name == "callers" else None
            )
            for name, (server, address) in listeners.items()
        }

    @property
    def addresses(self) -> dict[str, tuple[str, int]]:
        """Addresses at which it listens, by what it serves there."""
        return {
            name: runner.addresses[0] for name, runner in self._runners.items()
        }

    async def drain(self) -> None:
        """Finish what is open, within the grace period."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        end = started + self.platform.settings.bounds.grace * GRACE_SHARE
        self.readiness.draining = True
        self.frontend.closing = True
        self.journal.emit(events.NodeStopping(self.frontend.open_requests))
        await asyncio.sleep(BALANCER_DELAY)
        self.frontend.refusing_streams = True
        while self.frontend.busy and loop.time() < end:
            await asyncio.sleep(IDLE_CHECK_INTERVAL)

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the listeners and the platform's connections."""
        for task in self._tasks:
            task.cancel()
        for runner in self._runners.values():
            await runner.cleanup()
        await self.platform.close()

    def reload(self) -> None:
        """Read the settings again."""
        try:
            self.platform.reload_settings()
        except exceptions.SettingsError as exc:
            self.journal.emit(events.SettingsReloaded(tuple(exc.findings)))
        else:
            self.journal.emit(events.SettingsReloaded())

    def _make_followers(
        self, clock: clocks.Clock
    ) -> list[table_follower.TableFollower]:
        state = self.cluster_state
        platform = self.platform

        def contact() -> float:
            return platform.settings.bounds.contact

        def nodes() -> int:
            return len(state.nodes)

        def ignore() -> None:
            pass

        common = (nodes, clock, self.journal, self.metrics)
        return [
            table_follower.TableFollower(
                platform.operator,
                state.apply_operator,
                ignore,
                contact,
                *common,
                OPERATOR_PAUSE,
            ),
            table_follower.TableFollower(
                platform.servers,
                state.apply_servers,
                state.fleet.record_store_recovery,
                contact,
                *common,
                SERVERS_PAUSE,
            ),
            table_follower.TableFollower(
                platform.shared,
                state.apply_shared,
                ignore,
                lambda: SHARED_WAIT_FACTOR * contact(),
                *common,
                SHARED_PAUSE,
            ),
        ]

    def _start_rollout_tasks(self, clock: clocks.Clock) -> None:
        teller = rollouts.EvidenceReporter(
            self.platform.settings.name,
            self.cluster_state,
            self.dispatcher.tallies,
            self.platform.work,
            self.journal,
        )
        lead = rollouts.RolloutLeader(
            self.platform,
            self.cluster_state,
            clock,
            self.journal,
            self.dispatcher.rate,
        )
        self._spawn(teller.run(), "evidence")
        self._spawn(lead.run(), "roll-out lead")

    def _spawn(self, running: Coroutine[Any, Any, None], place: str) -> None:
        """Start a task whose end by an error is logged.

        :param place: what it does, for the log.
        """

        def note_end(task: asyncio.Task[None]) -> None:
            if not task.cancelled() and task.exception() is not None:
                self.journal.emit(
                    events.UnexpectedError(place, repr(task.exception())[:500])
                )

        task = asyncio.create_task(running)
        task.add_done_callback(note_end)
        self._tasks.append(task)

    async def _follow_settings(self) -> None:
        """Read the settings again when they change without a signal."""
        readable = True
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL)
            try:
                changed = self.platform.settings_changed()
            except exceptions.SettingsError as exc:
                if readable:
                    findings = tuple(exc.findings)
                    self.journal.emit(events.SettingsReloaded(findings))
                readable = False
                continue
            readable = True
            if changed:
                self.reload()

    async def _reread_tables(self) -> None:
        """Read everything again after this process stood still."""
        for each in self._followers:
            each.restart()
        await self.platform.renew_connections()

    async def _publish_presence(self) -> None:
        """Write the row by which other nodes know of this one."""
        key = cluster_state.NODE_PREFIX + self.platform.settings.name
        host, port = self.platform.settings.peers
        value = json.dumps({"host": host, "port": port})
        while True:
            try:
                await self.platform.shared.put([ports.SharedPut(key, value)])
            except exceptions.StoreError:
                # The watch of the same table logs the outage.
                await asyncio.sleep(PRESENCE_RETRY_PAUSE)
            else:
                return


async def _serve(
    server: web.Server,
    address: tuple[str, int],
    sock: socket.socket | None = None,
) -> web.ServerRunner:
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    site: web.BaseSite
    if sock is not None:
        site = web.SockSite(runner, sock, backlog=BACKLOG)
    else:
        site = web.TCPSite(
            runner,
            address[0],
            address[1],
            backlog=BACKLOG,
            reuse_address=True,
        )
    await site.start()
    return runner
