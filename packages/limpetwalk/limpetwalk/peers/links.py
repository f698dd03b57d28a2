"""Open links of a node, by peer."""

from . import hub_status
from . import link as link_


class Links:
    """Open links; more than one to a peer only for a short while.

    :param name: name of this node.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._links: dict[str, list[link_.Link]] = {}
        self._sent = 0
        self._received = 0

    def add(self, link: link_.Link) -> list[link_.Link]:
        """Take a link whose peer is known by now.

        :returns: earlier links that this node has to close.
        """
        held = self._links.setdefault(link.peer, [])
        earlier = list(held)
        held.append(link)
        return earlier if self._name < link.peer else []

    def remove(self, link: link_.Link) -> bool:
        """Forget a closed link.

        :returns: whether it was the last link to its peer.
        """
        held = self._links.get(link.peer, [])
        if link not in held:
            return False
        held.remove(link)
        self._sent += link.bytes_out
        self._received += link.bytes_in
        if held:
            return False
        del self._links[link.peer]
        return True

    def best(self, peer: str) -> link_.Link | None:
        """Return the link to a peer that was heard from last."""
        held = [link for link in self._links.get(peer, ()) if not link.closed]
        return max(held, key=lambda link: link.heard_at, default=None)

    def peers(self) -> list[str]:
        """Return the names of linked peers."""
        return list(self._links)

    def traffic(self) -> hub_status.Traffic:
        """Return the bytes of all links, those closed since included."""
        held = self.all()
        return hub_status.Traffic(
            sent=self._sent + sum(link.bytes_out for link in held),
            received=self._received + sum(link.bytes_in for link in held),
        )

    def all(self) -> list[link_.Link]:
        """Return every open link."""
        return [link for held in self._links.values() for link in held]
