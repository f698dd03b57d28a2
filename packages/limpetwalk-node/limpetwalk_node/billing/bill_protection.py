"""Protection of pending bill entries against the loss of this node.

A peer in another zone holds a copy. Entries that stay pending for long, or
that no peer can hold, are also put into the object store.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import math

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import messages
from limpetwalk.peers import rendezvous

from . import bill_backlog
from . import bill_spill

COPY_TIMEOUT = 1.0  # seconds
MAX_HOLDERS_TRIED = 3
SPILL_AFTER = 5.0  # seconds
SPILL_INTERVAL = 5.0  # seconds
MAX_MESSAGE_ENTRIES = 500

Entries = Sequence[bill_backlog.PendingEntry]


class Protection:
    """Keeps pending entries in a second place until they are durable.

    :param hub: links to the peers.
    :param spills: store of spill objects; None uses only peers.
    :param clock: source of time.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        spills: bill_spill.SpillStore | None,
        clock: clocks.Clock,
        metrics: metrics_.Metrics,
    ) -> None:
        self._hub = hub
        self._spills = spills
        self._clock = clock
        self._copies_to_release: dict[
            str, list[bill_backlog.PendingEntry]
        ] = {}
        self._open_spills: dict[str, list[bill_backlog.PendingEntry]] = {}
        self._spill_lock = asyncio.Lock()
        self._next_spill_at = -math.inf
        self._spilled = metrics.counter(
            "limpetwalk_bill_entries_spilled",
            "Held bill entries that went into the object store.",
        )

    def exposed(self, entries: Entries) -> list[bill_backlog.PendingEntry]:
        """Return the entries that only this node has."""
        available_peers = set(self._available_peers())
        return [
            pending
            for pending in entries
            if not pending.spill and pending.copy_holder not in available_peers
        ]

    async def protect(self, entries: Entries) -> bool:
        """Put the exposed ones of these entries in a second place.

        :returns: whether all the entries are in a second place, or durable.
        """
        await self.copy(self.exposed(entries))
        return await self._spill(self.exposed(entries))

    async def copy(self, entries: Entries) -> None:
        """Send copies of entries to a peer, if one can be reached."""
        chunks = _chunks(list(entries))
        await asyncio.gather(*(self._send_copies(chunk) for chunk in chunks))

    async def spill_old(self, entries: Entries) -> None:
        """Put entries that are pending for long into the object store."""
        now = self._clock.monotonic()
        if now < self._next_spill_at:
            return
        self._next_spill_at = now + SPILL_INTERVAL
        await self._spill(
            [
                pending
                for pending in entries
                if pending.added_at <= now - SPILL_AFTER
            ]
        )

    def on_durable(self, entries: Entries) -> None:
        """Schedule the removal of the copies of durable entries."""
        for pending in entries:
            if pending.copy_holder:
                self._copies_to_release.setdefault(
                    pending.copy_holder, []
                ).append(pending)

    async def release(self) -> None:
        """Remove copies and mark spill objects that are no longer needed."""
        for name in list(self._copies_to_release):
            await self._release(name, self._copies_to_release.pop(name))
        for name, entries in list(self._open_spills.items()):
            if all(pending.durable.done() for pending in entries):
                await self._mark_done(name)

    def _available_peers(self) -> list[str]:
        return [peer.name for peer in self._hub.live() if not peer.leaving]

    def _holder_candidates(self) -> list[str]:
        """Return peers to send copies to, in other zones if possible."""
        known_peers = self._hub.members.known()
        zones = {peer.zone for peer in known_peers.values()} | {self._hub.zone}
        names = [
            name
            for name in self._available_peers()
            if len(zones) == 1 or known_peers[name].zone != self._hub.zone
        ]
        ranked = rendezvous.rank(f"holder/{self._hub.name}", names)
        return ranked[:MAX_HOLDERS_TRIED]

    async def _send_copies(self, entries: Entries) -> None:
        message = messages.BillEntries(
            entries[0].partition,
            tuple(pending.entry for pending in entries),
            messages.Purpose.HOLD,
            tuple(pending.partition for pending in entries),
        )
        for name in self._holder_candidates():
            try:
                await self._hub.request(name, message, COPY_TIMEOUT)
            except exceptions.PeerUnavailable:
                # The peer may hold the copies although its reply was lost.
                self._copies_to_release.setdefault(name, []).extend(entries)
                continue
            for pending in entries:
                self._set_copy_holder(pending, name)
            return

    def _set_copy_holder(
        self, pending: bill_backlog.PendingEntry, name: str
    ) -> None:
        if pending.copy_holder and pending.copy_holder != name:
            self._copies_to_release.setdefault(pending.copy_holder, []).append(
                pending
            )
        pending.copy_holder = name
        if pending.durable.done():
            self._copies_to_release.setdefault(name, []).append(pending)

    async def _release(
        self, name: str, entries: list[bill_backlog.PendingEntry]
    ) -> None:
        """Have a peer remove copies; schedule a retry when it does not reply.

        A lost peer no longer has the copies.
        """
        if name not in self._hub.members.known():
            return
        obsolete = [
            pending
            for pending in entries
            if pending.durable.done() or pending.copy_holder != name
        ]
        for chunk in _chunks(obsolete):
            message = messages.BillEntries(
                chunk[0].partition,
                tuple(pending.entry for pending in chunk),
                messages.Purpose.RELEASE,
            )
            try:
                await self._hub.request(name, message, COPY_TIMEOUT)
            except exceptions.PeerUnavailable:
                self._copies_to_release.setdefault(name, []).extend(chunk)

    async def _spill(self, entries: Entries) -> bool:
        """Put entries into one spill object.

        :returns: whether all the entries are in the object store or durable.
        """
        async with self._spill_lock:
            unsafe = [
                pending
                for pending in entries
                if not pending.spill and not pending.durable.done()
            ]
            if not unsafe:
                return True
            if self._spills is None:
                return False
            try:
                name = await self._spills.put(
                    [
                        bill_spill.SpilledEntry(
                            pending.partition, pending.entry
                        )
                        for pending in unsafe
                    ]
                )
            except exceptions.StoreError:
                return False
        for pending in unsafe:
            pending.spill = name
        self._open_spills[name] = unsafe
        self._spilled.inc(len(unsafe))
        return True

    async def _mark_done(self, name: str) -> None:
        assert self._spills is not None
        try:
            await self._spills.mark_done(name)
        except exceptions.StoreError:
            return
        del self._open_spills[name]


def _chunks(
    entries: list[bill_backlog.PendingEntry],
) -> Iterable[list[bill_backlog.PendingEntry]]:
    for start in range(0, len(entries), MAX_MESSAGE_ENTRIES):
        yield entries[start : start + MAX_MESSAGE_ENTRIES]
