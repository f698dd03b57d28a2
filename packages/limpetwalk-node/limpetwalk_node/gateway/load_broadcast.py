"""Broadcast of this node's load on servers to the other nodes by datagrams.

A lost or late report only makes a choice of server a little worse, so nothing
is sent again.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import importlib
import pathlib
import time
from typing import Any

from limpetwalk.gateway import server_load

from . import events
from . import logs

# Interval between two reports to a node, seconds, for fewer than
# ``NODES_PER_INTERVAL`` nodes. Larger clusters report less often.
INTERVAL = 0.1
NODES_PER_INTERVAL = 10
# Largest datagram that is sent, bytes.
MAX_DATAGRAM_BYTES = 60_000
SCHEMA = pathlib.Path(__file__).with_name("pressure.capnp")

Address = tuple[str, int]


class LoadBroadcast(asyncio.DatagramProtocol):
    """Sends load reports to other nodes and receives theirs.

    :param node: name of this node.
    :param peers: returns the addresses of the other nodes by name.
    """

    def __init__(
        self,
        node: str,
        peers: Callable[[], Mapping[str, Address]],
        loads: server_load.ServerLoads,
        journal: logs.Journal,
    ) -> None:
        self._node = node
        self._peers = peers
        self._server_loads = loads
        self._journal = journal
        self._transport: asyncio.DatagramTransport | None = None
        self._schema: Any = None
        # Starts at the time of day, so that a restarted node continues above
        # its earlier numbers.
        self._sequence = int(time.time() * 1000)

    async def run(self, address: Address) -> None:
        """Send load reports until cancelled.

        :param address: ``(host, port)`` at which reports are received.
        """
        # Only load reports need this library, which is slow to import.
        capnp = importlib.import_module("capnp")
        capnp.remove_import_hook()
        self._schema = capnp.load(str(SCHEMA))
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )
        sent_empty_report = False
        try:
            while True:
                peers = self._peers()
                intervals = 1 + len(peers) // NODES_PER_INTERVAL
                await asyncio.sleep(INTERVAL * intervals)
                loads = self._server_loads.own_loads()
                if not loads and sent_empty_report:
                    continue
                sent_empty_report = not loads
                self._send_report(loads, peers)
        finally:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Apply the load report of another node."""
        try:
            with self._schema.Told.from_bytes(data) as report:
                loads = {
                    entry.server: server_load.Load(
                        entry.waitingMs / 1000, entry.active
                    )
                    for entry in report.loads
                }
                self._server_loads.apply_report(
                    report.sender, report.sequence, loads
                )
        except Exception as exc:
            self._journal.emit(
                events.UnexpectedError(
                    f"datagram from {addr[0]}", repr(exc)[:200]
                )
            )

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable nodes, whose rows may outlive them."""

    def _send_report(
        self,
        loads: Mapping[str, server_load.Load],
        peers: Mapping[str, Address],
    ) -> None:
        self._sequence += 1
        report = self._schema.Told.new_message(
            sender=self._node, sequence=self._sequence
        )
        entries = report.init("loads", len(loads))
        for entry, (server_id, load) in zip(
            entries, loads.items(), strict=True
        ):
            entry.server = server_id
            entry.waitingMs = int(load.pending_prefill * 1000)
            entry.active = load.active
        data = report.to_bytes()
        if self._transport is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        for name, address in peers.items():
            if name != self._node:
                self._transport.sendto(data, address)
