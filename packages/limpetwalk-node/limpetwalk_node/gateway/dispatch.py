"""Sends requests to backend servers and accounts for the results."""

import asyncio
from collections.abc import Callable
import datetime
import math
import random

from limpetwalk import clock as clocks
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import brittle_servers
from limpetwalk.gateway import buffers
from limpetwalk.gateway import call as calls
from limpetwalk.gateway import cold_pacing
from limpetwalk.gateway import fleet
from limpetwalk.gateway import placement
from limpetwalk.gateway import ports
from limpetwalk.gateway import prefill_time
from limpetwalk.gateway import prefix_cache
from limpetwalk.gateway import refusal
from limpetwalk.gateway import request_queue
from limpetwalk.gateway import response_check
from limpetwalk.gateway import retries
from limpetwalk.gateway import retry_budget
from limpetwalk.gateway import return_time
from limpetwalk.gateway import server_limits
from limpetwalk.gateway import server_load
from limpetwalk.gateway import server_pauses
from limpetwalk.gateway import server_room
from limpetwalk.gateway import types
from limpetwalk.gateway import version_tallies
from limpetwalk.gateway import workspace_shares

from . import cluster_state
from . import connector
from . import events
from . import logs
from . import outbound
from . import poison_requests
from . import queue_log
from . import upstream

# Timeout for a connection to a server, seconds. It covers a few round trips
# within a region and is shorter than the second after which TCP retransmits a
# lost packet.
CONNECT_TIMEOUT = 0.3
# Time after an answer broke off in which this node finds out whether it has
# lost its links, seconds. It covers the next attempt's connection.
LINK_NEWS_DELAY = 0.4
# Value of the statements of servers that says nothing.
NO_STATEMENT = "0"


class Dispatcher:
    """Sends requests to servers and records the result of each attempt.

    :param settings: returns the settings in force.
    :param state: configuration, servers and nodes known to this node.
    :param quarantine: requests that have crashed servers.
    :param connections: opens connections to servers.
    :param buffer_budget: memory for incomplete bodies and events.
    :param limits: limits of a server's response.
    """

    def __init__(
        self,
        settings: Callable[[], types.NodeSettings],
        header_format: ports.HeaderFormat,
        state: cluster_state.ClusterState,
        quarantine: poison_requests.PoisonRequests,
        connections: connector.Connector,
        clock: clocks.Clock,
        journal: logs.Journal,
        metrics: metrics_.Metrics,
        buffer_budget: buffers.BufferBudget,
        limits: buffers.ResponseLimits,
    ) -> None:
        self.header_format = header_format
        self.buffer_budget = buffer_budget
        self.limits = limits
        self.cluster_state = state
        self.clock = clock
        self.journal = journal
        self.poison_requests = quarantine
        self._connector = connections
        self._settings = settings
        self._rng = random.Random()
        self._prefix_cache = prefix_cache.PrefixCacheTracker(
            clock, settings().bounds.reuse_window
        )
        self._cold_pacer = cold_pacing.ColdServerPacer(
            settings().name,
            lambda: state.nodes,
            lambda: settings().bounds,
            clock,
        )
        self.server_loads = server_load.ServerLoads(clock)
        self.server_limits = server_limits.ServerLimits(
            settings().name,
            lambda: state.nodes,
            self.server_loads,
            clock,
            self._demand,
            random.Random(),
            self._log_limit,
        )
        self.brittle_servers = brittle_servers.BrittleServers(
            lambda: state.nodes,
            self.server_loads,
            clock,
            self._demand,
            random.Random(),
            self._log_brittle,
        )
        self._pauses = server_pauses.ServerPauses(clock, random.Random())
        self.prefill_times = prefill_time.PrefillTimes()
        self._room = server_room.ServerRoom(
            state.fleet,
            self.server_loads,
            lambda: state.catalog.config.routes if state.catalog else (),
            clock,
        )
        self.workspace_shares = workspace_shares.WorkspaceShares(clock)
        self.request_queue = request_queue.OrderedRequests(
            lambda: settings().ordered_under_load,
            self._room,
            self.workspace_shares,
            lambda: len(state.nodes),
            self._mean_duration,
            clock,
            random.Random(),
            queue_log.QueueLog(journal, metrics).record,
        )
        metrics.gauge(
            "limpetwalk_waiting_requests",
            "Requests that wait for room at servers.",
        ).set_function(lambda: self.request_queue.waiting)
        self._placer = placement.Placer(
            settings().zone,
            state.fleet,
            self._prefix_cache,
            self.server_loads,
            self.prefill_times,
            clock,
            self._may_send,
            self._with_room,
            self._roomy,
        )
        self.version_tallies = version_tallies.VersionTallies(
            state.fleet.members
        )
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._attempts = metrics.counter(
            "limpetwalk_tries",
            "Requests sent to servers, by outcome.",
            ("outcome",),
        )
        self._limits_exceeded = metrics.counter(
            "limpetwalk_answer_limits",
            "Answers of servers that exceeded a limit, by limit.",
            ("limit",),
        )
        metrics.gauge(
            "limpetwalk_buffered_bytes",
            "Size of incomplete bodies and events.",
        ).set_function(lambda: buffer_budget.total_bytes)
        self._retries_denied = metrics.counter(
            "limpetwalk_repeats_denied",
            "Requests that were not sent again, by reason.",
            ("reason",),
        )
        self._retries = metrics.counter(
            "limpetwalk_repeats",
            "Requests sent once more, by the reason.",
            ("reason",),
        )
        self._held_back = metrics.counter(
            "limpetwalk_brittle_held_back",
            "Choices of a server for which no brittle server had room.",
        )
        self._brittle_rejections = metrics.counter(
            "limpetwalk_brittle_rejections",
            "Requests that brittle servers rejected.",
        )
        self.first_byte_latency = metrics.latency(
            "limpetwalk_first_byte", "Time to the head of an answer."
        )

    @property
    def bounds(self) -> types.Bounds:
        """Return the bounds of the settings in force."""
        return self._settings().bounds

    def budget(self, service: str) -> retry_budget.RetryBudget:
        """Return the retry budget of a service, created at its first use."""
        service_budget = self._budgets.get(service)
        if service_budget is None:
            service_budget = retry_budget.RetryBudget(
                self.clock,
                lambda: self.bounds,
                lambda: len(self.cluster_state.nodes),
            )
            self._budgets[service] = service_budget
        return service_budget

    def rate(self, service: str) -> float:
        """Return the estimated requests per second that servers get.

        The estimate for a service on all nodes is the rate at this node times
        the number of nodes, since the others get about as many requests.
        """
        nodes = max(1, len(self.cluster_state.nodes))
        return nodes * self.budget(service).arrival_rate()

    def time_left(self, call: calls.Call) -> float:
        """Return the seconds left until the deadline of a call."""
        return call.deadline - self.clock.monotonic()

    def place(
        self, call: calls.Call, model: str = "", version: str = ""
    ) -> placement.Choice | None:
        """Choose a server for a call, or None when none is available.

        :param version: preferred version, used while it may get requests.
        """
        for versions in self._versions(call, version):
            choice = self._placer.choose(
                placement.Need(
                    call.service,
                    versions,
                    model,
                    call.prompt,
                    call.tried_servers,
                    call.priority,
                )
            )
            if choice is not None:
                return choice
        return None

    async def start(
        self,
        call: calls.Call,
        choice: placement.Choice,
        model: str,
        last_event: str,
    ) -> outbound.StartedAnswer | outbound.FailedAttempt:
        """Send a call to a server and wait for the response headers.

        :param last_event: id of the event after which the server resumes the
            stream, or empty.
        """
        time_left = self.time_left(call)
        member = choice.member
        call.tried_servers.add(member.id)
        self._log_placement(call, choice, model, time_left)
        self._count_request(choice)
        started: outbound.StartedAnswer | outbound.FailedAttempt | None = None
        probe = self.brittle_servers.start_probe(member.id)
        try:
            started = await self._send(
                call, member, model, last_event, time_left
            )
        finally:
            self.server_loads.finish_prefill(member.id, choice.prefill_seconds)
            has_started = isinstance(started, outbound.StartedAnswer)
            self.brittle_servers.end_probe(probe, accepted=has_started)
            if not has_started:
                self.finish(member)
        if isinstance(started, outbound.StartedAnswer):
            self._record_head(call, choice, started)
        return started

    async def read_answer(
        self, call: calls.Call, started: outbound.StartedAnswer
    ) -> outbound.CompleteAnswer | outbound.FailedAttempt:
        """Read the body of an answer that is no stream."""
        try:
            body = await outbound.with_timeout(
                started.exchange.body(self.buffer_budget), self.time_left(call)
            )
        except upstream.IncompleteAnswer as exc:
            return outbound.FailedAttempt.incomplete(exc)
        except TimeoutError:
            return outbound.FailedAttempt(
                retries.Outcome.UNKNOWN, "body not received in time"
            )
        except asyncio.CancelledError:
            self.record_cancelled(call, started.member, started.sent_at)
            raise
        return outbound.CompleteAnswer(started.head, body, started.member.id)

    def discard(
        self, call: calls.Call, started: outbound.StartedAnswer
    ) -> None:
        """End an answer that isn't used, since another one is."""
        started.exchange.close()
        self.finish(started.member)
        self.record_cancelled(call, started.member, started.sent_at)

    def record_cancelled(
        self, call: calls.Call, member: fleet.Member, sent_at: float
    ) -> None:
        """Record an attempt that was given up for another one.

        It counts as a failure of its server if that was silent for long.

        :param sent_at: instant at which the request was sent.
        """
        if self.clock.monotonic() - sent_at < call.patience:
            call.attempt_counts.record_end(retries.Outcome.UNKNOWN)
            return
        failure = outbound.FailedAttempt(
            retries.Outcome.UNKNOWN, "silent, and given up"
        )
        self.record_result(call, member, failure)
        self.log_attempt_ended(call, member, failure)

    def use(self, call: calls.Call, started: outbound.StartedAnswer) -> None:
        """Record that an answer is the one that the caller gets."""
        call.slow = started.slow
        if call.session:
            self.cluster_state.rollouts.record_session(
                call.session,
                started.member.entry.version,
                self.bounds.session,
            )

    def finish(self, member: fleet.Member) -> None:
        """Record that a request at a server has ended."""
        member.health.in_flight -= 1
        self.server_loads.end_request(member.id)

    def _count_request(self, choice: placement.Choice) -> None:
        choice.member.health.in_flight += 1
        self.server_loads.start_request(
            choice.member.id, choice.prefill_seconds
        )

    def record_result(
        self,
        call: calls.Call,
        member: fleet.Member,
        failure: outbound.FailedAttempt | None,
    ) -> None:
        """Record how an attempt ended.

        :param failure: the failure, None for a complete answer.
        """
        now = self.clock.monotonic()
        outcome = failure.outcome if failure else None
        if outcome not in (
            retries.Outcome.UNKNOWN,
            retries.Outcome.UNREACHED,
        ):
            member.heard_at = now
        link_lost = failure is not None and self._is_link_lost(member, failure)
        failed = outcome not in (None, retries.Outcome.NOT_RUN)
        unreached = outcome is retries.Outcome.UNREACHED
        if not link_lost:
            member.health.record(failed, now, unreached)
        if member.health.backoff_until > now and failed and not link_lost:
            self.journal.emit(
                events.ServerBackingOff(
                    member.id,
                    member.health.failures_in_row,
                    round(member.health.backoff_until - now, 2),
                )
            )
        self._attempts.labels(outcome.value if outcome else "answered").inc()
        if failure is not None and failure.limit:
            self._limits_exceeded.labels(failure.limit).inc()
        if outcome is retries.Outcome.UNKNOWN:
            asyncio.get_running_loop().call_later(
                LINK_NEWS_DELAY, self._record_broken_off, member
            )
        elif outcome not in (
            retries.Outcome.NOT_RUN,
            retries.Outcome.UNREACHED,
        ):
            succeeded = outcome is None and not call.slow
            self.version_tallies.record(
                call.service, member.entry.version, succeeded
            )
        if outcome in (None, retries.Outcome.FAILED):
            self.poison_requests.record_answer(call)
        if outcome is not None:
            call.attempt_counts.record_end(outcome)
            if outcome is retries.Outcome.UNKNOWN:
                self.poison_requests.check_server(call, member)

    def _record_broken_off(self, member: fleet.Member) -> None:
        """Count an answer that broke off, unless a lost link may be why."""
        if not self._connector.links.is_in_doubt(member.id):
            self.version_tallies.record(
                member.entry.service, member.entry.version, False
            )

    def _is_link_lost(
        self, member: fleet.Member, failure: outbound.FailedAttempt
    ) -> bool:
        """Return whether an attempt failed by this node's own links."""
        links = self._connector.links
        if failure.outcome is retries.Outcome.UNKNOWN:
            return links.cut_off or links.is_lost(member.id)
        return failure.link_lost

    def record_pace(
        self,
        call: calls.Call,
        member: fleet.Member,
        model: str,
        seconds_per_event: float,
    ) -> None:
        """Record the pace of an answer as evidence of its version."""
        if member.is_cold(self.clock.monotonic()):
            return
        version = member.entry.version
        self.version_tallies.record_pace(
            call.service,
            version,
            model,
            seconds_per_event,
            self.cluster_state.rollouts.is_candidate(call.service, version),
        )

    def record_dropped(self, call: calls.Call, member: fleet.Member) -> None:
        """Record an answer that is dropped to ask a larger model.

        Its server answered well, and its version was exposed to a request.
        """
        member.health.record(False, self.clock.monotonic())
        self._attempts.labels("dropped").inc()
        self.version_tallies.record(
            call.service, member.entry.version, not call.slow
        )
        call.attempt_counts.record_end(retries.Outcome.FAILED)
        call.tried_servers.discard(member.id)

    async def may_retry(
        self,
        call: calls.Call,
        member: fleet.Member,
        failure: outbound.FailedAttempt,
    ) -> bool:
        """Return whether a call may be retried, and take from the budget."""
        await self.poison_requests.wait_for_check(call)
        service_budget = self.budget(call.service)
        stop_reason = retries.no_retry_reason(
            call.route,
            call.attempt_counts,
            failure.outcome,
            self.time_left(call),
        )
        if stop_reason is None and self.poison_requests.is_blocked(call):
            stop_reason = retries.NoRetryReason.POISON
        # A request that was never sent adds no load to the service, so it
        # takes nothing from the retry budget.
        takes_budget = failure.outcome is not retries.Outcome.UNREACHED
        if (
            stop_reason is None
            and takes_budget
            and not service_budget.try_take()
        ):
            stop_reason = retries.NoRetryReason.BUDGET
        self.log_attempt_ended(call, member, failure, stop_reason)
        if stop_reason is None:
            self._retries.labels(failure.outcome.value).inc()
            return True
        self._retries_denied.labels(stop_reason.value).inc()
        return False

    def try_replace(self, call: calls.Call) -> bool:
        """Take what another attempt besides a silent one costs.

        :returns: whether the call and the retry budget allow it.
        """
        outcome = retries.Outcome.UNKNOWN
        service_budget = self.budget(call.service)
        stop_reason = retries.no_retry_reason(
            call.route, call.attempt_counts, outcome, self.time_left(call)
        )
        if stop_reason is None and self.poison_requests.is_blocked(call):
            stop_reason = retries.NoRetryReason.POISON
        if stop_reason is None and not service_budget.try_take():
            stop_reason = retries.NoRetryReason.BUDGET
        self.journal.emit(
            events.ServerSilent(
                request=call.caller_attempt_id,
                running=call.attempt_counts.running,
                stop=stop_reason.value if stop_reason else "",
                budget_left=round(service_budget.remaining(), 1),
            )
        )
        if stop_reason is None:
            self._retries.labels("silent").inc()
            return True
        self._retries_denied.labels(stop_reason.value).inc()
        return False

    def log_error(self, call: calls.Call, exc: Exception) -> None:
        """Log an unexpected error of an attempt."""
        self.journal.emit(
            events.UnexpectedError(
                "sending a request", repr(exc)[:200], call.caller_attempt_id
            )
        )

    def log_attempt_ended(
        self,
        call: calls.Call,
        member: fleet.Member,
        failure: outbound.FailedAttempt,
        stop_reason: retries.NoRetryReason | None = None,
    ) -> None:
        """Log how an attempt failed.

        :param stop_reason: why the call isn't sent again, None if it is.
        """
        budget_left = self.budget(call.service).remaining()
        self.journal.emit(
            events.AttemptEnded(
                request=call.caller_attempt_id,
                server=member.id,
                outcome=failure.outcome.value,
                detail=failure.detail[:200],
                stop=stop_reason.value if stop_reason else "",
                budget_left=round(budget_left, 1),
            )
        )

    def refusal_for(
        self, call: calls.Call, last_failure: outbound.FailedAttempt | None
    ) -> refusal.Refusal:
        """Return the refusal for a call that no server answered.

        :param last_failure: the last failed attempt, None when none was made.
        """
        if self.poison_requests.is_blocked(call):
            return refusal.Refusal(refusal.Reason.POISON)
        if call.attempt_counts.ran:
            reason = (
                refusal.Reason.TIMED_OUT
                if self.time_left(call) <= retries.MIN_TIME_LEFT
                else refusal.Reason.BROKEN
            )
            return refusal.Refusal(reason)
        if last_failure is not None:
            return refusal.Refusal(
                refusal.Reason.REJECTED, self._retry_after(call)
            )
        return refusal.Refusal(
            refusal.Reason.NO_SERVER, self._retry_after(call)
        )

    def _retry_after(self, call: calls.Call) -> float:
        """Return the seconds after which a caller should retry."""
        seconds = return_time.retry_after(
            self.cluster_state.fleet.usable(call.service),
            self.time_left(call),
            self.clock.monotonic(),
            self._rng,
            lambda member: self._pauses.until(member.entry.start),
        )
        return round(seconds, 2)

    async def _send(
        self,
        call: calls.Call,
        member: fleet.Member,
        model: str,
        last_event: str,
        timeout: float,
    ) -> outbound.StartedAnswer | outbound.FailedAttempt:
        if member.is_cold(self.clock.monotonic()):
            self._cold_pacer.record_sent(member.id)
        self.server_limits.record_sent(member.id)
        try:
            exchange = await self._connector.connect(
                member, min(CONNECT_TIMEOUT, timeout), self.limits
            )
        except upstream.ServerUnreachable as exc:
            return outbound.FailedAttempt.unreached(exc)
        keep_open = False
        sent_at = math.inf
        try:
            headers = outbound.server_headers(
                self.header_format.names,
                call,
                member,
                model,
                last_event,
                self.time_left(call),
            )
            self.poison_requests.record_sent(call, member.id)
            exchange.send(call.method, call.target, headers, call.body)
            sent_at = self.clock.monotonic()
            call.attempt_counts.record_sent()
            async with asyncio.timeout(timeout):
                head = await exchange.head()
                verdict = response_check.check_response(
                    head.status,
                    head.headers,
                    self.header_format.names,
                    call.caller_attempt_id,
                )
                if not verdict.foreign:
                    self._record_statements(member, head)
                if (
                    head.status == response_check.UNAVAILABLE
                    and verdict.outcome is retries.Outcome.NOT_RUN
                    and self.brittle_servers.record_rejection(member.id)
                ):
                    self._brittle_rejections.inc()
                if verdict.outcome is None:
                    keep_open = True
                    return outbound.StartedAnswer(
                        exchange, head, member, model, sent_at
                    )
                answer = None
                if verdict.final:
                    body = await exchange.body(self.buffer_budget)
                    answer = outbound.CompleteAnswer(head, body, member.id)
                return outbound.FailedAttempt(
                    verdict.outcome, verdict.detail, answer
                )
        except upstream.ServerUnreachable as exc:
            return outbound.FailedAttempt.unreached(exc)
        except upstream.IncompleteAnswer as exc:
            return outbound.FailedAttempt.incomplete(exc)
        except TimeoutError:
            return outbound.FailedAttempt(
                retries.Outcome.UNKNOWN, f"no answer in {timeout:.2f} s"
            )
        except asyncio.CancelledError:
            if math.isfinite(sent_at):
                self.record_cancelled(call, member, sent_at)
            raise
        finally:
            if not keep_open:
                exchange.close()

    def _versions(
        self, call: calls.Call, version: str
    ) -> list[frozenset[str] | None]:
        state = self.cluster_state
        available_versions = {
            member.entry.version for member in state.fleet.usable(call.service)
        }
        split = state.rollouts.allowed_split(
            call.service,
            available_versions,
            state.fleet.trusted_versions(call.service),
            lambda: state.fleet.proven_versions(call.service),
        )
        chosen = state.rollouts.choose_versions(
            split, call.session or call.caller_attempt_id, self.bounds.session
        )
        if version and version in split.base | split.candidate:
            chosen = frozenset((version,))
        other_versions = (split.base | split.candidate) - chosen
        if chosen == split.base:
            # A candidate version must not get more than its share of the
            # requests.
            other_versions = frozenset() if split.share < 1 else other_versions
        return [versions for versions in (chosen, other_versions) if versions]

    def _record_statements(
        self, member: fleet.Member, head: upstream.ResponseHead
    ) -> None:
        """Record what a server says of itself in the head of an answer."""
        names = self.header_format.names
        headers = head.headers
        self.server_limits.record_answer(
            member.id, headers.get(names.rate_limit)
        )
        self.brittle_servers.record_answer(
            member.id, headers.get(names.brittle)
        )
        is_leaving = headers.get(names.leaving, NO_STATEMENT) != NO_STATEMENT
        if is_leaving and self.cluster_state.fleet.record_leaving(
            member.entry
        ):
            self.journal.emit(events.ServerStatement(member.id, "leaving"))
        if head.status != response_check.UNAVAILABLE:
            return
        seconds = server_pauses.parse_retry_after(
            headers.getall("Retry-After", []),
            datetime.datetime.now(datetime.UTC),
        )
        if seconds is not None:
            pause = self._pauses.record(member.entry.start, seconds)
            self.journal.emit(
                events.ServerStatement(member.id, "pause", round(pause, 2))
            )

    def _may_send(self, member: fleet.Member) -> bool:
        if self._pauses.is_paused(member.entry.start):
            return False
        if not self.server_limits.may_send(member.id):
            return False
        if not member.is_cold(self.clock.monotonic()):
            return True
        return self._cold_pacer.may_send(member.id, self._cold_rate(member))

    def _with_room(self, members: list[fleet.Member]) -> list[fleet.Member]:
        with_room = self.brittle_servers.with_room(members)
        if members and not with_room:
            self._held_back.inc()
        return with_room

    def _roomy(
        self, members: list[fleet.Member], priority: int
    ) -> list[fleet.Member]:
        if not self._settings().ordered_under_load:
            return members
        return self._room.with_room(members, priority)

    def _mean_duration(self, service: str) -> float:
        """Return the mean duration of this node's requests of a service."""
        members = self.cluster_state.fleet.usable(service)
        return self.server_loads.mean_duration(member.id for member in members)

    def _demand(self, server_id: str) -> float:
        """Return the requests per second to the service of a server."""
        member = self.cluster_state.fleet.get(server_id)
        return self.rate(member.entry.service) if member else 0.0

    def _log_limit(self, server_id: str, rate: float | None) -> None:
        self.journal.emit(events.ServerLimited(server_id, rate))

    def _log_brittle(self, server_id: str, rejections: float | None) -> None:
        self.journal.emit(events.ServerBrittle(server_id, rejections))

    def _cold_rate(self, member: fleet.Member) -> float:
        config_catalog = self.cluster_state.catalog
        service = (
            config_catalog.service(member.entry.service)
            if config_catalog
            else None
        )
        return service.cold_rate if service else 0.0

    def _log_placement(
        self,
        call: calls.Call,
        choice: placement.Choice,
        model: str,
        time_left: float,
    ) -> None:
        member = choice.member
        self.journal.emit(
            events.RequestPlaced(
                request=call.caller_attempt_id,
                server=member.id,
                model=model,
                offer=call.attempt_counts.sent + 1,
                left_ms=int(time_left * 1000),
                in_flight=member.health.in_flight,
                waiting_ms=int(choice.queue_seconds * 1000),
                reading_ms=int(choice.prefill_seconds * 1000),
                row_version=str(member.row_version),
                config=call.config_version,
            )
        )

    def _record_head(
        self,
        call: calls.Call,
        choice: placement.Choice,
        started: outbound.StartedAnswer,
    ) -> None:
        member, model = started.member, started.model
        seconds_to_head = self.clock.monotonic() - started.sent_at
        self.first_byte_latency.record(seconds_to_head)
        started.slow = self.version_tallies.is_slow(
            call.service, model, seconds_to_head
        )
        if model:
            # Behind other requests, the time says little of the prompt.
            if not self._settings().ordered_under_load or self._room.is_calm(
                member
            ):
                self.prefill_times.record(
                    model, call.prompt.own_tokens, seconds_to_head
                )
            self._prefix_cache.record_read(member.id, model, call.prompt)
