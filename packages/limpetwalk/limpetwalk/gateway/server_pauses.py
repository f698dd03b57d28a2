"""Servers that want nothing from this node for a while.

Serves servers that turn requests away and say how long they want none. The
time is between one server and one node, so it isn't told to other nodes.
"""

from collections.abc import Collection
import datetime
import email.utils
import math
import random

from .. import clock as clocks

# Longest time that is believed, in seconds. A server that says more gets one
# request after it, and may say so again.
MAX_PAUSE = 60.0
# Share of a pause by which it is prolonged at random, so that nodes and
# callers don't come back together, and the largest such time, in seconds.
JITTER_SHARE = 0.1
MAX_JITTER = 0.5


class ServerPauses:
    """Times for which servers want no requests of this node.

    :param clock: source of monotonic time.
    :param rng: random source for the ends of pauses.
    """

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._until: dict[str, float] = {}

    def record(self, server: str, seconds: float) -> float:
        """Record that a server wants nothing for some time.

        :param server: identifies the server and its start.
        :returns: the time that is believed, in seconds.
        """
        now = self._clock.monotonic()
        for name in [id_ for id_, at in self._until.items() if at <= now]:
            del self._until[name]
        pause = min(seconds, MAX_PAUSE)
        jitter = min(MAX_JITTER, JITTER_SHARE * pause)
        until = now + pause + self._rng.uniform(0.0, jitter)
        self._until[server] = max(until, self._until.get(server, until))
        return pause

    def until(self, server: str) -> float:
        """Return the instant from which a server may get requests."""
        return self._until.get(server, -math.inf)

    def is_paused(self, server: str) -> bool:
        """Return whether a server wants nothing now."""
        return self._clock.monotonic() < self.until(server)


def parse_retry_after(
    values: Collection[str], now: datetime.datetime
) -> float | None:
    """Return the longest time that Retry-After headers name, in seconds.

    :param values: contents of the headers, each a number of seconds or a date.
    :param now: current time of day.
    :returns: None when none of them names a time to come.
    """
    times = [_parse(value.strip(), now) for value in values]
    return max((each for each in times if each > 0), default=None)


def _parse(value: str, now: datetime.datetime) -> float:
    """Return a time in seconds, 0.0 for a value that names none."""
    try:
        seconds = float(value)
    except ValueError:
        pass
    else:
        return seconds if math.isfinite(seconds) else 0.0
    try:
        at = email.utils.parsedate_to_datetime(value)
        return (at - now).total_seconds()
    except (TypeError, ValueError, OverflowError):
        return 0.0
