"""Links of a node to its peers.

Either end may open a link, because either may be the first to learn of the
other. When two links to one peer stand, the node with the smaller name
closes the earlier one; the other node uses the one it heard from last. Only
one end decides, so the two ends never close both.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
import random
from typing import Any
import uuid

from loguru import logger

from .. import clock as clocks
from .. import exceptions
from .. import metrics as metrics_
from ..providers import base as platform
from . import base
from . import calls
from . import codec
from . import dialler
from . import hub_status
from . import link as link_
from . import links
from . import loops
from . import membership
from . import message_dispatcher
from . import messages
from . import pause_detector
from . import topology

HEARTBEAT_INTERVAL = 1.0
SILENCE_BOUND = 3.0
LIST_INTERVAL = 2.0


@dataclass(frozen=True, slots=True)
class HubSettings:
    """What a hub is told of its own node.

    :param name: unique name of the node.
    :param zone: its availability zone.
    :param host: IP address to listen on, which peers reach it at.
    :param port: TCP port; 0 takes a free one.
    :param full_mesh_nodes: most nodes that form a full mesh.
    """

    name: str
    zone: str
    host: str
    port: int
    full_mesh_nodes: int = topology.FULL_MESH_NODES


class Hub:
    """Links to live peers, one task for each.

    :param settings: name and place of this node.
    :param instances: the platform's instance list.
    :param clock: source of time.
    :param rng: source of random numbers.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        settings: HubSettings,
        instances: platform.InstanceList,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: metrics_.Metrics,
    ) -> None:
        self.name = settings.name
        self.zone = settings.zone
        self.boot_id = uuid.UUID(int=rng.getrandbits(128)).hex
        self.members = membership.Membership(settings.name, clock, metrics)
        self.pause_detector = pause_detector.PauseDetector(clock, metrics)
        self.pause_detector.subscribe(self._doubt_links)
        self._settings = settings
        self._instances = instances
        self._clock = clock
        self._rng = rng
        self._links = links.Links(settings.name)
        self._calls = calls.Calls()
        self._topology = topology.Topology(
            topology.Place(settings.name, settings.zone),
            settings.full_mesh_nodes,
        )
        self._dialler = dialler.Dialler(
            self.members, self._links, self._topology, self._serve, clock
        )
        self._dispatcher = message_dispatcher.MessageDispatcher(
            self._reply, metrics
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._sequence = 0
        self._in_force: Callable[[], hub_status.ConfigStatus] = (
            hub_status.ConfigStatus
        )
        self._leaving = False
        self.address = ""
        self._dropped = metrics.counter(
            "limpetwalk_peer_dropped_messages",
            "Messages to peers that were dropped.",
            ("reason",),
        )
        self._closed = metrics.counter(
            "limpetwalk_peer_closed_links",
            "Links to peers that were closed.",
            ("reason",),
        )
        self._late = metrics.counter(
            "limpetwalk_peer_late_replies",
            "Replies that nobody waited for any more.",
        )
        self._list_errors = metrics.counter(
            "limpetwalk_instance_list_errors",
            "Reads of the instance list that failed.",
        )

    def traffic(self) -> hub_status.Traffic:
        """Return the bytes sent and received since the start."""
        return self._links.traffic()

    async def start(self) -> None:
        """Listen for peers and open links to those of the list."""
        self._server = await asyncio.start_server(
            self._accept, self._settings.host, self._settings.port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._spawn(
            loops.run_periodically(self._read_list, self._list_interval)
        )
        self._spawn(
            loops.run_periodically(
                self._maintain_links, lambda: HEARTBEAT_INTERVAL
            )
        )

    async def stop(self) -> None:
        """Close all links and stop listening."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for link in self._links.all():
            link.close()
        await self._dispatcher.stop()
        await self._dialler.stop()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def live(self) -> list[base.Peer]:
        """Return the live peers, without this node, sorted by name."""
        return self.members.live()

    def subscribe(
        self, kind: type[messages.Message], handler: base.Handler
    ) -> None:
        """Call a handler with the sender's name and each such message."""
        self._dispatcher.subscribe(kind, handler)

    def expected_peers(self) -> list[base.Peer]:
        """Return the peers that this node should have links to."""
        known = self.members.known()
        return [known[name] for name in sorted(self._dialler.chosen())]

    @property
    def is_full_mesh(self) -> bool:
        """Whether this node keeps links to all nodes."""
        return self._topology.is_full_mesh

    def candidates(self) -> list[base.Peer]:
        """Return the peers that may take on a role, linked or not.

        A peer that this node keeps no link to counts as long as the
        instance list shows it.
        """
        live = self.members.live_heartbeats()
        chosen = self._dialler.chosen()
        return [
            peer
            for name, peer in self.members.known().items()
            if not peer.leaving and (name in live or name not in chosen)
        ]

    def report_config(
        self, in_force: Callable[[], hub_status.ConfigStatus]
    ) -> None:
        """Put the configuration in force into each heartbeat."""
        self._in_force = in_force

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all peers now."""
        self.broadcast(self._heartbeat())

    def leave(self) -> None:
        """Tell peers at once that this node takes no new work."""
        self._leaving = True
        self.send_heartbeats()

    def broadcast(self, message: messages.Message) -> None:
        """Queue a message for every linked peer."""
        self._write_all(self._links.peers(), message)

    def broadcast_in_zone(self, message: messages.Message) -> None:
        """Queue a message for the peers of this zone.

        While all nodes form a full mesh, all of them count as near.
        """
        near = self._links.peers()
        if not self._topology.is_full_mesh:
            zones = {peer.name: peer.zone for peer in self.live()}
            near = [name for name in near if zones.get(name) == self.zone]
        self._write_all(near, message)

    def _write_all(self, names: list[str], message: messages.Message) -> None:
        frame = codec.encode(codec.Envelope(self.name, message))
        for name in names:
            self._write(name, frame)

    def send(self, peer: str, message: messages.Message) -> None:
        """Queue a message for one peer; lost when the link is down."""
        self._write(peer, codec.encode(codec.Envelope(self.name, message)))

    async def request(
        self, peer: str, message: messages.Message, timeout: float
    ) -> messages.Message:
        """Send a message and return the reply.

        A peer that this node keeps no link to is dialled.

        :param timeout: longest wait, in seconds.
        :raises PeerUnavailable: when no reply came in time.
        """
        await self._dialler.reach(peer, timeout)
        call_id, fut = self._calls.open(peer)
        try:
            frame = codec.encode(
                codec.Envelope(self.name, message, call_id=call_id)
            )
            if not self._write(peer, frame):
                raise exceptions.PeerUnavailable(f"no link to {peer}")
            async with asyncio.timeout(timeout):
                return await fut
        except TimeoutError:
            raise exceptions.PeerUnavailable(
                f"{peer} did not reply within {timeout} s"
            ) from None
        finally:
            self._calls.close(call_id)

    def _write(self, peer: str, frame: bytes) -> bool:
        link = self._links.best(peer)
        if link is None:
            self._dropped.labels("no_link").inc()
            return False
        if not link.write(frame):
            self._dropped.labels("queue_full").inc()
            return False
        return True

    def _heartbeat(self) -> messages.Heartbeat:
        self._sequence += 1
        in_force = self._in_force()
        return messages.Heartbeat(
            zone=self.zone,
            address=self.address,
            boot_id=self.boot_id,
            sequence=self._sequence,
            generation=in_force.generation,
            digest=in_force.digest,
            leaving=self._leaving,
            confirmed_age=in_force.confirmed_age,
            nodes=self.members.counts.told(),
        )

    async def _read_list(self) -> None:
        try:
            self.members.update_listed(await self._instances.fetch())
        except exceptions.InstanceListUnavailable:
            self._list_errors.inc()
        self._dialler.dial_missing()

    def maintain_links(self) -> None:
        """Look after the links once, with a heartbeat on each."""
        self.pause_detector.check()
        self.members.expire()
        self._close_silent()
        frame = codec.encode(codec.Envelope(self.name, self._heartbeat()))
        for link in self._links.all():
            link.write(frame)
        self._dialler.dial_missing()
        for link in self._dialler.surplus():
            self._close(link, "surplus")

    async def _maintain_links(self) -> None:
        self.maintain_links()

    def _list_interval(self) -> float:
        return LIST_INTERVAL * self._rng.uniform(0.9, 1.1)

    def _doubt_links(self) -> None:
        """Drop all links: what waits in them was sent before a pause."""
        self.members.mark_all_silent()
        for link in self._links.all():
            self._close(link, "paused")

    def _close_silent(self) -> None:
        bound = self._clock.monotonic() - SILENCE_BOUND
        for link in self._links.all():
            if link.heard_at < bound:
                self._close(link, "silent")

    def _close(self, link: link_.Link, reason: str) -> None:
        self._closed.labels(reason).inc()
        link.close()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._spawn(
            self._serve(link_.Link(reader, writer, False, self._clock))
        )

    async def _serve(self, link: link_.Link) -> None:
        hello = codec.Envelope(self.name, self._heartbeat())
        link.write(codec.encode(hello))
        reason = "ended"
        try:
            async with asyncio.timeout(SILENCE_BOUND):
                await self._greet(link)
            while True:
                data = await link.read()
                self.pause_detector.check()
                if link.closed:
                    return
                self._receive(link, data)
        except (codec.MalformedFrame, codec.UnknownMessage) as exc:
            logger.debug("link to {} closed: {}", link.peer, exc)
            reason = "malformed"
        except TimeoutError:
            reason = "silent"
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if not link.closed:
                self._close(link, reason)
            if self._links.remove(link):
                self._calls.fail(link.peer)

    async def _greet(self, link: link_.Link) -> None:
        envelope = codec.decode(await link.read())
        beat = envelope.message
        if not isinstance(beat, messages.Heartbeat):
            raise codec.MalformedFrame("first frame is no heartbeat")
        if link.dialled and envelope.sender != link.peer:
            raise codec.MalformedFrame(f"{envelope.sender} answered instead")
        if envelope.sender == self.name:
            raise codec.MalformedFrame("peer has the name of this node")
        link.peer = envelope.sender
        if not self.members.record_heartbeat(link.peer, beat):
            raise codec.MalformedFrame("a later boot has replaced the peer")
        for earlier in self._links.add(link):
            self._close(earlier, "replaced")
        self._dialler.linked(link.peer)

    def _receive(self, link: link_.Link, data: bytes) -> None:
        try:
            envelope = codec.decode(data)
        except codec.UnknownMessage as exc:
            self._dispatcher.skip(link, exc.call_id)
            return
        if envelope.sender != link.peer:
            raise codec.MalformedFrame(f"sender changed to {envelope.sender}")
        message = envelope.message
        if isinstance(message, messages.Heartbeat):
            if not self.members.record_heartbeat(link.peer, message):
                raise codec.MalformedFrame("a later boot replaced the peer")
        if envelope.is_reply:
            if not self._calls.resolve(link.peer, envelope.call_id, message):
                self._late.inc()
            return
        self._dispatcher.handle(link, envelope)

    def _reply(
        self, link: link_.Link, call_id: int, message: messages.Message
    ) -> None:
        frame = codec.encode(
            codec.Envelope(self.name, message, call_id=call_id, is_reply=True)
        )
        if not link.write(frame):
            self._write(link.peer, frame)
