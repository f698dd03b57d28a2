"""Whether a request that failed at a server may be sent to another."""

from dataclasses import dataclass
import enum

from . import types

# Least time that must be left for another try, seconds: about a connection
# and the shortest work of the plain services.
LEAST_TIME = 0.03
# Most servers that one request is offered to, rejections included. Each
# rejected offer counts against the repeat budget of all nodes. Servers that
# are down and refuse the connection don't count: a zone of them may be.
MOST_OFFERS = 5


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


class Stop(enum.Enum):
    """Why a request is not sent again."""

    TIME = "no_time_left"
    ATTEMPTS = "attempts_used"
    UNREPEATABLE = "may_have_run"
    BUDGET = "repeat_budget_used"
    OFFERS = "offers_used"
    POISON = "crashes_servers"


@dataclass(slots=True)
class Tries:
    """Tries of one request so far.

    :param ran: tries that ran or may have run.
    :param offered: tries that reached a server.
    """

    ran: int = 0
    offered: int = 0

    def note(self, outcome: Outcome) -> None:
        """Count a try."""
        if outcome is not Outcome.UNREACHED:
            self.offered += 1
        if outcome in (Outcome.UNKNOWN, Outcome.FAILED):
            self.ran += 1


def why_stop(
    route: types.Route, tries: Tries, last: Outcome, time_left: float
) -> Stop | None:
    """Return why a request must not be sent again, or None when it may.

    The budget is asked by the caller, since asking takes from it.

    :param last: how the latest try ended.
    :param time_left: seconds until the answer must be out.
    """
    if last in (Outcome.UNKNOWN, Outcome.FAILED) and not route.repeatable:
        return Stop.UNREPEATABLE
    if tries.ran >= max(1, route.attempts):
        return Stop.ATTEMPTS
    if tries.offered >= MOST_OFFERS:
        return Stop.OFFERS
    if time_left < LEAST_TIME:
        return Stop.TIME
    return None
