"""Short leases on roles, each with a fencing number.

A lease is a row of the table service. Clocks decide only when a lease may be
taken over. Whether a holder still holds it is decided by the version of the
row, so a holder that was paused beyond the end of its lease has lost it,
whatever its clock shows.
"""

from dataclasses import dataclass
import uuid

import pydantic
from result import Err
from result import Ok
from result import Result

from . import clock as clocks
from . import exceptions
from .providers import base
from .providers import settle

PARTITION = "lease"
# A lease is taken over only this many seconds after its end, so that the
# clocks of two nodes may differ by as much.
CLOCK_MARGIN = 1.0


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease on a role.

    :param role: name of the role.
    :param holder: process that holds the lease; unique to each start of a
        process.
    :param fencing: fencing number; increases with each acquisition.
    :param expires_at: Unix time in seconds at which the lease ends.
    :param version: version of the row.
    :param ttl: lifetime from each renewal, in seconds.
    :param note: text that holders leave to their successors.
    """

    role: str
    holder: str
    fencing: int
    expires_at: float
    version: int
    ttl: float
    note: str = ""

    def guard(self) -> base.Check:
        """Return a write condition that is met only while this lease is valid.

        A transaction with this condition can't be applied after another holder
        has acquired the role, nor after this holder has renewed the lease.
        """
        return base.Check(_key(self.role), self.version)


@dataclass(frozen=True, slots=True)
class LeaseConflict:
    """Another holder has the role, or this holder's lease is outdated.

    :param holder: holder of the role, or empty when it was released.
    :param fencing: fencing number of that holder's lease.
    :param expires_at: Unix time in seconds at which that lease ends.
    """

    holder: str
    fencing: int
    expires_at: float


class _LeaseRow(pydantic.BaseModel):
    """Contents of the row of a lease."""

    holder: str
    fencing: int
    expires_at: float
    note: str = ""


def _key(role: str) -> base.RowKey:
    return base.RowKey(PARTITION, role)


class LeaseManager:
    """Acquires, renews and releases leases for one holder.

    :param table: table service.
    :param clock: source of time.
    :param holder: name of the holder, unique to each start of a process.
    """

    def __init__(
        self, table: base.TableStore, clock: clocks.Clock, holder: str
    ) -> None:
        self._table = table
        self._clock = clock
        self._holder = holder

    async def acquire(
        self, role: str, ttl: float
    ) -> Result[Lease, LeaseConflict]:
        """Acquire a role that is free, released or expired beyond the margin.

        A holder that acquires a role that it holds already gets a new fencing
        number; its earlier lease is no longer valid. The note of the latest
        holder is kept.

        :param ttl: lifetime of the lease, in seconds.
        :raises StoreUnavailable: when the lease was not acquired.
        :raises StoreOutcomeUnknown: when it may have been acquired; another
            call resolves this.
        """
        row = await self._table.get(_key(role))
        if row is None:
            return await self._write(role, 0, 1, ttl, "")
        current = _LeaseRow.model_validate_json(row.value)
        if self._blocks_acquisition(current):
            return Err(
                LeaseConflict(
                    current.holder, current.fencing, current.expires_at
                )
            )
        return await self._write(
            role, row.version, current.fencing + 1, ttl, current.note
        )

    async def renew(
        self, lease: Lease, note: str | None = None
    ) -> Result[Lease, LeaseConflict]:
        """Extend a lease by its lifetime from now; the fencing number stays.

        :param note: text for successors, None to keep the present one.
        :returns: the renewed lease, which replaces the one given, or the
            conflict with the current holder.
        :raises StoreUnavailable: when the lease was not extended.
        :raises StoreOutcomeUnknown: when it may have been extended.
        """
        return await self._write(
            lease.role,
            lease.version,
            lease.fencing,
            lease.ttl,
            lease.note if note is None else note,
        )

    async def release(self, lease: Lease) -> Result[None, LeaseConflict]:
        """Release a role, so that another holder can acquire it at once.

        :raises StoreUnavailable: when the lease was not released.
        :raises StoreOutcomeUnknown: when it may have been released.
        """
        value = _LeaseRow(
            holder="",
            fencing=lease.fencing,
            expires_at=self._clock.wall(),
            note=lease.note,
        )
        outcome = await self._put(lease.role, lease.version, value)
        if isinstance(outcome, Err):
            return Err(await self._read_conflict(lease.role))
        return Ok(None)

    def _blocks_acquisition(self, current: _LeaseRow) -> bool:
        if current.holder in ("", self._holder):
            return False
        return self._clock.wall() < current.expires_at + CLOCK_MARGIN

    async def _write(
        self, role: str, version: int, fencing: int, ttl: float, note: str
    ) -> Result[Lease, LeaseConflict]:
        expires_at = self._clock.wall() + ttl
        value = _LeaseRow(
            holder=self._holder,
            fencing=fencing,
            expires_at=expires_at,
            note=note,
        )
        outcome = await self._put(role, version, value)
        if isinstance(outcome, Err):
            return Err(await self._read_conflict(role))
        return Ok(
            Lease(
                role,
                self._holder,
                fencing,
                expires_at,
                version + 1,
                ttl,
                note,
            )
        )

    async def _put(
        self, role: str, version: int, value: _LeaseRow
    ) -> Result[None, base.Conflict]:
        put = base.Put(_key(role), value.model_dump_json(), version)
        return await settle.transact_settled(
            self._table, [put], uuid.uuid4().hex
        )

    async def _read_conflict(self, role: str) -> LeaseConflict:
        row = await self._table.get(_key(role))
        if row is None:
            raise exceptions.StoreUnavailable(
                f"row of lease {role!r} is missing from the table"
            )
        current = _LeaseRow.model_validate_json(row.value)
        return LeaseConflict(
            current.holder, current.fencing, current.expires_at
        )
