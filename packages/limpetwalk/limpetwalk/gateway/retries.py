"""Decides whether a failed request may be sent to another server."""

from dataclasses import dataclass
import enum

from . import types

# Minimum time left for another attempt, in seconds: about the time to connect
# plus the shortest processing time of the plain services.
MIN_TIME_LEFT = 0.03
# Maximum number of attempts of one request that reach a server, including
# rejected ones. Each rejected attempt uses the retry budget of all nodes.
# Servers that refuse the connection don't count, since a whole zone may be
# down.
MAX_ATTEMPTS_SENT = 5


class Outcome(enum.Enum):
    """How an attempt at a server ended.

    :cvar UNREACHED: no byte of the request was sent.
    :cvar NOT_RUN: the server reported that it did not run the request.
    :cvar UNKNOWN: the request was sent and may have run.
    :cvar FAILED: the server ran the request and responded with a failure.
    """

    UNREACHED = "unreached"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class NoRetryReason(enum.Enum):
    """Why a request is not retried."""

    TIME = "no_time_left"
    ATTEMPTS = "attempts_used"
    MAY_HAVE_RUN = "may_have_run"
    BUDGET = "repeat_budget_used"
    ATTEMPTS_SENT = "offers_used"
    POISON = "crashes_servers"


@dataclass(slots=True)
class AttemptCounts:
    """Numbers of attempts of one request so far.

    :param ran: attempts that ran or may have run.
    :param sent: attempts that reached a server.
    :param running: attempts that were sent and have not ended.
    """

    ran: int = 0
    sent: int = 0
    running: int = 0

    def record_sent(self) -> None:
        """Count an attempt that is sent."""
        self.running += 1

    def record_end(self, outcome: Outcome) -> None:
        """Count the end of an attempt, by its outcome."""
        if outcome is not Outcome.UNREACHED:
            self.running -= 1
        self.record(outcome)

    def record(self, outcome: Outcome) -> None:
        """Count an attempt by its outcome."""
        if outcome is not Outcome.UNREACHED:
            self.sent += 1
        if outcome in (Outcome.UNKNOWN, Outcome.FAILED):
            self.ran += 1


def no_retry_reason(
    route: types.Route, counts: AttemptCounts, last: Outcome, time_left: float
) -> NoRetryReason | None:
    """Return why a request must not be retried, or None when it may be.

    The retry budget is checked by the calling code, because the check uses up
    a retry.

    :param counts: numbers of attempts so far.
    :param last: outcome of the latest attempt.
    :param time_left: seconds until the response must be sent.
    """
    if last in (Outcome.UNKNOWN, Outcome.FAILED) and not route.retryable:
        return NoRetryReason.MAY_HAVE_RUN
    if counts.ran + counts.running >= max(1, route.attempts):
        return NoRetryReason.ATTEMPTS
    if counts.sent + counts.running >= MAX_ATTEMPTS_SENT:
        return NoRetryReason.ATTEMPTS_SENT
    if time_left < MIN_TIME_LEFT:
        return NoRetryReason.TIME
    return None
