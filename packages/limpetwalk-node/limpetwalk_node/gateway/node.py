"""The gateway service: its components, start, drain and stop."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import json
import random
import secrets
import socket
from typing import Any

from aiohttp import web
import aiomisc

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import buffers
from limpetwalk.gateway import memory_account
from limpetwalk.gateway import ports
from limpetwalk.gateway import server_links
from limpetwalk.gateway import store_watch
from limpetwalk.gateway import types

from . import admission
from . import cluster_state
from . import connector
from . import dispatch
from . import events
from . import frontend
from . import load_broadcast
from . import logs
from . import pauses
from . import poison_requests
from . import rollouts
from . import status
from . import supervision
from . import table_follower
from . import tunnels

# Length of the queue of connections that wait to be accepted.
BACKLOG = 512
# Time after which the balancer knows that a node is not ready, seconds: it
# checks once per second and acts on the second failed check. Requests that
# arrive later are refused unless they are sure to end in time.
BALANCER_DELAY = 2.6
# Time before the end of the grace period at which open requests are ended,
# seconds, and its largest share of that period.
STOP_MARGIN = 0.7
MAX_MARGIN_SHARE = 1 / 6
# Time without a request after which a stopping node closes its connections,
# seconds. While callers still send, each is better told to go elsewhere.
QUIET_TIME = 0.3
# Time for writing the answers of requests that were ended, seconds.
LAST_ANSWERS_TIME = 0.15
# Interval between two checks whether a stopping node is idle, seconds.
IDLE_CHECK_INTERVAL = 0.05
# Factor on the longest wait for changes of the shared rows. A change that is
# noticed late only slows a roll-out down.
SHARED_WAIT_FACTOR = 2.0
# Longest pauses after a batch of changes: of the operator's rows, as a share
# of the time in which a configuration must be in force; of servers, as a share
# of that in which a leaving one must get no new requests; of the nodes' rows,
# in seconds, since a reverted version must get no requests after 5 s, evidence
# and decision included.
OPERATOR_PAUSE_SHARE = 0.4
SERVERS_PAUSE_SHARE = 0.6
SHARED_PAUSE = 1.2
# Pause before another attempt to publish this node's address, seconds.
PRESENCE_RETRY_PAUSE = 1.0
# Upper bound of the random delay of a write that all nodes may have to make
# after a restoration of the store, seconds for each node.
WRITE_DELAY_PER_NODE = 0.01
# Share of a process's memory for what callers and servers send. The rest is
# for the program, connections and what is copied while it is read.
MEMORY_SHARE = 0.4
# Size of the secret by which other nodes ask this one for tunnels, bytes.
SECRET_BYTES = 16


# Interval between two checks of the settings file, seconds. The file may
# change without a signal, and reading it takes some hundredths of a
# millisecond.
SETTINGS_CHECK_INTERVAL = 2.0


class Gateway(aiomisc.Service):
    """Entry node on a platform.

    :param platform: the platform's adapter.
    """

    __required__ = ("platform", "journal", "metrics")

    # Listening socket for callers; the service opens one if it is None.
    sock: socket.socket | None = None
    limits: buffers.ResponseLimits = buffers.ResponseLimits()
    # Maximum size of all incomplete bodies and events together, bytes.
    max_buffered_bytes: int = 8 * buffers.MIB

    platform: ports.Platform
    journal: logs.Journal
    metrics: metrics_.Metrics

    _pauses: pauses.PauseDetector | None = None

    async def start(self) -> None:
        """Start to follow the platform's tables and to accept connections."""
        clock = clocks.SystemClock()
        platform = self.platform
        await platform.open()
        self.cluster_state = cluster_state.ClusterState(
            clock, self.journal, self.metrics
        )
        news = store_watch.PeerNews(clock)
        self.links = server_links.ServerLinks(
            clock,
            random.Random(),
            lambda id_: self.cluster_state.fleet.get(id_) is not None,
            self._log_link,
            self._record_cut_off,
        )
        self.peer_choice = server_links.PeerChoice(
            platform.settings.name,
            lambda: platform.settings.zone,
            lambda: self.cluster_state.peers,
            news.heard,
            clock,
            random.Random(),
        )
        connections = connector.Connector(
            self.links, self.peer_choice, self.journal, self.metrics
        )
        self._secret = secrets.token_hex(SECRET_BYTES)
        self.tunnels = tunnels.Tunnels(
            self._secret,
            self.cluster_state.fleet,
            self.links,
            self.journal,
            self.metrics,
        )
        self.dispatcher = dispatch.Dispatcher(
            lambda: platform.settings,
            platform.header_format,
            self.cluster_state,
            poison_requests.PoisonRequests(
                platform.settings.name,
                self.cluster_state,
                lambda: platform.shared,
                connections,
                self.journal,
                random.Random(),
            ),
            connections,
            clock,
            self.journal,
            self.metrics,
            buffers.BufferBudget(self.max_buffered_bytes),
            self.limits,
        )
        self.memory = self._memory_account()
        self.frontend = frontend.Frontend(
            self.cluster_state,
            admission.Admission(
                self.cluster_state, platform.header_format, random.Random()
            ),
            self.dispatcher,
            self.memory,
            clock,
            self.journal,
            self.metrics,
        )
        self.readiness = status.Readiness(
            self.cluster_state, self.journal, platform.readiness_path
        )
        broadcast = load_broadcast.LoadBroadcast(
            platform.settings.name,
            lambda: self.cluster_state.peers,
            self.dispatcher.server_loads,
            self.dispatcher.server_limits,
            self.dispatcher.brittle_servers,
            lambda: [follower.state for follower in self.followers],
            news,
            self.links,
            self.peer_choice,
            self.journal,
            self.dispatcher.workspace_shares,
        )
        self.followers = self._make_followers(
            clock,
            store_watch.WatchPlan(
                platform.settings.name,
                lambda: broadcast.exchange,
                lambda: len(self.cluster_state.nodes),
                news,
            ),
        )
        for follower in self.followers:
            news.listen(follower.state.table, follower.note_peer)
        self._tasks: list[asyncio.Task[None]] = []
        self._supervisor = supervision.Supervisor(self.journal, self.metrics)
        try:
            await self.tunnels.start(platform.settings.peers)
        except OSError as exc:
            # Without a secret in its row, this node isn't asked for tunnels.
            self._secret = ""
            self.journal.emit(
                events.UnexpectedError("listening for tunnels", str(exc))
            )
        for follower in self.followers:
            self._supervise(follower.run, f"watch {follower.state.table}")
        self._spawn(self._publish_presence(), "presence")
        self.cluster_state.on_restoration(self._restore_presence)
        self.cluster_state.on_older_config = lambda: self._spawn(
            self._publish_config_in_force(), "configuration in force"
        )
        self._supervise(self._check_settings_file, "settings")
        self._start_rollout_tasks(clock, broadcast)
        self._supervise(
            lambda: broadcast.run(platform.settings.peers), "gossip"
        )
        self._pauses = pauses.PauseDetector(self.journal, self._reread_tables)
        self._supervise(self._pauses.run, "pauses")
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
            name: await _start_listener(
                server, address, self.sock if name == "callers" else None
            )
            for name, (server, address) in listeners.items()
        }

    def _memory_account(self) -> memory_account.MemoryAccount:
        account = memory_account.MemoryAccount(
            lambda: MEMORY_SHARE * self.platform.settings.memory_bytes,
            lambda holds: self.journal.emit(
                events.MemoryBound(holds, account.total_bytes, account.parts)
            ),
        )
        budget = self.dispatcher.buffer_budget
        account.count("incomplete_answers", lambda: budget.total_bytes)
        account.count("tunnels", lambda: self.tunnels.held_bytes)
        gauge = self.metrics.gauge(
            "limpetwalk_held_bytes",
            "Bytes held for callers and servers, by part.",
            ("part",),
        )

        def size_of(part: str) -> Callable[[], float]:
            return lambda: account.parts[part]

        for part in account.parts:
            gauge.labels(part).set_function(size_of(part))
        return account

    @property
    def addresses(self) -> dict[str, tuple[str, int]]:
        """Return the listening addresses by purpose."""
        return {
            name: runner.addresses[0] for name, runner in self._runners.items()
        }

    def last_pause(self) -> float:
        """Return how long ago the suspension that has just ended began.

        :returns: time in seconds; 0 if none has just ended.
        """
        return self._pauses.last_pause() if self._pauses else 0.0

    async def drain(
        self, signalled_at: float | None = None, waited: float = 0.0
    ) -> None:
        """Let open requests finish within the grace period.

        :param signalled_at: instant at which the signal was handled, on the
            loop's clock; None for now.
        :param waited: longest time for which the signal may have waited
            before it was handled, in seconds. New requests are taken only as
            long as the grace period lasts for certain.
        """
        loop = asyncio.get_running_loop()
        handled = loop.time() if signalled_at is None else signalled_at
        grace = self.platform.settings.bounds.grace
        end = handled + grace - min(STOP_MARGIN, grace * MAX_MARGIN_SHARE)
        certain_end = end - waited
        self.readiness.draining = True
        self.frontend.begin_stop(certain_end - loop.time())
        self.tunnels.closing = True
        self.journal.emit(
            events.NodeStopping(self.frontend.open_requests, round(waited, 2))
        )
        refusing_from = min(certain_end, handled - waited + BALANCER_DELAY)
        await asyncio.sleep(refusing_from - loop.time())
        self.frontend.refusing_late = True
        while loop.time() < end and (
            self._busy
            or loop.time() < certain_end
            and self.frontend.quiet_time < QUIET_TIME
        ):
            await asyncio.sleep(IDLE_CHECK_INTERVAL)
        self.frontend.end_open_requests()
        end = loop.time() + LAST_ANSWERS_TIME
        while self.frontend.answering and loop.time() < end:
            await asyncio.sleep(IDLE_CHECK_INTERVAL / 10)

    @property
    def _busy(self) -> bool:
        """Whether requests of callers, or of other nodes, are under way."""
        return self.frontend.busy or self.tunnels.open_count > 0

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the listeners and the platform's connections."""
        for task in self._tasks:
            task.cancel()
        for runner in self._runners.values():
            await runner.cleanup()
        self.tunnels.close()
        self.dispatcher.poison_requests.close()
        await self.platform.close()

    def reload(self) -> None:
        """Reload the settings and log the result."""
        try:
            self.platform.reload_settings()
        except exceptions.SettingsError as exc:
            self.journal.emit(events.SettingsReloaded(tuple(exc.findings)))
        else:
            self.journal.emit(events.SettingsReloaded())

    def _make_followers(
        self, clock: clocks.Clock, watch_plan: store_watch.WatchPlan
    ) -> list[table_follower.TableFollower]:
        state = self.cluster_state
        platform = self.platform

        def bounds() -> types.Bounds:
            return platform.settings.bounds

        def wait(table: str, factor: float = 1.0) -> Callable[[], float]:
            return lambda: watch_plan.wait(table, factor * bounds().contact)

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
                wait(platform.operator.name),
                *common,
                lambda: OPERATOR_PAUSE_SHARE * bounds().config_apply,
            ),
            table_follower.TableFollower(
                platform.servers,
                state.apply_servers,
                state.fleet.record_store_recovery,
                wait(platform.servers.name),
                *common,
                lambda: SERVERS_PAUSE_SHARE * bounds().drain,
            ),
            table_follower.TableFollower(
                platform.shared,
                state.apply_shared,
                ignore,
                wait(platform.shared.name, SHARED_WAIT_FACTOR),
                *common,
                lambda: SHARED_PAUSE,
            ),
        ]

    def _start_rollout_tasks(
        self, clock: clocks.Clock, exchange: rollouts.EvidenceExchange
    ) -> None:
        reporter = rollouts.EvidenceReporter(
            self.platform.settings.name,
            self.cluster_state,
            self.dispatcher.version_tallies,
            lambda service: self.dispatcher.budget(service).arrival_rate(),
            self.platform.work,
            exchange,
            self.journal,
        )
        leader = rollouts.RolloutLeader(
            self.platform,
            self.cluster_state,
            clock,
            self.journal,
            self.dispatcher.rate,
        )
        self._supervise(reporter.run, "evidence")
        self._supervise(leader.run, "roll-out lead")

    def _supervise(
        self, task: Callable[[], Awaitable[None]], place: str
    ) -> None:
        """Run a task that starts again whenever it fails.

        :param task: starts the task.
        :param place: operation that the task runs, for the log.
        """
        self._spawn(self._supervisor.run(task, place), place)

    def _spawn(self, coroutine: Coroutine[Any, Any, None], place: str) -> None:
        """Start a task and log the error if it fails.

        :param place: operation that the task runs, for the log.
        """

        def log_failure(task: asyncio.Task[None]) -> None:
            if not task.cancelled() and task.exception() is not None:
                self.journal.emit(
                    events.UnexpectedError(place, repr(task.exception())[:500])
                )

        task = asyncio.create_task(coroutine)
        task.add_done_callback(log_failure)
        self._tasks.append(task)

    async def _check_settings_file(self) -> None:
        """Reload the settings when the file changes without a signal."""
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
        """Read all tables again after this process was suspended."""
        for follower in self.followers:
            follower.restart()
        await self.platform.renew_connections()

    @property
    def _presence_key(self) -> str:
        return cluster_state.NODE_PREFIX + self.platform.settings.name

    @property
    def _presence_row(self) -> str:
        host, port = self.platform.settings.peers
        return json.dumps(
            {
                "host": host,
                "port": port,
                "zone": self.platform.settings.zone,
                "secret": self._secret,
            }
        )

    def _log_link(self, server_id: str, lost: bool) -> None:
        self.journal.emit(events.ServerLinkChanged(server_id, lost))

    def _record_cut_off(self, cut_off: bool) -> None:
        self.journal.emit(events.CutOffChanged(cut_off))
        if cut_off:
            for member in self.cluster_state.fleet:
                member.health.forget_unreached()

    def _restore_presence(self, rows: Mapping[str, str]) -> None:
        """Publish this node's address again if the store has lost it."""
        if rows.get(self._presence_key) != self._presence_row:
            self._spawn(
                self._publish_presence(self._random_delay()), "presence"
            )

    def _random_delay(self) -> float:
        """Return a delay that spreads the writes of all nodes, in seconds."""
        longest = WRITE_DELAY_PER_NODE * len(self.cluster_state.nodes)
        return random.uniform(0.0, longest)

    async def _publish_config_in_force(self) -> None:
        """Tell nodes that start which configuration they must wait for."""
        state = self.cluster_state
        await asyncio.sleep(self._random_delay())
        in_force = state.catalog.version if state.catalog else 0
        if state.needs_config(in_force - 1):
            # Another node was faster.
            return
        put = ports.SharedPut(
            cluster_state.CONFIG_IN_FORCE_KEY, state.config_in_force_row()
        )
        try:
            await self.platform.shared.put([put])
        except exceptions.StoreError as exc:
            self.journal.emit(
                events.UnexpectedError(
                    "publishing the configuration in force", str(exc)[:200]
                )
            )

    async def _publish_presence(self, delay: float = 0.0) -> None:
        """Write the row by which other nodes find this one.

        :param delay: time to wait before, in seconds.
        """
        await asyncio.sleep(delay)
        put = ports.SharedPut(self._presence_key, self._presence_row)
        while True:
            try:
                await self.platform.shared.put([put])
            except exceptions.StoreError:
                # The follower of the same table logs the outage.
                await asyncio.sleep(PRESENCE_RETRY_PAUSE)
            else:
                return


async def _start_listener(
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
