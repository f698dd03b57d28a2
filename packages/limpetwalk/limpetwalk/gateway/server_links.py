"""Which way a node takes to a server: directly, or through another node.

Serves nodes that are partitioned from some or all servers while other nodes
reach them. A failed connection alone doesn't tell whether the server is down
or the link is lost; a peer that gets through does. A node that has lost
several links, and has no other that works, takes itself for cut off: it asks
peers first for all servers, and tries few connections of its own.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
import random

from .. import clock as clocks
from . import peer_groups

# First and longest time for which peers are asked first after a link was
# found lost, in seconds.
FIRST_PAUSE = 1.0
MAX_PAUSE = 3.0
# Shares of a pause between which its length is drawn.
JITTER = (0.7, 1.0)
# Lost links that make a node cut off, if it has failed to connect to
# ``MIN_FAILED_SERVERS`` since it last connected to any.
MIN_LOST_LINKS = 2
MIN_FAILED_SERVERS = 3
# Time for which a connection shows that this node's links work, in seconds.
WORKING_WINDOW = 1.0
# Bounds of the time between two direct attempts of a node that is cut off, in
# seconds.
PROBE_INTERVAL = (0.2, 0.4)
# Time over which a node that reaches a server again tries its other links, in
# seconds.
RECOVERY_SPREAD = 0.5
# Time for which a peer that couldn't help isn't asked, in seconds.
AVOID_TIME = 1.0
# Time for which a peer that said that it is cut off counts as such, in
# seconds. Idle nodes report once per second.
CUT_OFF_NEWS = 2.5
# Largest number of nodes that are cut off for each peer of the zone; with
# more, the peers of other zones help.
MAX_SERVED_NODES = 2.0


@dataclass(slots=True)
class _LostLink:
    """Link to a server that peers reach.

    :param retry_at: instant from which the link is tried again.
    :param pause: length of the next pause, in seconds.
    """

    retry_at: float
    pause: float = FIRST_PAUSE


class ServerLinks:
    """Links of this node to the servers, by the fate of its connections.

    :param rng: random source for the instants of direct attempts.
    :param is_known: tells whether a server still exists.
    :param on_link: called with a server whose link is lost or works again,
        and with whether it is lost.
    :param on_cut_off: called when this node is cut off, or no longer.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        is_known: Callable[[str], bool] = lambda server_id: True,
        on_link: Callable[[str, bool], None] = lambda server_id, lost: None,
        on_cut_off: Callable[[bool], None] = lambda cut_off: None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._is_known = is_known
        self._on_link = on_link
        self._on_cut_off = on_cut_off
        self._lost: dict[str, _LostLink] = {}
        self._connected_at = -WORKING_WINDOW
        self._failed: set[str] = set()
        self._next_probe = 0.0
        self.cut_off = False

    def prefers_peer(self, server_id: str) -> bool:
        """Return whether to ask a peer before connecting directly."""
        now = self._clock.monotonic()
        if self.cut_off:
            if now < self._next_probe:
                return True
            self._next_probe = now + self._rng.uniform(*PROBE_INTERVAL)
            return False
        link = self._lost.get(server_id)
        if link is None:
            return False
        if now < link.retry_at:
            return True
        # Others don't wait for the outcome of this attempt.
        link.retry_at = now + PROBE_INTERVAL[1]
        return False

    def is_lost(self, server_id: str) -> bool:
        """Return whether the link to a server is known to be lost."""
        return server_id in self._lost

    def is_in_doubt(self, server_id: str) -> bool:
        """Return whether an answer may have broken off by a lost link."""
        return (
            self.cut_off
            or server_id in self._lost
            or len(self._failed) >= MIN_FAILED_SERVERS
        )

    @property
    def works(self) -> bool:
        """Whether this node connects to servers, except perhaps to one.

        A node whose links don't work can't tell that a server is down.
        """
        age = self._clock.monotonic() - self._connected_at
        return (
            age < WORKING_WINDOW
            and len(self._failed) <= 1
            and not self.cut_off
        )

    def record_connected(self, server_id: str) -> None:
        """Record that a direct connection was established."""
        now = self._connected_at = self._clock.monotonic()
        if self._failed:
            self._failed.clear()
        if self._lost.pop(server_id, None) is not None:
            self._on_link(server_id, False)
        if not self.cut_off:
            return
        self._set_cut_off(False)
        for link in self._lost.values():
            spread = now + self._rng.uniform(0.0, RECOVERY_SPREAD)
            link.retry_at = min(link.retry_at, spread)

    def record_failed(self, server_id: str) -> None:
        """Record that a direct connection failed, for whatever reason."""
        self._failed.add(server_id)

    def record_lost(self, server_id: str) -> None:
        """Record that a peer got through where this node did not."""
        now = self._clock.monotonic()
        for each in [id_ for id_ in self._lost if not self._is_known(id_)]:
            del self._lost[each]
        link = self._lost.get(server_id)
        if link is None:
            link = self._lost[server_id] = _LostLink(now)
            self._on_link(server_id, True)
        link.retry_at = now + link.pause * self._rng.uniform(*JITTER)
        link.pause = min(MAX_PAUSE, 2 * link.pause)
        if (
            not self.cut_off
            and len(self._lost) >= MIN_LOST_LINKS
            and len(self._failed) >= MIN_FAILED_SERVERS
        ):
            self._set_cut_off(True)

    def record_down(self, server_id: str) -> None:
        """Record that a server can't be reached by peers either."""
        if self._lost.pop(server_id, None) is not None:
            self._on_link(server_id, False)

    def _set_cut_off(self, cut_off: bool) -> None:
        self.cut_off = cut_off
        self._on_cut_off(cut_off)


class PeerChoice:
    """Chooses the peers that are asked to connect to a server.

    :param node: name of this node.
    :param zone: returns the availability zone of this node.
    :param peers: returns all known nodes by name.
    :param heard: returns the peers that were heard lately.
    """

    def __init__(
        self,
        node: str,
        zone: Callable[[], str],
        peers: Callable[[], Mapping[str, peer_groups.Peer]],
        heard: Callable[[], Collection[str]],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._zone = zone
        self._peers = peers
        self._heard = heard
        self._clock = clock
        self._rng = rng
        self._cut_off_at: dict[str, float] = {}
        self._avoid_until: dict[str, float] = {}
        self._open: dict[str, int] = {}

    def record_report(self, name: str, cut_off: bool) -> None:
        """Record what a peer says of its own links."""
        if cut_off:
            self._cut_off_at[name] = self._clock.monotonic()
        else:
            self._cut_off_at.pop(name, None)

    def record_unable(self, name: str) -> None:
        """Record that a peer couldn't help."""
        self._avoid_until[name] = self._clock.monotonic() + AVOID_TIME

    def record_opened(self, name: str) -> None:
        """Record that a tunnel through a peer was opened."""
        self._open[name] = self._open.get(name, 0) + 1

    def record_closed(self, name: str) -> None:
        """Record that a tunnel through a peer was closed."""
        if self._open[name] == 1:
            del self._open[name]
        else:
            self._open[name] -= 1

    def next_peer(
        self, asked: Collection[str] = ()
    ) -> tuple[str, peer_groups.Peer] | None:
        """Return the peer to ask, or None when no peer can help.

        Peers of this node's own zone come first, unless most of it is cut
        off, and those last that couldn't help a moment ago. The peer with
        fewer tunnels of two random ones is taken.

        :param asked: peers that were asked already.
        """
        peers = self._peers()
        able = [
            name
            for name in self._heard()
            if name != self._node
            and name not in asked
            and name in peers
            and peers[name].secret
            and not self._is_cut_off(name)
        ]
        able = [name for name in able if not self._is_avoided(name)] or able
        zone = self._zone()
        near = [name for name in able if peers[name].zone == zone]
        cut_off = 1 + sum(
            1
            for name in self._cut_off_at
            if name in peers
            and peers[name].zone == zone
            and self._is_cut_off(name)
        )
        candidates = near if cut_off <= MAX_SERVED_NODES * len(near) else able
        if not candidates:
            return None
        pair = self._rng.sample(sorted(candidates), min(2, len(candidates)))
        name = min(pair, key=lambda each: self._open.get(each, 0))
        return name, peers[name]

    def _is_avoided(self, name: str) -> bool:
        now = self._clock.monotonic()
        return now < self._avoid_until.get(name, now)

    def _is_cut_off(self, name: str) -> bool:
        at = self._cut_off_at.get(name)
        return at is not None and self._clock.monotonic() - at < CUT_OFF_NEWS
