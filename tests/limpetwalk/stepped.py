"""Coroutines that a test runs step by step, and a table that they share.

Each call of the table pauses before it takes effect until the test resumes it
and decides its outcome. No event loop is needed.
"""

from collections.abc import Coroutine
from collections.abc import Generator
import enum
import types
from typing import Any

from hypothesis import strategies

from limpetwalk import exceptions
from limpetwalk.providers import memory


class Delivery(enum.Enum):
    """Outcome of a call of the table.

    A late write gets no answer and takes effect when the test delivers it, or
    never. A duplicated write takes effect now and once more later.
    """

    DELIVERED = "delivered"
    REFUSED = "refused"
    ANSWER_LOST = "answer lost"
    LATE = "late"
    DUPLICATED = "duplicated"


DELIVERIES = strategies.lists(
    strategies.one_of(
        strategies.just(Delivery.DELIVERED), strategies.sampled_from(Delivery)
    ),
    min_size=1,
    max_size=4,
)


@types.coroutine
def pause(point: str) -> Generator[str, Any, Any]:
    """Pause until the test resumes and return the value that it sends."""
    return (yield point)


class SteppedTable(memory.MemoryTable):
    """Table whose calls pause before they take effect.

    :param rows: rows shared by the tables of all processes.
    :param late: writes in flight, shared by all processes as well.
    """

    def __init__(self, rows: memory.Rows, late: list[Any]) -> None:
        super().__init__(rows)
        self._late = late
        self.faults.before = self._pause_call

    async def _pause_call(self, operation: str) -> None:
        if operation == "transact":
            return
        if await pause(operation) is not Delivery.DELIVERED:
            raise exceptions.StoreUnavailable("no answer")

    async def transact(self, writes, write_id):
        """Apply all writes or none, now or later, as the test decides."""
        delivery = await pause("transact")
        if delivery is Delivery.REFUSED:
            raise exceptions.StoreUnavailable("refused")
        if delivery in (Delivery.LATE, Delivery.DUPLICATED):
            self._late.append((list(writes), write_id))
        if delivery is Delivery.LATE:
            raise exceptions.StoreOutcomeUnknown("write in flight")
        outcome = self.rows.transact(writes, write_id)
        if delivery is Delivery.ANSWER_LOST:
            raise exceptions.StoreOutcomeUnknown("answer lost")
        return outcome


class Process:
    """Process that runs one coroutine at a time, step by step."""

    def __init__(self) -> None:
        self.point: str | None = None
        self.failure: exceptions.StoreError | None = None
        self._coro: Coroutine[Any, Any, Any] | None = None

    @property
    def idle(self) -> bool:
        """Whether no coroutine is running."""
        return self._coro is None

    def start(self, coro: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine up to its first pause."""
        self._coro = coro
        self.failure = None
        self.step(None)

    def step(self, value: Any) -> None:
        """Resume with a value and run up to the next pause."""
        assert self._coro is not None
        try:
            self.point = self._coro.send(value)
        except StopIteration:
            self._coro = None
        except exceptions.StoreError as exc:
            self.failure = exc
            self._coro = None

    def crash(self) -> None:
        """Drop the running coroutine without another step."""
        if self._coro is not None:
            # Closing makes no further call, as nothing catches GeneratorExit.
            self._coro.close()
        self._coro = None


def run(coro: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end, with every call of the table delivered."""
    value: Any = None
    while True:
        try:
            coro.send(value)
        except StopIteration as done:
            return done.value
        value = Delivery.DELIVERED


def deliver(rows: memory.Rows, late: list[Any], index: int) -> None:
    """Apply one of the writes in flight; its conditions may fail."""
    if late:
        writes, write_id = late.pop(index % len(late))
        rows.transact(writes, write_id)
