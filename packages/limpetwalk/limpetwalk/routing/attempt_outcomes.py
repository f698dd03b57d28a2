"""Effects of the end of an attempt on its replica."""

from loguru import logger

from .. import clock as clocks
from .. import metrics as metrics_module
from ..backends import base as backends
from . import replicas

# Failures that do not depend on the health of the server.
NEUTRAL = frozenset(
    (backends.FailureKind.REJECTED, backends.FailureKind.DEADLINE)
)


class OutcomeRecorder:
    """Updates replicas when their attempts end."""

    def __init__(
        self,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._clock = clock
        self._failures = metrics.counter(
            "limpetwalk_attempt_failures",
            "Attempts without a whole answer.",
            ("kind",),
        )
        self._opened = metrics.counter(
            "limpetwalk_circuits_opened", "Times that a circuit opened."
        )
        self._boots = metrics.counter(
            "limpetwalk_boots_seen", "New boots of backend servers seen."
        )

    def record_answer(self, replica: replicas.Replica, started: float) -> None:
        """Record a complete answer.

        :param started: monotonic instant at which the attempt was sent.
        """
        if replica.circuit.succeed():
            logger.info("circuit of server {} closed", replica.name)
        replica.limiter.increase()
        self._update_boot(replica, started)

    def record_failure(
        self,
        replica: replicas.Replica,
        started: float,
        exc: backends.AttemptFailed,
    ) -> None:
        """Record a failed attempt.

        :param started: monotonic instant at which the attempt was sent.
        """
        self._failures.labels(exc.kind.value).inc()
        self._update_boot(replica, started)
        if exc.crashed or exc.kind is backends.FailureKind.CONNECT_FAILED:
            replica.boot.mark_unconfirmed()
        if exc.kind is backends.FailureKind.OVERLOADED:
            replica.limiter.decrease()
            replica.circuit.end_without_result()
            return
        if exc.kind in NEUTRAL:
            replica.circuit.end_without_result()
            return
        if replica.circuit.fail(self._clock.monotonic()):
            self._opened.inc()
            logger.warning(
                "circuit of server {} opened: {}", replica.name, exc
            )

    def record_restart(self, replica: replicas.Replica) -> None:
        """Record that a server has restarted."""
        self._boots.inc()
        logger.info("server {} has restarted and counts as cold", replica.name)

    def _update_boot(self, replica: replicas.Replica, started: float) -> None:
        now = self._clock.monotonic()
        if replica.boot.update(replica.client.boot_id, now, started):
            self.record_restart(replica)
