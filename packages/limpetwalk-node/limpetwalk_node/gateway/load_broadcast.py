"""Load reports between nodes by datagrams.

A lost or late report only makes a choice of server a little worse, so nothing
is sent again. Reports also tell which changes of the store their sender has
read.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import contextlib
import importlib
import pathlib
import time
from typing import Any

from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import server_links
from limpetwalk.gateway import server_load
from limpetwalk.gateway import stated_values
from limpetwalk.gateway import store_watch
from limpetwalk.gateway import types
from limpetwalk.gateway import workspace_shares
from limpetwalk.peers import rendezvous

from . import events
from . import logs

# Interval between two reports within one of several groups, in seconds, and
# number of them for each sum that is sent to the other groups.
GROUP_INTERVAL = 0.2
REPORTS_PER_SUM = 2
# Longest interval between two reports of an idle node, in seconds.
IDLE_INTERVAL = 1.0
# Largest datagram that is sent, bytes.
MAX_DATAGRAM_BYTES = 60_000
# Services whose usage by workspaces is read from one report.
MAX_USAGE_SERVICES = 32
# Largest number that a field of a report holds.
MAX_FIELD = 2**32 - 1
SCHEMA = pathlib.Path(__file__).with_name("pressure.capnp")

Loads = Mapping[str, server_load.Load]


class LoadBroadcast(asyncio.DatagramProtocol):
    """Sends load reports to other nodes and receives theirs.

    :param node: name of this node.
    :param peers: returns all known nodes by name.
    :param limits: limits that servers name.
    :param brittle: servers that say that they are brittle.
    :param tables: returns what this node knows of the store's tables.
    :param news: receives what other nodes know of them.
    :param links: links of this node to servers.
    :param peer_choice: receives whether other nodes are cut off.
    :param shares: requests of workspaces in progress.
    :ivar on_evidence: called with the sender, the order and the report of each
        piece of evidence that this node receives as a collector.
    """

    def __init__(
        self,
        node: str,
        peers: Callable[[], Mapping[str, peer_groups.Peer]],
        loads: server_load.ServerLoads,
        limits: stated_values.StatedValues,
        brittle: stated_values.StatedValues,
        tables: Callable[[], Collection[store_watch.TableState]],
        news: store_watch.PeerNews,
        links: server_links.ServerLinks,
        peer_choice: server_links.PeerChoice,
        journal: logs.Journal,
        shares: workspace_shares.WorkspaceShares | None = None,
    ) -> None:
        self._node = node
        self._peers = peers
        self._server_loads = loads
        self._limits = limits
        self._brittle = brittle
        self._tables = tables
        self._news = news
        self._links = links
        self._peer_choice = peer_choice
        self._journal = journal
        self._shares = shares
        self.on_evidence: Callable[[str, str, str], None] | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._schema: Any = None
        self._planned_for: Mapping[str, peer_groups.Peer] = {}
        self._exchange = peer_groups.plan(node, {})
        # Starts at the time of day, so that a restarted node continues above
        # its earlier numbers.
        self._sequence = int(time.time() * 1000)

    @property
    def exchange(self) -> peer_groups.Exchange:
        """Peers with which this node exchanges reports."""
        peers = self._peers()
        if peers is not self._planned_for:
            self._planned_for = peers
            self._exchange = peer_groups.plan(self._node, peers)
        return self._exchange

    async def run(self, address: peer_groups.Address) -> None:
        """Send load reports until cancelled.

        :param address: ``(host, port)`` at which reports are received.
        """
        # Only load reports need this library, which is slow to import.
        capnp = importlib.import_module("capnp")
        capnp.remove_import_hook()
        if self._schema is None:
            self._schema = capnp.load(str(SCHEMA))
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )
        own = _IdleFilter(loop.time)
        group = _IdleFilter(loop.time)
        turn = 0
        try:
            while True:
                await asyncio.sleep(self._interval())
                turn += 1
                exchange = self.exchange
                loads = self._server_loads.own_loads()
                if own.is_due(loads):
                    self._send_report("", loads, exchange.members)
                if not exchange.partners or turn % REPORTS_PER_SUM:
                    continue
                loads = self._server_loads.group_loads()
                if group.is_due(loads):
                    self._send_report(exchange.group, loads, exchange.partners)
        finally:
            self._transport.close()
            self._transport = None

    def _interval(self) -> float:
        exchange = self.exchange
        if exchange.partners:
            return GROUP_INTERVAL
        return peer_groups.single_group_interval(len(exchange.members))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Apply the report of another node."""
        try:
            with self._schema.Told.from_bytes(data) as report:
                if len(report.evidence):
                    self._apply_evidence(report)
                else:
                    self._apply_loads(report)
        except Exception as exc:
            self._journal.emit(
                events.UnexpectedError(
                    f"datagram from {addr[0]}", repr(exc)[:200]
                )
            )

    def _apply_evidence(self, report: Any) -> None:
        for entry in report.evidence:
            if self.on_evidence is not None:
                self.on_evidence(report.sender, entry.order, entry.report)

    def _apply_loads(self, report: Any) -> None:
        sender = report.sender
        source = server_load.Source(report.group or sender, bool(report.group))
        if self._shares is not None:
            self._shares.apply_report(
                source, sender, report.sequence, _read_usage(report.usage)
            )
        self._server_loads.apply_report(
            source,
            sender,
            report.sequence,
            {
                entry.server: server_load.Load(
                    entry.waitingMs / 1000,
                    entry.active,
                    entry.recent,
                    entry.rejected,
                )
                for entry in report.loads
            },
        )
        hops = 2 if report.group else 1
        self._limits.merge(_read_stated(report.limits), hops)
        self._brittle.merge(_read_stated(report.brittle), hops)
        self._peer_choice.record_report(sender, report.cutOff)
        self._news.record(
            sender,
            [
                store_watch.TableState(
                    table.name,
                    types.Version(table.era, table.version),
                    table.unavailable,
                )
                for table in report.tables
            ],
        )

    def collector(self, subject: str) -> str:
        """Return the node of this node's group that collects evidence.

        :param subject: what the evidence is about.
        """
        members = self.exchange.members & self._news.heard()
        return rendezvous.owner(subject, members | {self._node}) or self._node

    def send_evidence(self, receiver: str, order: str, report: str) -> None:
        """Send evidence of a roll-out to a collector.

        :param report: this node's evidence, as JSON.
        """
        peer = self._peers().get(receiver)
        if self._transport is None or peer is None:
            return
        self._sequence += 1
        message = self._schema.Told.new_message(
            sender=self._node, sequence=self._sequence
        )
        (entry,) = message.init("evidence", 1)
        entry.order = order
        entry.report = report
        self._send(message.to_bytes(), peer)

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable nodes, whose rows may outlive them."""

    def _send_report(
        self, group: str, loads: Loads, receivers: Collection[str]
    ) -> None:
        """Send a report.

        :param group: label of the group that the loads are the sum of; empty
            for this node's own.
        """
        self._sequence += 1
        report = self._schema.Told.new_message(
            sender=self._node,
            sequence=self._sequence,
            group=group,
            cutOff=self._links.cut_off,
        )
        entries = report.init("loads", len(loads))
        for entry, (server_id, load) in zip(
            entries, loads.items(), strict=True
        ):
            entry.server = server_id
            entry.waitingMs = _field(load.pending_prefill * 1000)
            entry.active = _field(load.active)
            entry.recent = _field(load.recent)
            entry.rejected = _field(load.rejected)
        if self._shares is not None:
            usage = (
                self._shares.group_usage()
                if group
                else self._shares.own_usage()
            )
            _write_usage(report.init("usage", len(usage)), usage)
        states = self._tables()
        for entry, state in zip(
            report.init("tables", len(states)), states, strict=True
        ):
            entry.name = state.table
            entry.era = state.version.era
            entry.version = state.version.counter
            entry.unavailable = state.unavailable
        max_hops = 1 if group else 0
        for field, stated in (
            ("limits", self._limits),
            ("brittle", self._brittle),
        ):
            observed = stated.observed(max_hops)
            _write_stated(report.init(field, len(observed)), observed)
        data = report.to_bytes()
        if self._transport is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        peers = self._peers()
        for name in receivers:
            self._send(data, peers[name])

    def _send(self, data: bytes, peer: peer_groups.Peer) -> None:
        """Send a datagram, unless the node's row names no usable address."""
        if self._transport is not None:
            with contextlib.suppress(ValueError):
                self._transport.sendto(data, peer.address)


def _field(value: float) -> int:
    return min(MAX_FIELD, max(0, int(value)))


def _read_stated(entries: Any) -> list[stated_values.Observed]:
    return [
        stated_values.Observed(
            entry.server,
            entry.perSecond if entry.perSecond >= 0 else None,
            entry.ageMs / 1000,
        )
        for entry in entries
    ]


def _read_usage(entries: Any) -> dict[str, workspace_shares.Usage]:
    usage = {}
    for entry in list(entries)[:MAX_USAGE_SERVICES]:
        named = list(entry.named)[: workspace_shares.MAX_NAMED]
        usage[entry.service] = workspace_shares.Usage(
            {workspace.name: workspace.requests for workspace in named},
            entry.others,
        )
    return usage


def _write_usage(
    entries: Any, usage: Mapping[str, workspace_shares.Usage]
) -> None:
    for entry, (service, counts) in zip(entries, usage.items(), strict=True):
        entry.service = service
        entry.others = _field(counts.others)
        named = entry.init("named", len(counts.named))
        for item, (name, requests) in zip(
            named, counts.named.items(), strict=True
        ):
            item.name = name
            item.requests = _field(requests)


def _write_stated(
    entries: Any, observed: list[stated_values.Observed]
) -> None:
    for entry, item in zip(entries, observed, strict=True):
        entry.server = item.server
        entry.perSecond = -1.0 if item.value is None else item.value
        entry.ageMs = _field(item.age * 1000)


class _IdleFilter:
    """Decides whether a report must be sent, when there is no load.

    :param now: returns the current time, in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._sent_empty = False
        self._sent_at = 0.0

    def is_due(self, loads: Loads) -> bool:
        """Return whether to send a report of loads now."""
        repeated = not loads and self._sent_empty
        if repeated and self._now() - self._sent_at < IDLE_INTERVAL:
            return False
        self._sent_empty = not loads
        self._sent_at = self._now()
        return True
