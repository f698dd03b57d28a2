"""Opens the links that a node should have, and those it needs now."""

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

CONNECT_TIMEOUT = 1.0
IDLE_AFTER = 10.0


class Dialler:
    """Dials the peers that the topology chooses, and others on demand.

    :param members: membership as this node sees it.
    :param held: open links.
    :param topology: choice of the links to keep.
    :param serve: serves a new link until it is closed.
    :param clock: source of time.
    """

    def __init__(
        self,
        members: membership.Membership,
        held: links.Links,
        topology: topologies.Topology,
        serve: Callable[[link_.Link], Awaitable[None]],
        clock: clocks.Clock,
    ) -> None:
        self._members = members
        self._links = held
        self._topology = topology
        self._serve = serve
        self._clock = clock
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._waiting: dict[str, asyncio.Future[None]] = {}
        self._used_at: dict[str, float] = {}

    async def stop(self) -> None:
        """Give up all dialling, and the links that this node dialled."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def chosen(self) -> frozenset[str]:
        """Return the names of the peers to keep links to."""
        return self._topology.choose(self._members.zones())

    def dial_missing(self) -> None:
        """Dial the chosen peers that have no link."""
        missing = self.chosen() - set(self._links.peers())
        known = self._members.known() if missing else {}
        for name in missing:
            self._dial(known[name])

    def surplus(self) -> list[link_.Link]:
        """Return idle links that this node dialled and did not choose.

        A link that the peer chose is the peer's to dial.
        """
        chosen = self.chosen()
        bound = self._clock.monotonic() - IDLE_AFTER
        for name, at in list(self._used_at.items()):
            if at < bound:
                del self._used_at[name]
        return [
            link
            for link in self._links.all()
            if link.dialled
            and link.peer not in chosen
            and link.peer not in self._used_at
        ]

    async def reach(self, name: str, timeout: float) -> None:
        """Return once there is a link to a peer.

        A chosen peer without a link is taken for gone at once: it is being
        dialled all the time.

        :raises PeerUnavailable: when there is none in time.
        """
        if name not in self.chosen():
            self._used_at[name] = self._clock.monotonic()
            if self._links.best(name) is None:
                await self._reach_on_demand(name, timeout)
        if self._links.best(name) is None:
            raise exceptions.PeerUnavailable(f"no link to {name}")

    def linked(self, name: str) -> None:
        """Note that there is a link to a peer now."""
        fut = self._waiting.pop(name, None)
        if fut is not None and not fut.done():
            fut.set_result(None)

    async def _reach_on_demand(self, name: str, timeout: float) -> None:
        peer = self._members.known().get(name)
        if peer is None:
            return
        if name not in self._waiting:
            loop = asyncio.get_running_loop()
            self._waiting[name] = loop.create_future()
        fut = self._waiting[name]
        self._dial(peer)
        await asyncio.wait([fut], timeout=timeout)

    def _dial(self, peer: base.Peer) -> None:
        if peer.name in self._tasks:
            return
        task = asyncio.create_task(self._connect(peer))
        self._tasks[peer.name] = task
        task.add_done_callback(lambda _: self._ended(peer.name))

    def _ended(self, name: str) -> None:
        self._tasks.pop(name, None)
        self.linked(name)

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
