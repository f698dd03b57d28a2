"""Log lines and metrics of the requests that waited at this node."""

from limpetwalk import metrics as metrics_
from limpetwalk.gateway import call as calls
from limpetwalk.gateway import request_queue

from . import events
from . import logs


class QueueLog:
    """Records how the waits of requests end."""

    def __init__(
        self, journal: logs.Journal, metrics: metrics_.Metrics
    ) -> None:
        self._journal = journal
        self._waited = metrics.counter(
            "limpetwalk_waited",
            "Requests that waited for room, by priority and end.",
            ("priority", "end"),
        )
        self._waits = metrics.latency(
            "limpetwalk_wait", "Time for which requests waited for room."
        )

    def record(
        self, call: calls.Call, seconds: float, outcome: request_queue.Outcome
    ) -> None:
        """Record the end of a wait."""
        self._waited.labels(str(call.priority), outcome.value).inc()
        self._waits.record(seconds)
        workspace = call.workspace.name if call.workspace else ""
        self._journal.emit(
            events.RequestWaited(
                request=call.caller_attempt_id,
                service=call.service,
                priority=call.priority,
                workspace=workspace,
                waited_ms=int(seconds * 1000),
                end=outcome.value,
            )
        )
