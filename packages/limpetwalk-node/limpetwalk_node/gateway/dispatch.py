"""Sending a request to one server after another."""

import asyncio
from collections.abc import Callable

from limpetwalk import clock as clocks
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import call as calls
from limpetwalk.gateway import cold_pacing
from limpetwalk.gateway import fleet
from limpetwalk.gateway import placement
from limpetwalk.gateway import ports
from limpetwalk.gateway import prefill_time
from limpetwalk.gateway import prefix_cache
from limpetwalk.gateway import refusal
from limpetwalk.gateway import response_check
from limpetwalk.gateway import retries
from limpetwalk.gateway import retry_budget
from limpetwalk.gateway import server_load
from limpetwalk.gateway import types
from limpetwalk.gateway import version_tallies

from . import cluster_state
from . import events
from . import logs
from . import outbound
from . import poison_requests
from . import upstream

# Time to connect to a server, seconds: a few round trips within a region,
# less than the second after which a lost packet is sent again.
CONNECT_TIMEOUT = 0.3


class Dispatcher:
    """Offers requests to servers and keeps count of what comes of it."""

    def __init__(
        self,
        settings: Callable[[], types.NodeSettings],
        wire: ports.Wire,
        state: cluster_state.ClusterState,
        quarantine: poison_requests.PoisonRequests,
        clock: clocks.Clock,
        journal: logs.Journal,
        metrics: metrics_.Metrics,
    ) -> None:
        self.wire = wire
        self.cluster_state = state
        self.clock = clock
        self.journal = journal
        self.poison_requests = quarantine
        self._settings = settings
        self._prefix_memory = prefix_cache.PrefixCacheTracker(
            clock, settings().bounds.reuse_window
        )
        self._cold = cold_pacing.ColdServerPacer(
            settings().name,
            lambda: state.nodes,
            lambda: settings().bounds,
            clock,
        )
        self.server_loads = server_load.ServerLoads(clock)
        self.prefill_times = prefill_time.PrefillTimes()
        self._placer = placement.Placer(
            settings().zone,
            state.fleet,
            self._prefix_memory,
            self.server_loads,
            self.prefill_times,
            clock,
            self._may_send_cold,
        )
        self.tallies = version_tallies.VersionTallies(state.fleet.members)
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._attempts = metrics.counter(
            "limpetwalk_tries",
            "Requests sent to servers, by outcome.",
            ("outcome",),
        )
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
        self.first_event = metrics.latency(
            "limpetwalk_first_byte", "Time to the head of an answer."
        )

    @property
    def bounds(self) -> types.Bounds:
        """Bounds of the settings in force."""
        return self._settings().bounds

    def budget(self, service: str) -> retry_budget.RetryBudget:
        """Return the repeat budget of a service."""
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
        """Return the requests a second of a service, over all nodes.

        It is told from those of this node; the others get about as many.
        """
        nodes = max(1, len(self.cluster_state.nodes))
        return nodes * self.budget(service).request_rate()

    def time_left(self, call: calls.Call) -> float:
        """Return the seconds until the answer of a call must be out."""
        return call.deadline - self.clock.monotonic()

    def place(
        self, call: calls.Call, model: str = "", version: str = ""
    ) -> placement.Choice | None:
        """Choose a server for a call, None when there is none.

        :param version: version that should answer if it still may.
        """
        for versions in self._versions(call, version):
            choice = self._placer.choose(
                placement.Need(
                    call.service,
                    versions,
                    model,
                    call.prompt,
                    call.tried_servers,
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
        timeout: float,
    ) -> outbound.StartedAnswer | outbound.FailedAttempt:
        """Offer a call to a server and wait for the head of the answer.

        :param last_event: event after which the stream goes on, or empty.
        :param patience: longest time to wait, in seconds.
        """
        left = self.time_left(call)
        member = choice.member
        call.tried_servers.add(member.id)
        self._log_placement(call, choice, model, left)
        self._begin(choice)
        started: outbound.StartedAnswer | outbound.FailedAttempt | None = None
        try:
            started = await self._start(
                call, member, model, last_event, min(left, timeout)
            )
        finally:
            self.server_loads.finish_prefill(member.id, choice.prefill_seconds)
            if not isinstance(started, outbound.StartedAnswer):
                self.finish(member)
        if isinstance(started, outbound.StartedAnswer):
            self._note_head(call, choice, started)
        return started

    def finish(self, member: fleet.Member) -> None:
        """Note that a request at a server has ended."""
        member.health.in_flight -= 1
        self.server_loads.end_request(member.id)

    def _begin(self, choice: placement.Choice) -> None:
        choice.member.health.in_flight += 1
        self.server_loads.start_request(
            choice.member.id, choice.prefill_seconds
        )

    def note(
        self,
        call: calls.Call,
        member: fleet.Member,
        tried: outbound.FailedAttempt | None,
    ) -> None:
        """Note how a try ended; None for a whole answer."""
        now = self.clock.monotonic()
        outcome = tried.outcome if tried else None
        failed = outcome not in (None, retries.Outcome.NOT_RUN)
        unreached = outcome is retries.Outcome.UNREACHED
        member.health.note(failed, now, unreached)
        if member.health.backoff_until > now and failed:
            self.journal.emit(
                events.ServerBackingOff(
                    member.id,
                    member.health.failures_in_row,
                    round(member.health.backoff_until - now, 2),
                )
            )
        self._attempts.labels(outcome.value if outcome else "answered").inc()
        if outcome not in (
            retries.Outcome.NOT_RUN,
            retries.Outcome.UNREACHED,
        ):
            good = outcome is None and not call.slow
            self.tallies.note(call.service, member.entry.version, good)
        if outcome is not None:
            call.attempt_counts.note(outcome)
            if outcome is retries.Outcome.UNKNOWN:
                self.poison_requests.check_server(call, member)

    def may_retry(
        self,
        call: calls.Call,
        member: fleet.Member,
        tried: outbound.FailedAttempt,
    ) -> bool:
        """Whether a call may be sent once more; takes from the budget."""
        spent = self.budget(call.service)
        stop = retries.no_retry_reason(
            call.route,
            call.attempt_counts,
            tried.outcome,
            self.time_left(call),
        )
        if stop is None and self.poison_requests.is_blocked(call.fingerprint):
            stop = retries.NoRetryReason.POISON
        # A request that never left is no arrival at the service.
        costs = tried.outcome is not retries.Outcome.UNREACHED
        if stop is None and costs and not spent.try_take():
            stop = retries.NoRetryReason.BUDGET
        self.journal.emit(
            events.AttemptEnded(
                request=call.id,
                server=member.id,
                outcome=tried.outcome.value,
                detail=tried.detail[:200],
                stop=stop.value if stop else "",
                budget_left=round(spent.remaining(), 1),
            )
        )
        if stop is None:
            self._retries.labels(tried.outcome.value).inc()
            return True
        self._retries_denied.labels(stop.value).inc()
        return False

    def refusal_for(
        self, call: calls.Call, last: outbound.FailedAttempt | None
    ) -> refusal.Refusal:
        """Return the refusal for a call that no server answered."""
        if self.poison_requests.is_blocked(call.fingerprint):
            return refusal.Refusal(refusal.Reason.POISON)
        if call.attempt_counts.ran:
            reason = (
                refusal.Reason.TIMED_OUT
                if self.time_left(call) <= retries.MIN_TIME_LEFT
                else refusal.Reason.BROKEN
            )
            return refusal.Refusal(reason)
        if last is not None:
            return refusal.Refusal(
                refusal.Reason.REJECTED, self._retry_after(call)
            )
        return refusal.Refusal(
            refusal.Reason.NO_SERVER, self._retry_after(call)
        )

    def _retry_after(self, call: calls.Call) -> float:
        """Return when a caller should come back, in seconds."""
        return round(max(0.1, min(1.0, self.time_left(call) / 4)), 2)

    async def _start(
        self,
        call: calls.Call,
        member: fleet.Member,
        model: str,
        last_event: str,
        timeout: float,
    ) -> outbound.StartedAnswer | outbound.FailedAttempt:
        if member.is_cold(self.clock.monotonic()):
            self._note_cold(member)
        entry = member.entry
        try:
            exchange = await upstream.Exchange.connect(
                entry.host, entry.port, min(CONNECT_TIMEOUT, timeout)
            )
        except upstream.ServerUnreachable as exc:
            return outbound.FailedAttempt(retries.Outcome.UNREACHED, str(exc))
        keep = False
        try:
            headers = outbound.server_headers(
                self.wire.names,
                call,
                member,
                model,
                last_event,
                self.time_left(call),
            )
            exchange.send(call.method, call.target, headers, call.body)
            sent_at = self.clock.monotonic()
            async with asyncio.timeout(timeout):
                head = await exchange.head()
                verdict = response_check.check_response(
                    head.status, head.headers, self.wire.names, call.id
                )
                if verdict.outcome is None:
                    keep = True
                    return outbound.StartedAnswer(
                        exchange, head, member, model, sent_at
                    )
                answer = None
                if verdict.final:
                    body = await exchange.body()
                    answer = outbound.WholeAnswer(head, body, member.id)
                return outbound.FailedAttempt(
                    verdict.outcome, verdict.detail, answer
                )
        except upstream.ServerUnreachable as exc:
            return outbound.FailedAttempt(retries.Outcome.UNREACHED, str(exc))
        except upstream.IncompleteAnswer as exc:
            return outbound.FailedAttempt(retries.Outcome.UNKNOWN, str(exc))
        except TimeoutError:
            return outbound.FailedAttempt(
                retries.Outcome.UNKNOWN, f"no answer in {timeout:.2f} s"
            )
        finally:
            if not keep:
                exchange.close()

    def _versions(
        self, call: calls.Call, version: str
    ) -> list[frozenset[str] | None]:
        state = self.cluster_state
        present = {
            each.entry.version for each in state.fleet.usable(call.service)
        }
        split = state.rollouts.allowed_split(
            call.service, present, state.fleet.trusted_versions(call.service)
        )
        chosen = state.rollouts.choose_versions(
            split, call.session or call.id, self.bounds.session
        )
        if version and version in split.base | split.candidate:
            chosen = frozenset((version,))
        others = (split.base | split.candidate) - chosen
        if chosen == split.base:
            # A version on trial gets no more than its share.
            others = frozenset() if split.share < 1 else others
        return [each for each in (chosen, others) if each]

    def _may_send_cold(self, member: fleet.Member) -> bool:
        return self._cold.may_send(member.id, self._cold_rate(member))

    def _note_cold(self, member: fleet.Member) -> None:
        self._cold.record_sent(member.id, self._cold_rate(member))

    def _cold_rate(self, member: fleet.Member) -> float:
        known = self.cluster_state.catalog
        service = known.service(member.entry.service) if known else None
        return service.cold_rate if service else 0.0

    def _log_placement(
        self,
        call: calls.Call,
        choice: placement.Choice,
        model: str,
        left: float,
    ) -> None:
        member = choice.member
        self.journal.emit(
            events.RequestPlaced(
                request=call.id,
                server=member.id,
                model=model,
                offer=call.attempt_counts.sent + 1,
                left_ms=int(left * 1000),
                in_flight=member.health.in_flight,
                waiting_ms=int(choice.queue_seconds * 1000),
                reading_ms=int(choice.prefill_seconds * 1000),
                row_version=member.row_version,
                config=call.config_version,
            )
        )

    def _note_head(
        self,
        call: calls.Call,
        choice: placement.Choice,
        started: outbound.StartedAnswer,
    ) -> None:
        member, model = started.member, started.model
        took = self.clock.monotonic() - started.sent_at
        self.first_event.record(took)
        call.slow = self.tallies.is_slow(call.service, model, took)
        if model:
            self.prefill_times.record(model, call.prompt.own_tokens, took)
            self._prefix_memory.record_read(member.id, model, call.prompt)
        if call.session:
            self.cluster_state.rollouts.record_session(
                call.session, member.entry.version, self.bounds.session
            )
