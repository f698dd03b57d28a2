"""Names under which starts of nodes hold records and leases."""

from limpetwalk.peers import hub as hubs


class HolderLiveness:
    """Tells which holders are still at work.

    A holder is one start of a node, so that a node that was started anew
    does not pass for the one before it.

    :param hub: links to the peers.
    """

    def __init__(self, hub: hubs.Hub) -> None:
        self._hub = hub
        self.own_holder = f"{hub.name}/{hub.boot_id}"

    def is_live(self, holder: str) -> bool:
        """Tell whether a holder is this process or a live peer."""
        if holder == self.own_holder:
            return True
        name, _, boot_id = holder.rpartition("/")
        beat = self._hub.members.live_heartbeats().get(name)
        if beat is not None:
            return beat.boot_id == boot_id
        # Among many nodes this one keeps links to a few only. One that it
        # has no link to is at work as far as the instance list knows.
        return any(peer.name == name for peer in self._hub.candidates())
