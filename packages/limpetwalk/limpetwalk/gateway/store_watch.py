"""How long a node waits for changes of the store's tables.

Serves clusters of many nodes, whose calls that end without a change load the
store more than all others. A call whose answer was lost is detected only at
the end of its wait, so a few watchers in each group of nodes wait briefly. The
others wait long, and rely on peers that tell which version they have read: a
node that finds itself behind, or hears of an outage, calls again at once. What
peers tell is never applied, so that a wrong report costs a call and no more.
"""

from collections.abc import Callable
from collections.abc import Collection
from dataclasses import dataclass

from .. import clock as clocks
from ..peers import rendezvous
from . import peer_groups
from . import types

# Longest wait of a node that isn't a watcher, in seconds.
LONG_WAIT = 20.0
# Fraction of the usual wait after which a watcher calls again. The time in
# which its peers learn of a change that they missed is added to it.
WATCHER_SHARE = 0.5
# Seconds after which a peer that sent nothing no longer counts: more than two
# intervals between reports of idle nodes.
PEER_SILENCE = 2.5
# Number of peers that must be heard for a long wait, and number of them that
# must report an outage.
MIN_PEERS = 3
MIN_OUTAGE_PEERS = 2


@dataclass(frozen=True, slots=True)
class TableState:
    """What a node knows of a table.

    :param version: version of the latest change that it has applied.
    :param unavailable: whether it can't read the table.
    """

    table: str
    version: types.Version
    unavailable: bool


class PeerNews:
    """What peers tell about the tables.

    :param clock: source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._heard_at: dict[str, float] = {}
        self._outages: dict[str, dict[str, float]] = {}
        self._listeners: dict[str, Callable[[types.Version, bool], None]] = {}

    def listen(
        self, table: str, on_news: Callable[[types.Version, bool], None]
    ) -> None:
        """Call a function for each report on a table.

        :param on_news: called with the peer's version, and with whether
            several peers can't read the table since this report.
        """
        self._listeners[table] = on_news

    def record(self, peer: str, states: Collection[TableState]) -> None:
        """Record a report of a peer."""
        now = self._clock.monotonic()
        self._heard_at[peer] = now
        for state in states:
            outage_began = self._record_outage(peer, state, now)
            listener = self._listeners.get(state.table)
            if listener is not None:
                listener(state.version, outage_began)

    def heard(self) -> frozenset[str]:
        """Return the peers that were heard lately."""
        oldest = self._clock.monotonic() - PEER_SILENCE
        self._heard_at = {
            peer: at for peer, at in self._heard_at.items() if at >= oldest
        }
        return frozenset(self._heard_at)

    def _record_outage(self, peer: str, state: TableState, now: float) -> bool:
        """Record whether a peer can read a table.

        :returns: whether an outage of several peers begins with this report.
        """
        reports = self._outages.setdefault(state.table, {})
        before = _count_recent(reports, now)
        if state.unavailable:
            reports[peer] = now
        else:
            reports.pop(peer, None)
        after = _count_recent(reports, now)
        return before < MIN_OUTAGE_PEERS <= after


def _count_recent(reports: dict[str, float], now: float) -> int:
    return sum(1 for at in reports.values() if now - at <= PEER_SILENCE)


class WatchPlan:
    """Decides how long this node waits for changes.

    :param node: name of this node.
    :param exchange: returns the peers with which it exchanges reports.
    :param nodes: returns the number of known nodes.
    """

    def __init__(
        self,
        node: str,
        exchange: Callable[[], peer_groups.Exchange],
        nodes: Callable[[], int],
        news: PeerNews,
    ) -> None:
        self._node = node
        self._exchange = exchange
        self._nodes = nodes
        self._news = news

    def wait(self, table: str, usual: float) -> float:
        """Return the longest wait for changes of a table, in seconds.

        :param usual: wait of a node that can't rely on others, in seconds.
        """
        if not peer_groups.has_groups(self._nodes()):
            return usual
        heard = self._news.heard()
        if len(heard) < MIN_PEERS:
            return usual
        candidates = (self._exchange().members & heard) | {self._node}
        if rendezvous.owner(table, candidates) == self._node:
            return usual * WATCHER_SHARE
        return max(usual, LONG_WAIT)
