"""In-process fakes of the platform's services, with fault switches."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from .. import exceptions
from . import base
from . import memory_rows

Hook = Callable[[str], Awaitable[None]]
Rows = memory_rows.Rows


@dataclass(slots=True)
class Faults:
    """Fault switches of one service.

    :param unavailable: whether every call fails without effect.
    :param refuse_writes: number of next writes to refuse without effect.
    :param lose_answers: number of next writes that take effect although
        their answer is lost.
    :param before: awaited with the operation's name before it takes effect;
        tests use it to make the service slow.
    :param after: awaited with the operation's name after it took effect and
        before the answer is returned.
    """

    unavailable: bool = False
    refuse_writes: int = 0
    lose_answers: int = 0
    before: Hook | None = None
    after: Hook | None = None

    async def before_effect(self, operation: str, write: bool) -> None:
        """Apply the faults that come before the effect of an operation.

        :raises StoreUnavailable: when the operation must not take effect.
        """
        if self.before is not None:
            await self.before(operation)
        if self.unavailable:
            raise exceptions.StoreUnavailable("fault: store unavailable")
        if write and self.refuse_writes > 0:
            self.refuse_writes -= 1
            raise exceptions.StoreUnavailable("fault: write refused")

    async def after_effect(self, operation: str, write: bool) -> None:
        """Apply the faults that come after the effect of an operation.

        :raises StoreOutcomeUnknown: when the answer is to be lost.
        """
        if self.after is not None:
            await self.after(operation)
        if write and self.lose_answers > 0:
            self.lose_answers -= 1
            raise exceptions.StoreOutcomeUnknown("fault: answer lost")


class MemoryTable:
    """Table service within the process.

    :param rows: rows, shared between tables that represent the connections
        of several nodes; None for an empty table.
    """

    def __init__(self, rows: Rows | None = None) -> None:
        self.rows = rows if rows is not None else Rows()
        self.faults = Faults()
        self.reads = 0
        self.writes = 0

    async def get(self, key: base.RowKey) -> base.Row | None:
        """Return a row by a consistent read."""
        self.reads += 1
        await self.faults.before_effect("get", write=False)
        row = self.rows.get(key)
        await self.faults.after_effect("get", write=False)
        return row

    async def query(
        self,
        partition: str,
        after: str = "",
        prefix: str = "",
        limit: int = 1000,
        descending: bool = False,
    ) -> list[base.Row]:
        """Return rows of a partition in the order of their sort names."""
        self.reads += 1
        await self.faults.before_effect("query", write=False)
        rows = self.rows.query(partition, after, prefix, limit, descending)
        await self.faults.after_effect("query", write=False)
        return rows

    async def transact(
        self, writes: Sequence[base.Write], write_id: str
    ) -> Result[None, base.Conflict]:
        """Apply all writes or none."""
        self.writes += 1
        await self.faults.before_effect("transact", write=True)
        outcome = self.rows.transact(writes, write_id)
        await self.faults.after_effect("transact", write=True)
        return outcome

    async def close(self) -> None:
        """Do nothing; there are no connections."""


class MemoryObjects:
    """Object store within the process.

    :param blobs: contents by name, shared between stores that represent
        the connections of several nodes; None for an empty store.
    """

    def __init__(self, blobs: dict[str, bytes] | None = None) -> None:
        self.blobs = blobs if blobs is not None else {}
        self.faults = Faults()
        self.reads = 0
        self.writes = 0

    async def put_if_absent(
        self, name: str, data: bytes
    ) -> Result[None, base.AlreadyExists]:
        """Store an object unless the name is taken."""
        self.writes += 1
        await self.faults.before_effect("put", write=True)
        exists = name in self.blobs
        if not exists:
            self.blobs[name] = bytes(data)
        await self.faults.after_effect("put", write=True)
        return Err(base.AlreadyExists(name)) if exists else Ok(None)

    async def get(self, name: str) -> bytes | None:
        """Return an object's contents, or None when it is absent."""
        self.reads += 1
        await self.faults.before_effect("get", write=False)
        data = self.blobs.get(name)
        await self.faults.after_effect("get", write=False)
        return data

    async def names(self, prefix: str) -> list[str]:
        """Return the sorted names that start with a prefix."""
        self.reads += 1
        await self.faults.before_effect("names", write=False)
        names = sorted(name for name in self.blobs if name.startswith(prefix))
        await self.faults.after_effect("names", write=False)
        return names

    async def close(self) -> None:
        """Do nothing; there are no connections."""


class MemoryInstances:
    """Instance list within the process.

    :param instances: initial instances of the list.
    """

    def __init__(self, instances: Sequence[base.Instance] = ()) -> None:
        self.instances = list(instances)
        self.unavailable = False

    async def fetch(self) -> list[base.Instance]:
        """Return the current list."""
        if self.unavailable:
            raise exceptions.InstanceListUnavailable("fault: list unavailable")
        return list(self.instances)

    async def close(self) -> None:
        """Do nothing; there are no connections."""


class MemoryRatings:
    """Rating service within the process.

    :param score: returns the score of a request.
    """

    def __init__(self, score: Callable[[base.RatingRequest], float]) -> None:
        self.score = score
        self.unavailable = False

    async def rate(self, req: base.RatingRequest, timeout: float) -> float:
        """Return a score from 0.0 to 1.0."""
        if self.unavailable:
            raise exceptions.RatingUnavailable("fault: service unavailable")
        return self.score(req)

    async def close(self) -> None:
        """Do nothing; there are no connections."""
