"""Membership: the known nodes, and which of them are live.

The platform's instance list shows which nodes should exist, but it lags
behind their actual state. Heartbeats show which nodes run. A peer is live
when its last heartbeat is recent, whether the list contains it or not.
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

# Seconds.
LIVENESS_TIMEOUT = 3.0
REMOVE_TIMEOUT = 60.0
MAX_OLD_BOOTS = 8


@dataclass(slots=True)
class _Member:
    heartbeat: messages.Heartbeat
    heartbeat_at: float
    live: bool = True


class Membership:
    """The peers of this node, with their last heartbeats.

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
        self._listed_instances: dict[str, platform.Instance] = {}
        self._members: dict[str, _Member] = {}
        self._old_boots: dict[str, list[str]] = {}
        self._stale_heartbeats = metrics.counter(
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

    def update_instances(self, instances: Sequence[platform.Instance]) -> None:
        """Replace the instance list by one just read."""
        self._listed_instances = {
            instance.name: instance
            for instance in instances
            if instance.kind is platform.InstanceKind.ENTRY
            and instance.name != self._name
        }

    def record_heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat
    ) -> bool:
        """Record a heartbeat; ignore it when it is stale.

        :returns: False when a later boot of that name has replaced the
            sender, so that its link must be closed.
        """
        if heartbeat.boot_id in self._old_boots.get(sender, ()):
            self._conflicts.inc()
            return False
        member = self._members.get(sender)
        if (
            member is not None
            and member.heartbeat.boot_id == heartbeat.boot_id
        ):
            if heartbeat.sequence <= member.heartbeat.sequence:
                self._stale_heartbeats.inc()
                return True
        elif member is not None:
            self._replace_boot(sender, member.heartbeat.boot_id)
        if member is None or not member.live:
            logger.info("peer {} in zone {} is live", sender, heartbeat.zone)
        self.counts.record_peer(sender, heartbeat.nodes)
        self._members[sender] = _Member(heartbeat, self._clock.monotonic())
        return True

    def _replace_boot(self, sender: str, boot_id: str) -> None:
        old_boots = self._old_boots.setdefault(sender, [])
        old_boots.append(boot_id)
        del old_boots[:-MAX_OLD_BOOTS]

    def expire(self) -> None:
        """Mark silent peers, and remove them when the list lacks them too."""
        now = self._clock.monotonic()
        for name, member in list(self._members.items()):
            silence = now - member.heartbeat_at
            if member.live and silence > LIVENESS_TIMEOUT:
                member.live = False
                logger.info("peer {} is no longer live", name)
            if silence > REMOVE_TIMEOUT and name not in self._listed_instances:
                del self._members[name]
                self.counts.remove_peer(name)
                self._old_boots.pop(name, None)
        self.counts.record_own(len(self.zones()) + 1)
        self._live_gauge.set(len(self.live()))

    def live(self) -> list[base.Peer]:
        """Return the live peers, sorted by name."""
        return [
            self._peer(name, heartbeat)
            for name, heartbeat in sorted(self.live_heartbeats().items())
        ]

    def live_heartbeats(self) -> dict[str, messages.Heartbeat]:
        """Return the last heartbeats of the live peers by name."""
        oldest = self._clock.monotonic() - LIVENESS_TIMEOUT
        return {
            name: member.heartbeat
            for name, member in self._members.items()
            if member.live and member.heartbeat_at >= oldest
        }

    def last_heartbeat_at(self, name: str) -> float:
        """Return the monotonic time of a peer's last heartbeat.

        It is minus infinity when there was none.
        """
        member = self._members.get(name)
        return member.heartbeat_at if member else -math.inf

    def mark_all_silent(self) -> None:
        """Regard no peer as live until its next heartbeat."""
        for member in self._members.values():
            member.live = False

    def _peer(self, name: str, heartbeat: messages.Heartbeat) -> base.Peer:
        instance = self._listed_instances.get(name)
        leaving = instance is not None and (
            instance.state is platform.InstanceState.LEAVING
        )
        return base.Peer(
            name=name,
            address=heartbeat.address,
            zone=heartbeat.zone,
            generation=heartbeat.generation,
            leaving=heartbeat.leaving or leaving,
        )

    def zones(self) -> dict[str, str]:
        """Return the zone of every known peer, live or not, by name."""
        zones = {
            name: instance.zone
            for name, instance in self._listed_instances.items()
        }
        for name, member in self._members.items():
            zones[name] = member.heartbeat.zone
        return zones

    def known(self) -> dict[str, base.Peer]:
        """Return every known peer, live or not, by name.

        A peer is known by the instance list or by its heartbeats.
        """
        peers = {
            name: base.Peer(
                name=name,
                address=instance.address,
                zone=instance.zone,
                generation=0,
                leaving=instance.state is platform.InstanceState.LEAVING,
            )
            for name, instance in self._listed_instances.items()
        }
        for name, member in self._members.items():
            peers[name] = self._peer(name, member.heartbeat)
        return peers
