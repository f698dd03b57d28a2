"""Protection of held bill entries against the loss of this node.

A peer in another zone holds a copy; entries that stay for long, or that no
peer can take, go into the object store as well.
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

HOLD_TIMEOUT = 1.0
HOLDER_TRIES = 3
SPILL_AFTER = 5.0
SPILL_INTERVAL = 5.0
MAX_MESSAGE_ENTRIES = 500

Entries = Sequence[bill_backlog.HeldEntry]


class Protection:
    """Keeps held entries in a second place until they are durable.

    :param hub: links to the peers.
    :param spills: objects with held entries; None uses peers alone.
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
        self._released: dict[str, list[bill_backlog.HeldEntry]] = {}
        self._open_spills: dict[str, list[bill_backlog.HeldEntry]] = {}
        self._spill_lock = asyncio.Lock()
        self._spill_after = -math.inf
        self._spilled = metrics.counter(
            "limpetwalk_bill_entries_spilled",
            "Held bill entries that went into the object store.",
        )

    def exposed(self, entries: Entries) -> list[bill_backlog.HeldEntry]:
        """Return the entries that only this node has."""
        staying = set(self._staying())
        return [
            held
            for held in entries
            if not held.spill and held.holder not in staying
        ]

    async def protect(self, entries: Entries) -> bool:
        """Put exposed entries in a second place.

        :returns: whether all of them are in one now.
        """
        await self.copy(self.exposed(entries))
        return await self._spill(self.exposed(entries))

    async def copy(self, entries: Entries) -> None:
        """Have a peer hold copies of entries, if one can be reached."""
        chunks = _chunks(list(entries))
        await asyncio.gather(*(self._hold(chunk) for chunk in chunks))

    async def spill_old(self, entries: Entries) -> None:
        """Put entries that have been held for long into the object store."""
        now = self._clock.monotonic()
        if now < self._spill_after:
            return
        self._spill_after = now + SPILL_INTERVAL
        await self._spill(
            [held for held in entries if held.since <= now - SPILL_AFTER]
        )

    def settled(self, entries: Entries) -> None:
        """Note entries that are durable, so that copies can go."""
        for held in entries:
            if held.holder:
                self._released.setdefault(held.holder, []).append(held)

    async def release(self) -> None:
        """Have copies forgotten that are needed no more."""
        for name in list(self._released):
            await self._release(name, self._released.pop(name))
        for name, entries in list(self._open_spills.items()):
            if all(held.durable.done() for held in entries):
                await self._mark_done(name)

    def _staying(self) -> list[str]:
        return [peer.name for peer in self._hub.live() if not peer.leaving]

    def _holders(self) -> list[str]:
        """Return peers to hold copies, in other zones if there are any."""
        known = self._hub.members.known()
        zones = {peer.zone for peer in known.values()} | {self._hub.zone}
        names = [
            name
            for name in self._staying()
            if len(zones) == 1 or known[name].zone != self._hub.zone
        ]
        ranked = rendezvous.rank(f"holder/{self._hub.name}", names)
        return ranked[:HOLDER_TRIES]

    async def _hold(self, waiting: Entries) -> None:
        message = messages.BillEntries(
            waiting[0].partition,
            tuple(held.entry for held in waiting),
            messages.Purpose.HOLD,
            tuple(held.partition for held in waiting),
        )
        for name in self._holders():
            try:
                await self._hub.request(name, message, HOLD_TIMEOUT)
            except exceptions.PeerUnavailable:
                # It may hold the copies although its reply was lost.
                self._released.setdefault(name, []).extend(waiting)
                continue
            for held in waiting:
                self._move_copy(held, name)
            return

    def _move_copy(self, held: bill_backlog.HeldEntry, name: str) -> None:
        if held.holder and held.holder != name:
            self._released.setdefault(held.holder, []).append(held)
        held.holder = name
        if held.durable.done():
            self._released.setdefault(name, []).append(held)

    async def _release(
        self, name: str, entries: list[bill_backlog.HeldEntry]
    ) -> None:
        """Have a peer forget copies; again later when it is silent.

        A peer that is gone has lost them.
        """
        if name not in self._hub.members.known():
            return
        needed_no_more = [
            held
            for held in entries
            if held.durable.done() or held.holder != name
        ]
        for chunk in _chunks(needed_no_more):
            message = messages.BillEntries(
                chunk[0].partition,
                tuple(held.entry for held in chunk),
                messages.Purpose.RELEASE,
            )
            try:
                await self._hub.request(name, message, HOLD_TIMEOUT)
            except exceptions.PeerUnavailable:
                self._released.setdefault(name, []).extend(chunk)

    async def _spill(self, entries: Entries) -> bool:
        """Put entries into one object.

        :returns: whether they are all in the object store or durable.
        """
        async with self._spill_lock:
            waiting = [
                held
                for held in entries
                if not held.spill and not held.durable.done()
            ]
            if not waiting:
                return True
            if self._spills is None:
                return False
            try:
                name = await self._spills.put(
                    [
                        bill_spill.SpilledEntry(held.partition, held.entry)
                        for held in waiting
                    ]
                )
            except exceptions.StoreError:
                return False
        for held in waiting:
            held.spill = name
        self._open_spills[name] = waiting
        self._spilled.inc(len(waiting))
        return True

    async def _mark_done(self, name: str) -> None:
        assert self._spills is not None
        try:
            await self._spills.mark_done(name)
        except exceptions.StoreError:
            return
        del self._open_spills[name]


def _chunks(
    entries: list[bill_backlog.HeldEntry],
) -> Iterable[list[bill_backlog.HeldEntry]]:
    for start in range(0, len(entries), MAX_MESSAGE_ENTRIES):
        yield entries[start : start + MAX_MESSAGE_ENTRIES]
