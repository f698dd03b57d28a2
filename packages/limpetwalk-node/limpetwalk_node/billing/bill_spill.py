"""Spill of pending bill entries to the object store.

While the table service is down, a node puts its pending entries into an object
every few seconds. The node itself still writes them to the ledger and then
marks the object as done. If the node is lost, another one writes the entries
of its objects to the ledger.
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
    """Spill objects with pending bill entries.

    :param objects: object store.
    :param boot_id: boot ID of this node.
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
        self._object_numbers = itertools.count(1)

    async def put(self, entries: Sequence[SpilledEntry]) -> str:
        """Store entries and return the name of their spill object.

        :raises StoreError: when the entries may not be stored.
        """
        number = next(self._object_numbers)
        name = (
            f"{_format_day(self._clock.wall())}/{self._boot_id}/{number:08d}"
        )
        data = _ENTRIES.dump_json(list(entries))
        await self._objects.put_if_absent(SPILL_PREFIX + name, data)
        return name

    async def load(self, name: str) -> list[SpilledEntry]:
        """Return the entries of a spill object.

        :raises StoreUnavailable: when the object store does not answer.
        """
        data = await self._objects.get(SPILL_PREFIX + name)
        return _ENTRIES.validate_json(data) if data else []

    async def mark_done(self, name: str) -> None:
        """Record that the entries of a spill object are in the ledger.

        :raises StoreError: when this may not be recorded.
        """
        await self._objects.put_if_absent(DONE_PREFIX + name, b"")

    async def open_names(self) -> list[str]:
        """Return names of spill objects of two days that are not done.

        These are the current and the previous day in UTC.

        :raises StoreUnavailable: when the object store does not answer.
        """
        now = self._clock.wall()
        open_names: list[str] = []
        for unix_time in (now - SECONDS_PER_DAY, now):
            day = f"{_format_day(unix_time)}/"
            done_names = await self._names(DONE_PREFIX, day)
            open_names += sorted(
                await self._names(SPILL_PREFIX, day) - done_names
            )
        return open_names

    async def _names(self, prefix: str, day: str) -> set[str]:
        names = await self._objects.names(prefix + day)
        return {name.removeprefix(prefix) for name in names}


def boot_of(name: str) -> str:
    """Return the boot ID of the node that stored a spill object."""
    return name.split("/")[1]


def _format_day(unix_time: float) -> str:
    return time.strftime("%Y%m%d", time.gmtime(unix_time))
