"""Interface of a node's links to its peers."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from . import messages


@dataclass(frozen=True, slots=True)
class Peer:
    """Peer as this node's membership currently knows it.

    :param name: name of the node.
    :param address: ``host:port`` of its peer listener.
    :param zone: its availability zone.
    :param generation: configuration generation that it last reported; 0 before
        its first heartbeat.
    :param leaving: whether it no longer accepts new work.
    """

    name: str
    address: str
    zone: str
    generation: int
    leaving: bool


Handler = Callable[[str, messages.Message], Awaitable[messages.Message | None]]


class PeerHub(Protocol):
    """Links to all live peers, one task for each."""

    def live(self) -> list[Peer]:
        """Return the live peers, without this node, sorted by name."""
        ...

    def subscribe(
        self, message_type: type[messages.Message], handler: Handler
    ) -> None:
        """Register the handler of one type of message.

        The handler is awaited with the sender's name and the message. What
        it returns is sent back when the sender asked for a reply.
        """
        ...

    def broadcast(self, message: messages.Message) -> None:
        """Queue a message for every live peer.

        The message is lost for a peer whose link is down.
        """
        ...

    def send(self, peer: str, message: messages.Message) -> None:
        """Queue a message for one peer; it is lost when the link is down."""
        ...

    async def request(
        self, peer: str, message: messages.Message, timeout: float
    ) -> messages.Message:
        """Send a message and return the reply.

        :param timeout: longest wait for the reply, in seconds.
        :raises PeerUnavailable: when no reply arrives in time.
        """
        ...
