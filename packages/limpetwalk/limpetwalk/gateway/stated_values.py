"""Values that servers state about themselves, known to all nodes.

Serves many nodes that send to the same servers: what one answer states travels
with the load reports, through two nodes at most, so that it counts for all of
them soon. A value ends when an answer no longer names it, or when nothing
confirms it.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import math

from .. import clock as clocks

# Time after which a value ends that no answer confirms, in seconds.
LIFETIME = 10.0
# Age up to which an observation is reported, in seconds: several reports, of
# which some may be lost. With many servers, older ones would make up most of
# each report.
REPORTED_AGE = 1.0
# Change of a value that is logged, as a share of it.
LOGGED_CHANGE = 0.25


@dataclass(frozen=True, slots=True)
class Observed:
    """Value of a server as an answer stated it.

    :param value: None when the answer stated none.
    :param age: time since the answer, in seconds.
    """

    server: str
    value: float | None
    age: float


@dataclass(slots=True)
class _Stated:
    """Value of a server, None for one that has ended.

    :param hops: nodes through which the observation came, 0 for this node's
        own.
    """

    value: float | None
    observed_at: float
    hops: int


class StatedValues:
    """Values that servers state, by this node's answers and by reports.

    :param clock: source of monotonic time.
    :param on_change: called with the server and its new value, or None when
        it has ended.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        on_change: Callable[[str, float | None], None],
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._stated: dict[str, _Stated] = {}

    def record_answer(self, server_id: str, text: str | None) -> None:
        """Record the value that an answer of a server names.

        :param text: value of the header, None when it is missing.
        """
        value = _parse(text)
        if value is not None or server_id in self._stated:
            now = self._clock.monotonic()
            self._update(server_id, _Stated(value, now, hops=0))

    def merge(self, observed: Iterable[Observed], hops: int) -> None:
        """Apply values that another node reports, where they are newer.

        :param hops: nodes through which the observations came.
        """
        now = self._clock.monotonic()
        for item in observed:
            known = self._stated.get(item.server)
            observed_at = now - item.age
            if item.age > LIFETIME:
                continue
            if known is None or known.observed_at < observed_at:
                self._update(
                    item.server, _Stated(item.value, observed_at, hops)
                )

    def observed(self, max_hops: int) -> list[Observed]:
        """Return the values to report to other nodes, ended ones included.

        Each hop makes an observation look younger by the time that the report
        took, so it must not travel in a circle.

        :param max_hops: nodes through which the observations may have come.
        """
        self._expire()
        now = self._clock.monotonic()
        return [
            Observed(server_id, stated.value, now - stated.observed_at)
            for server_id, stated in self._stated.items()
            if stated.hops <= max_hops
            and now - stated.observed_at <= REPORTED_AGE
        ]

    def value(self, server_id: str) -> float | None:
        """Return the value that a server states, or None."""
        stated = self._stated.get(server_id)
        if stated is None:
            return None
        age = self._clock.monotonic() - stated.observed_at
        return stated.value if age <= LIFETIME else None

    def is_known(self, server_id: str) -> bool:
        """Return whether a server stated a value, which may have ended."""
        return server_id in self._stated

    def _update(self, server_id: str, stated: _Stated) -> None:
        known = self._stated.get(server_id)
        before = known.value if known is not None else None
        self._stated[server_id] = stated
        if _differ(before, stated.value):
            self._on_change(server_id, stated.value)

    def _expire(self) -> None:
        oldest = self._clock.monotonic() - LIFETIME
        for server_id, stated in list(self._stated.items()):
            if stated.observed_at < oldest:
                del self._stated[server_id]
                if stated.value is not None:
                    self._on_change(server_id, None)


def _differ(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before is not after
    return abs(after - before) > LOGGED_CHANGE * before


def _parse(text: str | None) -> float | None:
    """Return a value from its header, None when it is missing or invalid."""
    try:
        value = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None
