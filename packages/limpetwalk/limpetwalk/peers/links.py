"""The open links of a node, by peer."""

from . import hub_status
from . import link as link_


class Links:
    """Open links by peer.

    There is more than one link to a peer only while both ends have dialled.

    :param name: name of this node.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._links: dict[str, list[link_.Link]] = {}
        self._closed_sent = 0
        self._closed_received = 0

    def add(self, link: link_.Link) -> list[link_.Link]:
        """Add a link whose peer has been identified.

        :returns: earlier links to the peer that this node has to close.
        """
        peer_links = self._links.setdefault(link.peer, [])
        earlier = list(peer_links)
        peer_links.append(link)
        return earlier if self._name < link.peer else []

    def remove(self, link: link_.Link) -> bool:
        """Remove a closed link and add its bytes to the totals.

        :returns: whether it was the last link to its peer.
        """
        peer_links = self._links.get(link.peer, [])
        if link not in peer_links:
            return False
        peer_links.remove(link)
        self._closed_sent += link.bytes_sent
        self._closed_received += link.bytes_received
        if peer_links:
            return False
        del self._links[link.peer]
        return True

    def most_recent(self, peer: str) -> link_.Link | None:
        """Return the link over which a peer's last frame arrived, if any."""
        usable = [
            link for link in self._links.get(peer, ()) if not link.closed
        ]
        return max(
            usable, key=lambda link: link.last_received_at, default=None
        )

    def peers(self) -> list[str]:
        """Return the names of the peers with a link."""
        return list(self._links)

    def traffic(self) -> hub_status.Traffic:
        """Return the bytes of all links, including those closed since."""
        open_links = self.all()
        return hub_status.Traffic(
            sent=self._closed_sent
            + sum(link.bytes_sent for link in open_links),
            received=self._closed_received
            + sum(link.bytes_received for link in open_links),
        )

    def all(self) -> list[link_.Link]:
        """Return every open link."""
        return [
            link for peer_links in self._links.values() for link in peer_links
        ]
