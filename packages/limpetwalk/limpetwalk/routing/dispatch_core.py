"""Parts that the dispatchers of a node share."""

from collections.abc import Callable
from collections.abc import Hashable
import random

from .. import clock as clocks
from .. import metrics as metrics_module
from .. import refusals
from ..backends import base as backends
from ..conf import snapshot
from . import admission
from . import attempt_outcomes
from . import attempts as attempts_module
from . import balancer as balancers
from . import cold_permits
from . import dispatch_refusals
from . import hedging
from . import quarantine as quarantines
from . import replicas
from . import retry_budget

Config = Callable[[], snapshot.AppliedSnapshot]


class DispatchCore:
    """Replicas, admission, retries and quarantine of a node.

    The current configuration is read for each choice, so a drain, a zone
    taken out or a withdrawal affects new work and retries at once, while
    work in flight finishes.

    :param config: returns the snapshot in force.
    :param permits: source of permits for cold servers.
    :param quarantine: record of requests that crash servers.
    :param node_context: zone of the node and state of the fleet.
    :param balancer: chooses among usable replicas; None uses
        ``LeastInFlight``.
    :param factory: creates the client of a server.
    """

    def __init__(
        self,
        config: Config,
        permits: cold_permits.PermitSource,
        quarantine: quarantines.Quarantine,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        node_context: replicas.NodeContext | None = None,
        balancer: balancers.Balancer | None = None,
        factory: replicas.ClientFactory = replicas.build_client,
    ) -> None:
        self.clock = clock
        self.quarantine = quarantine
        self.directory = replicas.Directory(
            config, clock, rng, node_context, factory
        )
        self.outcomes = attempt_outcomes.OutcomeRecorder(clock, metrics)
        self.retries = attempts_module.Retries(
            retry_budget.RetryBudget(), clock, metrics
        )
        self.hedger = hedging.Hedger(self.retries, clock)
        known_nodes = self.directory.node_context.known_nodes
        self.admission = admission.Admission(
            self.directory,
            balancer or balancers.LeastInFlight(clock, rng, known_nodes),
            permits,
            lambda: config().snapshot.tuning.queue_length,
            clock,
            metrics,
        )
        self._config = config
        self._clock = clock
        self._refused = metrics.counter(
            "limpetwalk_dispatch_refusals",
            "Requests that the dispatcher refused.",
            ("reason", "run"),
        )

    @property
    def tuning(self) -> snapshot.Tuning:
        """Limits and timeouts in force."""
        return self._config().snapshot.tuning

    async def close(self) -> None:
        """Close the clients of all backend servers."""
        await self.directory.close()

    def begin_request(
        self, request_id: str, deadline: float
    ) -> attempts_module.Attempts:
        """Start a request: credit the retry budget and return its attempts."""
        self.retries.budget.record_first_attempt(self.tuning.retry_share)
        return attempts_module.Attempts(request_id, deadline)

    def apply_load_report(
        self, replica: replicas.Replica, report: backends.LoadReport
    ) -> None:
        """Apply a replica's load report and serve the requests that wait."""
        if replica.apply_load_report(report, self._clock.monotonic()):
            self.outcomes.record_restart(replica)
        if self.admission.waiting:
            self.admission.serve_waiting(
                replicas.served_subjects(replica.server)
            )

    def count_refusal(self, exc: refusals.Refused) -> None:
        """Count a refusal by its reason and run state."""
        refusal = exc.refusal
        labels = (refusal.reason.value, refusal.run_state.value)
        self._refused.labels(*labels).inc()

    async def acquire(
        self,
        attempts: attempts_module.Attempts,
        subject: Hashable,
        priority: int,
        affinity: str,
        fingerprint: str,
    ) -> admission.Slot:
        """Return a slot for the next attempt of a request.

        :raises Refused: when no slot is available before the deadline, or
            the request is quarantined.
        """
        crashed_servers = self.quarantine.crashed_servers(fingerprint)
        try:
            self._refuse_quarantined(len(crashed_servers))
            return await self.admission.acquire(
                admission.SlotRequest(
                    subject,
                    priority,
                    attempts.deadline,
                    affinity,
                    attempts.tried_servers | crashed_servers,
                    bool(crashed_servers),
                )
            )
        except refusals.Refused as exc:
            raise attempts.with_run_state(exc) from None

    def record_answer(self, slot: admission.Slot, fingerprint: str) -> None:
        """Record that an attempt got a complete answer."""
        self.outcomes.record_answer(slot.replica, slot.started)
        if slot.suspected:
            self.quarantine.clear(fingerprint)

    def record_failure(
        self,
        slot: admission.Slot,
        fingerprint: str,
        exc: backends.AttemptFailed,
    ) -> None:
        """Record a failed attempt, also in the quarantine after a crash."""
        boot_id = slot.replica.boot.boot_id
        self.outcomes.record_failure(slot.replica, slot.started, exc)
        if exc.crashed:
            name = slot.replica.name
            self.quarantine.record_crash(fingerprint, name, boot_id)

    def refuse_withdrawn(self, target: snapshot.ModelVersion) -> None:
        """Check that a version may receive new work.

        :raises Refused: when it was withdrawn.
        """
        model = self._config().snapshot.models.get(target.model)
        state = model.versions.get(target.version) if model else None
        if state is snapshot.VersionState.LIVE:
            return
        raise dispatch_refusals.build_refused(
            refusals.Reason.VERSION_WITHDRAWN,
            refusals.RunState.NOT_RUN,
            f"version {target.version} of {target.model} was withdrawn",
        )

    def _refuse_quarantined(self, crashes: int) -> None:
        if crashes < self.tuning.crash_limit:
            return
        raise dispatch_refusals.build_refused(
            refusals.Reason.QUARANTINED,
            refusals.RunState.NOT_RUN,
            "this request has crashed the backend servers that ran it",
        )
