"""Whether a request that failed at a server may be sent to another."""

from dataclasses import dataclass
import enum

from . import types

# Least time that must be left for another try, seconds: about a connection
# and the shortest work of the plain services.
MIN_TIME_LEFT = 0.03
# Most servers that one request is offered to, rejections included. Each
# rejected offer counts against the repeat budget of all nodes. Servers that
# are down and refuse the connection don't count: a zone of them may be.
MAX_ATTEMPTS_SENT = 5


class Outcome(enum.Enum):
    """How a try at a server ended.

    :cvar UNREACHED: no byte of the request was sent.
    :cvar NOT_RUN: the server said that it did not run the request.
    :cvar UNKNOWN: sent, and it may have run.
    :cvar FAILED: the server ran it and answered with a failure.
    """

    UNREACHED = "unreached"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class NoRetryReason(enum.Enum):
    """Why a request is not sent again."""

    TIME = "no_time_left"
    ATTEMPTS = "attempts_used"
    MAY_HAVE_RUN = "may_have_run"
    BUDGET = "repeat_budget_used"
    ATTEMPTS_SENT = "offers_used"
    POISON = "crashes_servers"


@dataclass(slots=True)
class AttemptCounts:
    """Tries of one request so far.

    :param ran: counts that ran or may have run.
    :param sent: counts that reached a server.
    """

    ran: int = 0
    sent: int = 0

    def note(self, outcome: Outcome) -> None:
        """Count a try."""
        if outcome is not Outcome.UNREACHED:
            self.sent += 1
        if outcome in (Outcome.UNKNOWN, Outcome.FAILED):
            self.ran += 1


def no_retry_reason(
    route: types.Route, counts: AttemptCounts, last: Outcome, time_left: float
) -> NoRetryReason | None:
    """Return why a request must not be sent again, or None when it may.

    The budget is asked by the caller, since asking takes from it.

    :param last: how the latest try ended.
    :param time_left: seconds until the answer must be out.
    """
    if last in (Outcome.UNKNOWN, Outcome.FAILED) and not route.retryable:
        return NoRetryReason.MAY_HAVE_RUN
    if counts.ran >= max(1, route.attempts):
        return NoRetryReason.ATTEMPTS
    if counts.sent >= MAX_ATTEMPTS_SENT:
        return NoRetryReason.ATTEMPTS_SENT
    if time_left < MIN_TIME_LEFT:
        return NoRetryReason.TIME
    return None
