"""Short leases on roles, each with a fencing number.

A lease is a row of the table service. Clocks decide only when a lease may be
taken over; whether a holder still holds it is decided by the version of the
row, so a holder that was paused past its lease loses whatever its clock says.
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
# Nobody takes a lease over before it has been over for this long, so that
# clocks of two nodes may differ by as much.
CLOCK_MARGIN = 1.0


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease on a role.

    :param role: name of the role.
    :param holder: process that holds it; unique to each start of a process.
    :param fencing: fencing number; grows with each acquisition.
    :param expires_at: Unix time in seconds at which the lease ends.
    :param version: version of the row.
    :param ttl: lifetime that each renewal gives it, in seconds.
    """

    role: str
    holder: str
    fencing: int
    expires_at: float
    version: int
    ttl: float

    def guard(self) -> base.Check:
        """Return a condition that holds only while this lease stands.

        A transaction with it can't be applied after another holder has
        taken the role, nor after this holder has renewed the lease.
        """
        return base.Check(_key(self.role), self.version)


@dataclass(frozen=True, slots=True)
class LeaseConflict:
    """The role is another holder's.

    :param holder: who holds it, or empty when it was released.
    :param fencing: fencing number of that holder's lease.
    :param expires_at: Unix time in seconds at which that lease ends.
    """

    holder: str
    fencing: int
    expires_at: float


class _Value(pydantic.BaseModel):
    """Contents of the row of a lease."""

    holder: str
    fencing: int
    expires_at: float


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
        """Take a role that is free, released or long enough expired.

        A holder that acquires a role it holds already gets a new fencing
        number; its earlier lease no longer stands.

        :param ttl: lifetime of the lease, in seconds.
        :raises StoreUnavailable: when the lease was not taken.
        :raises StoreOutcomeUnknown: when it may have been taken; acquiring
            it again finds out.
        """
        row = await self._table.get(_key(role))
        if row is None:
            return await self._write(role, 0, 1, ttl)
        held = _Value.model_validate_json(row.value)
        if self._is_taken(held):
            return Err(
                LeaseConflict(held.holder, held.fencing, held.expires_at)
            )
        return await self._write(role, row.version, held.fencing + 1, ttl)

    async def renew(self, lease: Lease) -> Result[Lease, LeaseConflict]:
        """Extend a lease by its lifetime from now; the fencing number stays.

        :returns: the lease to use from now on, or who holds the role.
        :raises StoreUnavailable: when the lease was not extended.
        :raises StoreOutcomeUnknown: when it may have been extended.
        """
        return await self._write(
            lease.role, lease.version, lease.fencing, lease.ttl
        )

    async def release(self, lease: Lease) -> Result[None, LeaseConflict]:
        """Give a role back, so that another holder need not wait.

        :raises StoreUnavailable: when the lease was not released.
        :raises StoreOutcomeUnknown: when it may have been released.
        """
        value = _Value(
            holder="", fencing=lease.fencing, expires_at=self._clock.wall()
        )
        outcome = await self._put(lease.role, lease.version, value)
        if isinstance(outcome, Err):
            return Err(await self._holder_of(lease.role))
        return Ok(None)

    def _is_taken(self, held: _Value) -> bool:
        if held.holder in ("", self._holder):
            return False
        return self._clock.wall() < held.expires_at + CLOCK_MARGIN

    async def _write(
        self, role: str, version: int, fencing: int, ttl: float
    ) -> Result[Lease, LeaseConflict]:
        expires_at = self._clock.wall() + ttl
        value = _Value(
            holder=self._holder, fencing=fencing, expires_at=expires_at
        )
        outcome = await self._put(role, version, value)
        if isinstance(outcome, Err):
            return Err(await self._holder_of(role))
        return Ok(
            Lease(role, self._holder, fencing, expires_at, version + 1, ttl)
        )

    async def _put(
        self, role: str, version: int, value: _Value
    ) -> Result[None, base.Conflict]:
        put = base.Put(_key(role), value.model_dump_json(), version)
        return await settle.transact_settled(
            self._table, [put], uuid.uuid4().hex
        )

    async def _holder_of(self, role: str) -> LeaseConflict:
        row = await self._table.get(_key(role))
        if row is None:
            raise exceptions.StoreUnavailable(f"lease {role!r} is gone")
        held = _Value.model_validate_json(row.value)
        return LeaseConflict(held.holder, held.fencing, held.expires_at)
