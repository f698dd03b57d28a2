"""Telling the other nodes this node's load on servers, by datagrams.

What is lost or late only makes a choice a little worse, so nothing is sent
again.
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

# Pause between two datagrams to a node, seconds, among up to
# ``NODES_PER_PAUSE`` nodes; more nodes tell less often.
PAUSE = 0.1
NODES_PER_PAUSE = 10
# Largest datagram that is read, bytes.
MAX_DATAGRAM_BYTES = 60_000
SCHEMA = pathlib.Path(__file__).with_name("pressure.capnp")

Address = tuple[str, int]


class LoadBroadcast(asyncio.DatagramProtocol):
    """Tells and hears loads.

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
        # Time of day, so that a node that starts again goes on above.
        self._sequence = int(time.time() * 1000)

    async def run(self, address: Address) -> None:
        """Tell loads until cancelled.

        :param address: ``(host, port)`` to hear at.
        """
        # Only loads need this library, which takes a while to import.
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
                rounds = 1 + len(peers) // NODES_PER_PAUSE
                await asyncio.sleep(PAUSE * rounds)
                loads = self._server_loads.own()
                if not loads and sent_empty_report:
                    continue
                sent_empty_report = not loads
                self._tell(loads, peers)
        finally:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take over what another node tells."""
        try:
            with self._schema.Told.from_bytes(data) as told:
                loads = {
                    each.server: server_load.Load(
                        each.waitingMs / 1000, each.active
                    )
                    for each in told.loads
                }
                self._server_loads.apply_report(
                    told.sender, told.sequence, loads
                )
        except Exception as exc:
            self._journal.emit(
                events.UnexpectedError(
                    f"datagram from {addr[0]}", repr(exc)[:200]
                )
            )

    def error_received(self, exc: Exception) -> None:
        """Ignore that a node is not there; its row says where it was."""

    def _tell(
        self,
        loads: Mapping[str, server_load.Load],
        peers: Mapping[str, Address],
    ) -> None:
        self._sequence += 1
        told = self._schema.Told.new_message(
            sender=self._node, sequence=self._sequence
        )
        listed = told.init("loads", len(loads))
        for entry, (server_id, load) in zip(
            listed, loads.items(), strict=True
        ):
            entry.server = server_id
            entry.waitingMs = int(load.waiting * 1000)
            entry.active = load.active
        data = told.to_bytes()
        if self._transport is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        for name, address in peers.items():
            if name != self._node:
                self._transport.sendto(data, address)
