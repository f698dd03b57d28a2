"""Opens links to the peers of the topology, and to others on demand."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from .. import clock as clocks
from .. import exceptions
from . import base
from . import link as link_
from . import links
from . import membership
from . import topology as topologies

CONNECT_TIMEOUT = 1.0  # seconds
LINK_IDLE_TIMEOUT = 10.0  # seconds


class Dialler:
    """Dials the peers that the topology chooses, and others on demand.

    :param members: membership as this node sees it.
    :param open_links: the node's open links.
    :param topology: chooses the peers to keep links to.
    :param serve: serves a new link until the link is closed.
    :param clock: source of time.
    """

    def __init__(
        self,
        members: membership.Membership,
        open_links: links.Links,
        topology: topologies.Topology,
        serve: Callable[[link_.Link], Awaitable[None]],
        clock: clocks.Clock,
    ) -> None:
        self._members = members
        self._links = open_links
        self._topology = topology
        self._serve = serve
        self._clock = clock
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._link_waiters: dict[str, asyncio.Future[None]] = {}
        self._used_at: dict[str, float] = {}

    async def stop(self) -> None:
        """Cancel all dialling and close the links that this node dialled."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def chosen_peers(self) -> frozenset[str]:
        """Return the names of the peers to keep links to."""
        return self._topology.choose(self._members.zones())

    def dial_missing(self) -> None:
        """Dial the chosen peers that have no link."""
        missing = self.chosen_peers() - set(self._links.peers())
        known_peers = self._members.known() if missing else {}
        for name in missing:
            self._dial(known_peers[name])

    def surplus_links(self) -> list[link_.Link]:
        """Return the idle links that this node dialled outside its topology.

        A link that the peer's topology chose is dialled by the peer.
        """
        chosen = self.chosen_peers()
        idle_since = self._clock.monotonic() - LINK_IDLE_TIMEOUT
        for name, used_at in list(self._used_at.items()):
            if used_at < idle_since:
                del self._used_at[name]
        return [
            link
            for link in self._links.all()
            if link.dialled
            and link.peer not in chosen
            and link.peer not in self._used_at
        ]

    async def ensure_link(self, name: str, timeout: float) -> None:
        """Wait until there is a link to a peer, dialling it when needed.

        For a chosen peer without a link the call fails at once: such a peer
        is dialled continually, so it is assumed to be down.

        :param timeout: longest wait, in seconds.
        :raises PeerUnavailable: when there is no link in time.
        """
        if name not in self.chosen_peers():
            self._used_at[name] = self._clock.monotonic()
            if self._links.most_recent(name) is None:
                await self._dial_on_demand(name, timeout)
        if self._links.most_recent(name) is None:
            raise exceptions.PeerUnavailable(f"no link to peer {name}")

    def notify_linked(self, name: str) -> None:
        """Wake the callers that wait for a link to this peer."""
        fut = self._link_waiters.pop(name, None)
        if fut is not None and not fut.done():
            fut.set_result(None)

    async def _dial_on_demand(self, name: str, timeout: float) -> None:
        peer = self._members.known().get(name)
        if peer is None:
            return
        if name not in self._link_waiters:
            loop = asyncio.get_running_loop()
            self._link_waiters[name] = loop.create_future()
        fut = self._link_waiters[name]
        self._dial(peer)
        await asyncio.wait([fut], timeout=timeout)

    def _dial(self, peer: base.Peer) -> None:
        if peer.name in self._tasks:
            return
        task = asyncio.create_task(self._connect(peer))
        self._tasks[peer.name] = task
        task.add_done_callback(lambda _: self._dial_ended(peer.name))

    def _dial_ended(self, name: str) -> None:
        self._tasks.pop(name, None)
        self.notify_linked(name)

    async def _connect(self, peer: base.Peer) -> None:
        host, _, port = peer.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, ValueError):
            return
        link = link_.Link(reader, writer, True, self._clock)
        link.peer = peer.name
        await self._serve(link)
