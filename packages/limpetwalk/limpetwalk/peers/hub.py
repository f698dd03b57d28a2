"""Links of a node to its peers.

Either end may open a link, because either may be the first to discover the
other. When there are two links to one peer, the node with the smaller name
closes the earlier one; the other node uses the one that last received a
frame. Only one end decides, so the two ends never close both links.
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
from . import pending_calls
from . import topology

# Seconds.
HEARTBEAT_INTERVAL = 1.0
SILENCE_TIMEOUT = 3.0
LIST_INTERVAL = 2.0


@dataclass(frozen=True, slots=True)
class HubSettings:
    """Settings of a hub.

    :param name: unique name of the hub's node.
    :param zone: its availability zone.
    :param host: IP address to listen on, which peers connect to.
    :param port: TCP port to listen on; 0 selects a free one.
    :param full_mesh_nodes: most nodes that form a full mesh.
    """

    name: str
    zone: str
    host: str
    port: int
    full_mesh_nodes: int = topology.FULL_MESH_NODES


class Hub:
    """Links to live peers, one task for each.

    :param settings: name, zone and listening address of this node.
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
        self.pause_detector.subscribe(self._drop_links)
        self._settings = settings
        self._instances = instances
        self._clock = clock
        self._rng = rng
        self._links = links.Links(settings.name)
        self._calls = pending_calls.PendingCalls()
        self._topology = topology.Topology(
            topology.NodeLocation(settings.name, settings.zone),
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
        self._config_status: Callable[[], hub_status.ConfigStatus] = (
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
        """Listen for peers and open links to those in the instance list."""
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
        self, message_type: type[messages.Message], handler: base.Handler
    ) -> None:
        """Register the handler of one type of message."""
        self._dispatcher.subscribe(message_type, handler)

    def expected_peers(self) -> list[base.Peer]:
        """Return the peers that this node should have links to."""
        known_peers = self.members.known()
        return [
            known_peers[name] for name in sorted(self._dialler.chosen_peers())
        ]

    @property
    def is_full_mesh(self) -> bool:
        """Whether this node keeps links to all nodes."""
        return self._topology.is_full_mesh

    def candidates(self) -> list[base.Peer]:
        """Return the peers that may be assigned a role, linked or not.

        A peer that this node keeps no link to is included as long as the
        instance list contains it.
        """
        live = self.members.live_heartbeats()
        chosen = self._dialler.chosen_peers()
        return [
            peer
            for name, peer in self.members.known().items()
            if not peer.leaving and (name in live or name not in chosen)
        ]

    def report_config(
        self, config_status: Callable[[], hub_status.ConfigStatus]
    ) -> None:
        """Set the callback that returns the configuration for heartbeats."""
        self._config_status = config_status

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all peers now."""
        self.broadcast(self._heartbeat())

    def leave(self) -> None:
        """Report at once to peers that this node accepts no new work."""
        self._leaving = True
        self.send_heartbeats()

    def broadcast(self, message: messages.Message) -> None:
        """Queue a message for every linked peer."""
        self._write_all(self._links.peers(), message)

    def broadcast_in_zone(self, message: messages.Message) -> None:
        """Queue a message for the linked peers in this node's zone.

        While all nodes form a full mesh, it goes to all linked peers.
        """
        names = self._links.peers()
        if not self._topology.is_full_mesh:
            zones = {peer.name: peer.zone for peer in self.live()}
            names = [name for name in names if zones.get(name) == self.zone]
        self._write_all(names, message)

    def _write_all(self, names: list[str], message: messages.Message) -> None:
        frame = codec.encode(codec.Envelope(self.name, message))
        for name in names:
            self._write(name, frame)

    def send(self, peer: str, message: messages.Message) -> None:
        """Queue a message for one peer; it is lost when the link is down."""
        self._write(peer, codec.encode(codec.Envelope(self.name, message)))

    async def request(
        self, peer: str, message: messages.Message, timeout: float
    ) -> messages.Message:
        """Send a message and return the reply.

        A peer that this node keeps no link to is dialled first.

        :param timeout: longest wait for the link, and again for the reply,
            in seconds.
        :raises PeerUnavailable: when no reply arrives in time.
        """
        await self._dialler.ensure_link(peer, timeout)
        call_id, fut = self._calls.open(peer)
        try:
            frame = codec.encode(
                codec.Envelope(self.name, message, call_id=call_id)
            )
            if not self._write(peer, frame):
                raise exceptions.PeerUnavailable(
                    f"no link to {peer}, or its send queue is full"
                )
            async with asyncio.timeout(timeout):
                return await fut
        except TimeoutError:
            raise exceptions.PeerUnavailable(
                f"{peer} did not reply within {timeout} s"
            ) from None
        finally:
            self._calls.close(call_id)

    def _write(self, peer: str, frame: bytes) -> bool:
        link = self._links.most_recent(peer)
        if link is None:
            self._dropped.labels("no_link").inc()
            return False
        if not link.write(frame):
            self._dropped.labels("queue_full").inc()
            return False
        return True

    def _heartbeat(self) -> messages.Heartbeat:
        self._sequence += 1
        config_status = self._config_status()
        return messages.Heartbeat(
            zone=self.zone,
            address=self.address,
            boot_id=self.boot_id,
            sequence=self._sequence,
            generation=config_status.generation,
            digest=config_status.digest,
            leaving=self._leaving,
            confirmed_age=config_status.confirmed_age,
            nodes=self.members.counts.reported_count(),
        )

    async def _read_list(self) -> None:
        try:
            self.members.update_instances(await self._instances.fetch())
        except exceptions.InstanceListUnavailable:
            self._list_errors.inc()
        self._dialler.dial_missing()

    def maintain_links(self) -> None:
        """Send heartbeats, close silent and surplus links, dial missing."""
        self.pause_detector.check()
        self.members.expire()
        self._close_silent_links()
        frame = codec.encode(codec.Envelope(self.name, self._heartbeat()))
        for link in self._links.all():
            link.write(frame)
        self._dialler.dial_missing()
        for link in self._dialler.surplus_links():
            self._close(link, "surplus")

    async def _maintain_links(self) -> None:
        self.maintain_links()

    def _list_interval(self) -> float:
        return LIST_INTERVAL * self._rng.uniform(0.9, 1.1)

    def _drop_links(self) -> None:
        """Close all links after a pause, as data that waits in them is old."""
        self.members.mark_all_silent()
        for link in self._links.all():
            self._close(link, "paused")

    def _close_silent_links(self) -> None:
        oldest = self._clock.monotonic() - SILENCE_TIMEOUT
        for link in self._links.all():
            if link.last_received_at < oldest:
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
        greeting = codec.Envelope(self.name, self._heartbeat())
        link.write(codec.encode(greeting))
        reason = "ended"
        try:
            async with asyncio.timeout(SILENCE_TIMEOUT):
                await self._identify_peer(link)
            while True:
                data = await link.read()
                self.pause_detector.check()
                if link.closed:
                    return
                self._receive(link, data)
        except (codec.MalformedFrame, codec.UnknownMessage) as exc:
            logger.debug(
                "closing link to peer {} after an invalid frame: {}",
                link.peer,
                exc,
            )
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

    async def _identify_peer(self, link: link_.Link) -> None:
        """Read the heartbeat that begins a link and register the link."""
        envelope = codec.decode(await link.read())
        heartbeat = envelope.message
        if not isinstance(heartbeat, messages.Heartbeat):
            raise codec.MalformedFrame(
                "first frame of the link is not a heartbeat"
            )
        if link.dialled and envelope.sender != link.peer:
            raise codec.MalformedFrame(
                f"dialled {link.peer}, but {envelope.sender} answered"
            )
        if envelope.sender == self.name:
            raise codec.MalformedFrame(
                f"peer has this node's name {self.name}"
            )
        link.peer = envelope.sender
        if not self.members.record_heartbeat(link.peer, heartbeat):
            raise codec.MalformedFrame(
                f"a later boot of {link.peer} has replaced the sender"
            )
        for earlier in self._links.add(link):
            self._close(earlier, "replaced")
        self._dialler.notify_linked(link.peer)

    def _receive(self, link: link_.Link, data: bytes) -> None:
        try:
            envelope = codec.decode(data)
        except codec.UnknownMessage as exc:
            self._dispatcher.reject_unknown(link, exc.call_id)
            return
        if envelope.sender != link.peer:
            raise codec.MalformedFrame(
                f"frame from {envelope.sender} on the link to {link.peer}"
            )
        message = envelope.message
        if isinstance(message, messages.Heartbeat):
            if not self.members.record_heartbeat(link.peer, message):
                raise codec.MalformedFrame(
                    f"a later boot of {link.peer} has replaced the sender"
                )
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
