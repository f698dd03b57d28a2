"""Held bill entries in the object store, the second place for them.

While the table service is down, a node puts its held entries into an object
every few seconds. The node itself still brings them into the ledger and then
marks the object as done. The objects of a node that is gone are taken up by
another one.
"""

from collections.abc import Sequence
from dataclasses import dataclass
import itertools
import time

import pydantic

from limpetwalk import clock as clocks
from limpetwalk.ledger import base as ledger
from limpetwalk.providers import base as platform

SPILL_PREFIX = "ledger-spill/"
DONE_PREFIX = "ledger-spill-done/"
SECONDS_PER_DAY = 86400


@dataclass(frozen=True, slots=True)
class SpilledEntry:
    """Bill entry with the ledger partition that it belongs to."""

    partition: int
    entry: ledger.BillEntry


_ENTRIES = pydantic.TypeAdapter(list[SpilledEntry])


class SpillStore:
    """Objects with held bill entries.

    :param objects: object store.
    :param boot_id: boot of this node.
    :param clock: source of time.
    """

    def __init__(
        self,
        objects: platform.ObjectStore,
        boot_id: str,
        clock: clocks.Clock,
    ) -> None:
        self._objects = objects
        self._boot_id = boot_id
        self._clock = clock
        self._numbers = itertools.count(1)

    async def put(self, entries: Sequence[SpilledEntry]) -> str:
        """Store entries and return the name of the object.

        :raises StoreError: when they may not be stored.
        """
        number = next(self._numbers)
        name = f"{_day(self._clock.wall())}/{self._boot_id}/{number:08d}"
        data = _ENTRIES.dump_json(list(entries))
        await self._objects.put_if_absent(SPILL_PREFIX + name, data)
        return name

    async def load(self, name: str) -> list[SpilledEntry]:
        """Return the entries of an object.

        :raises StoreUnavailable: when the object store does not answer.
        """
        data = await self._objects.get(SPILL_PREFIX + name)
        return _ENTRIES.validate_json(data) if data else []

    async def mark_done(self, name: str) -> None:
        """Note that the entries of an object are in the ledger.

        :raises StoreError: when it may not be noted.
        """
        await self._objects.put_if_absent(DONE_PREFIX + name, b"")

    async def open_names(self) -> list[str]:
        """Return the objects of today and yesterday that are not done.

        :raises StoreUnavailable: when the object store does not answer.
        """
        now = self._clock.wall()
        found: list[str] = []
        for at in (now - SECONDS_PER_DAY, now):
            day = f"{_day(at)}/"
            done = await self._names(DONE_PREFIX, day)
            found += sorted(await self._names(SPILL_PREFIX, day) - done)
        return found

    async def _names(self, prefix: str, day: str) -> set[str]:
        names = await self._objects.names(prefix + day)
        return {name.removeprefix(prefix) for name in names}


def boot_of(name: str) -> str:
    """Return the boot of the node that stored an object."""
    return name.split("/")[1]


def _day(at: float) -> str:
    return time.strftime("%Y%m%d", time.gmtime(at))
