"""Responses that the gateway gives itself when no server's is usable."""

from dataclasses import dataclass
import enum


class Reason(enum.Enum):
    """Why a request gets no server's response, with its label and status.

    Statuses 408, 421, 429 and 503 tell callers that the request has not run.
    """

    NO_CONFIG = ("no_configuration", 503)
    STOPPING = ("node_stopping", 503)
    STOPPED = ("node_stopped", 504)
    NO_ROUTE = ("no_route", 404)
    NO_KEY = ("unknown_key", 401)
    BODY_TOO_LARGE = ("body_too_large", 413)
    UNREADABLE = ("unreadable_request", 400)
    NO_MEMORY = ("memory_used", 503)
    SLOW_BODY = ("body_not_received", 408)
    NO_SERVER = ("no_server", 503)
    NO_ROOM = ("no_room", 503)
    REJECTED = ("rejected_by_servers", 503)
    TIMED_OUT = ("timed_out", 504)
    BROKEN = ("answer_broken", 502)
    POISON = ("crashes_servers", 502)
    INTERNAL = ("internal_error", 500)

    def __init__(self, label: str, status: int) -> None:
        self.label = label
        self.status = status


@dataclass(frozen=True, slots=True)
class Refusal:
    """Response that the gateway gives itself.

    :param reason: why no server's response is passed on.
    :param retry_after: seconds after which the caller should retry, or None
        when a retry would not help.
    """

    reason: Reason
    retry_after: float | None = None
