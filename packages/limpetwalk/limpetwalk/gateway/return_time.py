"""Decides when a caller that was refused should come back.

Serves a load during which all servers of a service are down, as after requests
that crash each server that runs them, or want nothing for a while. Callers
retry once or twice. One that comes back before the first server does has lost
its retry, and those that come back together overload the first server, which
is cold.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
import random

from . import fleet

# Usual time from the crash of a server to its return, seconds.
RESTART_TIME = 4.0
# Longest and shortest time until a caller comes back to servers that are full,
# seconds.
MAX_BUSY_TIME = 1.0
MIN_TIME = 0.1
# Fractions of the time that a caller has left: in which it comes back to full
# servers, and beyond which callers don't wait.
BUSY_FRACTION = 0.25
LONGEST_FRACTION = 1 / 3
# Time over which callers return to a service that was down, seconds.
SPREAD = 1.0


def retry_after(
    members: Iterable[fleet.Member],
    time_left: float,
    now: float,
    rng: random.Random,
    paused_until: Callable[[fleet.Member], float] = lambda member: -math.inf,
) -> float:
    """Return the seconds after which a caller should retry.

    :param members: usable servers of the service.
    :param time_left: time until the caller's deadline, in seconds.
    :param paused_until: returns the instant until which a server wants no
        requests.
    """
    returns = []
    for member in members:
        down_since = member.health.unreached_since
        paused = paused_until(member)
        if down_since is not None:
            returns.append(max(down_since + RESTART_TIME, paused))
        elif paused > now:
            returns.append(paused)
        else:
            returns.append(-math.inf)
    seconds = min(MAX_BUSY_TIME, time_left * BUSY_FRACTION)
    first_return = min(returns, default=-math.inf)
    if math.isfinite(first_return):
        seconds = max(seconds, first_return - now) + rng.uniform(0.0, SPREAD)
    return max(MIN_TIME, min(seconds, time_left * LONGEST_FRACTION))
