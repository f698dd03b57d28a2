"""Which nodes there are, and which of them are live.

The platform's instance list says who should be there, but lags behind the
truth. Heartbeats say who is there. A peer is live when its last heartbeat is
recent, whether the list shows it or not.
"""

from collections.abc import Sequence
from dataclasses import dataclass
import math

from loguru import logger

from .. import clock as clocks
from .. import metrics as metrics_
from ..providers import base as platform
from . import base
from . import messages
from . import node_counts

LIVE_BOUND = 3.0
FORGET_AFTER = 60.0
MAX_OLD_BOOTS = 8


@dataclass(slots=True)
class _Member:
    beat: messages.Heartbeat
    beat_at: float
    live: bool = True


class Membership:
    """Book of this node's peers.

    :param name: name of this node.
    :param clock: source of time.
    :param metrics: metrics of the process.
    """

    def __init__(
        self, name: str, clock: clocks.Clock, metrics: metrics_.Metrics
    ) -> None:
        self.counts = node_counts.NodeCounts(clock)
        self._name = name
        self._clock = clock
        self._listed: dict[str, platform.Instance] = {}
        self._members: dict[str, _Member] = {}
        self._old_boots: dict[str, list[str]] = {}
        self._stale_beats = metrics.counter(
            "limpetwalk_peer_stale_heartbeats",
            "Heartbeats that were replayed or came out of order.",
        )
        self._conflicts = metrics.counter(
            "limpetwalk_peer_name_conflicts",
            "Heartbeats of a boot that another of the same name replaced.",
        )
        self._live_gauge = metrics.gauge(
            "limpetwalk_peers_live", "Live peers of this node."
        )

    def update_listed(self, instances: Sequence[platform.Instance]) -> None:
        """Take the instance list as it was read now."""
        self._listed = {
            instance.name: instance
            for instance in instances
            if instance.kind is platform.InstanceKind.ENTRY
            and instance.name != self._name
        }

    def record_heartbeat(self, sender: str, beat: messages.Heartbeat) -> bool:
        """Take a heartbeat.

        :returns: False when a later boot of that name has replaced the
            sender, so that its link is to be closed.
        """
        if beat.boot_id in self._old_boots.get(sender, ()):
            self._conflicts.inc()
            return False
        member = self._members.get(sender)
        if member is not None and member.beat.boot_id == beat.boot_id:
            if beat.sequence <= member.beat.sequence:
                self._stale_beats.inc()
                return True
        elif member is not None:
            self._replace_boot(sender, member.beat.boot_id)
        if member is None or not member.live:
            logger.info("peer {} in zone {} is live", sender, beat.zone)
        self.counts.note(sender, beat.nodes)
        self._members[sender] = _Member(beat, self._clock.monotonic())
        return True

    def _replace_boot(self, sender: str, boot_id: str) -> None:
        old = self._old_boots.setdefault(sender, [])
        old.append(boot_id)
        del old[:-MAX_OLD_BOOTS]

    def expire(self) -> None:
        """Mark silent peers; forget those that the list does not show."""
        now = self._clock.monotonic()
        for name, member in list(self._members.items()):
            silence = now - member.beat_at
            if member.live and silence > LIVE_BOUND:
                member.live = False
                logger.info("peer {} is silent", name)
            if silence > FORGET_AFTER and name not in self._listed:
                del self._members[name]
                self.counts.forget(name)
                self._old_boots.pop(name, None)
        self.counts.note_own(len(self.zones()) + 1)
        self._live_gauge.set(len(self.live()))

    def live(self) -> list[base.Peer]:
        """Return the live peers, sorted by name."""
        return [
            self._peer(name, beat)
            for name, beat in sorted(self.live_heartbeats().items())
        ]

    def live_heartbeats(self) -> dict[str, messages.Heartbeat]:
        """Return the last heartbeats of the live peers by name."""
        bound = self._clock.monotonic() - LIVE_BOUND
        return {
            name: member.beat
            for name, member in self._members.items()
            if member.live and member.beat_at >= bound
        }

    def last_heartbeat_at(self, name: str) -> float:
        """Return the monotonic instant of a peer's last heartbeat."""
        member = self._members.get(name)
        return member.beat_at if member else -math.inf

    def mark_all_silent(self) -> None:
        """Take no peer for live until its next heartbeat."""
        for member in self._members.values():
            member.live = False

    def _peer(self, name: str, beat: messages.Heartbeat) -> base.Peer:
        listed = self._listed.get(name)
        leaving = listed is not None and (
            listed.state is platform.InstanceState.LEAVING
        )
        return base.Peer(
            name=name,
            address=beat.address,
            zone=beat.zone,
            generation=beat.generation,
            leaving=beat.leaving or leaving,
        )

    def zones(self) -> dict[str, str]:
        """Return the zone of every peer listed or heard of, by name."""
        found = {name: item.zone for name, item in self._listed.items()}
        for name, member in self._members.items():
            found[name] = member.beat.zone
        return found

    def known(self) -> dict[str, base.Peer]:
        """Return every peer listed or heard of, live or not, by name."""
        found = {
            name: base.Peer(
                name=name,
                address=instance.address,
                zone=instance.zone,
                generation=0,
                leaving=instance.state is platform.InstanceState.LEAVING,
            )
            for name, instance in self._listed.items()
        }
        for name, member in self._members.items():
            found[name] = self._peer(name, member.beat)
        return found
