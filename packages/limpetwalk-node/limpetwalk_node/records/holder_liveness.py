"""Liveness of the holders of records and leases."""

from limpetwalk.peers import hub as hubs


class HolderLiveness:
    """Determines which holders may still be working.

    A holder is one start of a node, named by node name and boot ID. A
    restarted node is therefore another holder than before its restart.

    :param hub: links to the peers.
    """

    def __init__(self, hub: hubs.Hub) -> None:
        self._hub = hub
        self.own_holder = f"{hub.name}/{hub.boot_id}"

    def is_live(self, holder: str) -> bool:
        """Return whether a holder is this process or a live peer."""
        if holder == self.own_holder:
            return True
        name, _, boot_id = holder.rpartition("/")
        heartbeat = self._hub.members.live_heartbeats().get(name)
        if heartbeat is not None:
            return heartbeat.boot_id == boot_id
        # With many nodes, this one has links to only a few of them. A node
        # without a link counts as live while the instance list contains it.
        return any(peer.name == name for peer in self._hub.candidates())
