"""Refusals of requests, each with a reason and a run state."""

from dataclasses import dataclass
import enum


class RunState(enum.Enum):
    """Whether a refused request is known to have run at a backend server."""

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was refused; each has its own counter."""

    MALFORMED_BODY = "malformed_body"
    BODY_TOO_LARGE = "body_too_large"
    BODY_INCOMPLETE = "body_incomplete"
    MEMORY_USED = "memory_used"
    HEADERS_TOO_LARGE = "headers_too_large"
    MISSING_KEY = "missing_key"
    WRONG_KEY = "wrong_key"
    UNKNOWN_MODEL = "unknown_model"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    UNKNOWN_SERVICE = "unknown_service"
    SERVICE_NOT_ALLOWED = "service_not_allowed"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_SESSION = "unknown_session"
    VERSION_WITHDRAWN = "version_withdrawn"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    REQUEST_IN_PROGRESS = "request_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UNKNOWN_OUTCOME_KEY = "unknown_outcome_key"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    QUEUE_FULL = "queue_full"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_BACKEND_SERVER = "no_backend_server"
    BACKEND_SERVER_FAILED = "backend_server_failed"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    QUARANTINED = "quarantined"
    STORE_UNAVAILABLE = "store_unavailable"
    CONFIGURATION_STALE = "configuration_stale"
    NOT_READY = "not_ready"
    SHUTTING_DOWN = "shutting_down"
    INTERNAL_ERROR = "internal_error"


class RetryReason(enum.Enum):
    """Why the router sent a request again; each has its own counter."""

    CONNECT_FAILED = "connect_failed"
    NOT_RUN = "not_run"
    SILENT_CONNECTION = "silent_connection"
    CONNECTION_LOST = "connection_lost"
    TRUNCATED_ANSWER = "truncated_answer"
    MISMATCHED_ANSWER = "crossed_answer"
    SERVER_ERROR = "server_error"
    OVERLOADED = "overloaded"
    STREAM_RESUMED = "stream_resumed"
    PERMIT_EXPIRED = "permit_expired"
    HEDGED = "hedged"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request, as it is reported to the caller.

    :param reason: why it was refused.
    :param run_state: whether a backend server ran the request.
    :param status: HTTP status code.
    :param message: one sentence for the caller.
    :param retry_after: seconds until a retry is useful; None when a retry
        does not help.
    """

    reason: Reason
    run_state: RunState
    status: int
    message: str
    retry_after: float | None = None


class Refused(Exception):
    """Raised on a refusal; converted to a response once, at the boundary.

    :param refusal: refusal returned to the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.reason.value}: {refusal.message}")
        self.refusal = refusal
