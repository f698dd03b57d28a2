"""Interface of the node's links to its peers."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from . import messages


@dataclass(frozen=True, slots=True)
class Peer:
    """Peer as membership sees it now.

    :param name: name of the node.
    :param address: ``host:port`` of its peer listener.
    :param zone: its availability zone.
    :param generation: configuration generation that it last reported.
    :param leaving: whether it takes no new work.
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
        self, kind: type[messages.Message], handler: Handler
    ) -> None:
        """Call a handler with the sender's name and each such message.

        What the handler returns is sent back when the sender asked for a
        reply.
        """
        ...

    def broadcast(self, message: messages.Message) -> None:
        """Queue a message for every live peer; lost when a link is down."""
        ...

    def send(self, peer: str, message: messages.Message) -> None:
        """Queue a message for one peer; lost when the link is down."""
        ...

    async def request(
        self, peer: str, message: messages.Message, timeout: float
    ) -> messages.Message:
        """Send a message and return the reply.

        :param timeout: longest wait, in seconds.
        :raises PeerUnavailable: when no reply came in time.
        """
        ...
