"""Which servers this node may send requests to now.

Servers say so in their answers (limits, pauses, leaving, brittleness), or show
it by how they answer after a start.
"""

from collections.abc import Callable
import datetime
import random

from limpetwalk import clock as clocks
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import brittle_servers
from limpetwalk.gateway import fleet
from limpetwalk.gateway import ports
from limpetwalk.gateway import response_check
from limpetwalk.gateway import retries
from limpetwalk.gateway import server_limits
from limpetwalk.gateway import server_load
from limpetwalk.gateway import server_pace
from limpetwalk.gateway import server_pauses
from limpetwalk.gateway import types

from . import cluster_state
from . import events
from . import logs
from . import upstream

# Value of the statements of servers that says nothing.
NO_STATEMENT = "0"


class ServerPermissions:
    """Which servers may get requests, by their statements and answers.

    :param settings: returns the settings in force.
    :param state: configuration, servers and nodes known to this node.
    :param loads: load of servers, by the reports of all nodes.
    :param rate: returns the requests per second that all nodes send to a
        service.
    :ivar limits: limits that servers name.
    :ivar brittle: servers that say that they are brittle.
    :ivar pace: paces of servers that started or recovered.
    """

    def __init__(
        self,
        settings: Callable[[], types.NodeSettings],
        header_format: ports.HeaderFormat,
        state: cluster_state.ClusterState,
        loads: server_load.ServerLoads,
        rate: Callable[[str], float],
        clock: clocks.Clock,
        journal: logs.Journal,
        metrics: metrics_.Metrics,
    ) -> None:
        self._names = header_format.names
        self._cluster_state = state
        self._rate = rate
        self._journal = journal
        self.limits = server_limits.ServerLimits(
            settings().name,
            lambda: state.nodes,
            loads,
            clock,
            self._demand,
            random.Random(),
            self._log_limit,
        )
        self.brittle = brittle_servers.BrittleServers(
            lambda: state.nodes,
            loads,
            clock,
            self._demand,
            random.Random(),
            self._log_brittle,
        )
        self.pace = server_pace.PacedServers(
            settings().name,
            lambda: state.nodes,
            lambda: settings().bounds,
            self._service,
            state.fleet.members,
            loads,
            self._demand,
            lambda server_id: self.brittle.value(server_id) is not None,
            clock,
            random.Random(),
            self._log_pace,
        )
        self._pauses = server_pauses.ServerPauses(clock, random.Random())
        metrics.gauge(
            "limpetwalk_paced_servers",
            "Servers that get few requests, since they started or recovered.",
        ).set_function(lambda: self.pace.count)
        self._held_back = metrics.counter(
            "limpetwalk_brittle_held_back",
            "Choices of a server for which no brittle server had room.",
        )
        self._brittle_rejections = metrics.counter(
            "limpetwalk_brittle_rejections",
            "Requests that brittle servers rejected.",
        )

    def may_send(self, member: fleet.Member) -> bool:
        """Return whether this node may send a server a request now."""
        if self._pauses.is_paused(member.entry.start):
            member.was_away = True
            return False
        if not self.limits.may_send(member.id):
            return False
        return self.pace.may_send(member)

    def with_room(self, members: list[fleet.Member]) -> list[fleet.Member]:
        """Return those of some servers that have room for a request."""
        with_room = self.brittle.with_room(members)
        if members and not with_room:
            self._held_back.inc()
        return self.pace.with_room(with_room)

    def paused_until(self, member: fleet.Member) -> float:
        """Return the instant until which a server wants no requests."""
        return self._pauses.until(member.entry.start)

    def record_sent(self, member: fleet.Member) -> None:
        """Record that a request is sent to a server."""
        self.pace.record_sent(member)
        self.limits.record_sent(member.id)

    def record_head(
        self,
        member: fleet.Member,
        head: upstream.ResponseHead,
        verdict: response_check.Verdict,
    ) -> None:
        """Record what the head of an answer says of its server."""
        if not verdict.foreign:
            self._record_statements(member, head)
        if (
            head.status == response_check.UNAVAILABLE
            and verdict.outcome is retries.Outcome.NOT_RUN
            and self.brittle.record_rejection(member.id)
        ):
            self._brittle_rejections.inc()

    def _record_statements(
        self, member: fleet.Member, head: upstream.ResponseHead
    ) -> None:
        headers, names = head.headers, self._names
        self.limits.record_answer(member.id, headers.get(names.rate_limit))
        self.brittle.record_answer(member.id, headers.get(names.brittle))
        is_leaving = headers.get(names.leaving, NO_STATEMENT) != NO_STATEMENT
        if is_leaving and self._cluster_state.fleet.record_leaving(
            member.entry
        ):
            self._journal.emit(events.ServerStatement(member.id, "leaving"))
        if head.status != response_check.UNAVAILABLE:
            return
        seconds = server_pauses.parse_retry_after(
            headers.getall("Retry-After", []),
            datetime.datetime.now(datetime.UTC),
        )
        if seconds is not None:
            pause = self._pauses.record(member.entry.start, seconds)
            self._journal.emit(
                events.ServerStatement(member.id, "pause", round(pause, 2))
            )

    def _demand(self, server_id: str) -> float:
        """Return the requests per second to the service of a server."""
        member = self._cluster_state.fleet.get(server_id)
        return self._rate(member.entry.service) if member else 0.0

    def _service(self, name: str) -> types.Service | None:
        config_catalog = self._cluster_state.catalog
        return config_catalog.service(name) if config_catalog else None

    def _log_limit(self, server_id: str, rate: float | None) -> None:
        self._journal.emit(events.ServerLimited(server_id, rate))

    def _log_brittle(self, server_id: str, rejections: float | None) -> None:
        self._journal.emit(events.ServerBrittle(server_id, rejections))

    def _log_pace(
        self, server_id: str, state: server_pace.State, limit: float
    ) -> None:
        self._journal.emit(events.ServerPaced(server_id, state.value, limit))
