"""Coroutines that a test moves step by step, and a table between them.

Each call of the table stops before it takes effect, for as long as the test
likes, and the test decides what becomes of it. No event loop is needed.
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
    """What becomes of a call of the table.

    A late write has no answer and takes effect when the test says so, or
    never. A duplicated write takes effect now and is sent again later.
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
    """Stop until the test moves on and return what it says."""
    return (yield point)


class SteppedTable(memory.MemoryTable):
    """Table whose calls stop before their effect.

    :param rows: rows shared by the tables of all processes.
    :param late: writes on their way, shared likewise.
    """

    def __init__(self, rows: memory.Rows, late: list[Any]) -> None:
        super().__init__(rows)
        self._late = late
        self.faults.before = self._stop

    async def _stop(self, operation: str) -> None:
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
            raise exceptions.StoreOutcomeUnknown("on its way")
        outcome = self.rows.transact(writes, write_id)
        if delivery is Delivery.ANSWER_LOST:
            raise exceptions.StoreOutcomeUnknown("answer lost")
        return outcome


class Process:
    """Process that does one thing at a time, step by step."""

    def __init__(self) -> None:
        self.point: str | None = None
        self.failure: exceptions.StoreError | None = None
        self._coro: Coroutine[Any, Any, Any] | None = None

    @property
    def idle(self) -> bool:
        """Whether nothing is under way."""
        return self._coro is None

    def start(self, coro: Coroutine[Any, Any, Any]) -> None:
        """Run up to the first stop."""
        self._coro = coro
        self.failure = None
        self.step(None)

    def step(self, said: Any) -> None:
        """Run from one stop to the next."""
        assert self._coro is not None
        try:
            self.point = self._coro.send(said)
        except StopIteration:
            self._coro = None
        except exceptions.StoreError as exc:
            self.failure = exc
            self._coro = None

    def crash(self) -> None:
        """Drop what is under way without another step."""
        if self._coro is not None:
            # Closing runs no further call: nothing catches GeneratorExit.
            self._coro.close()
        self._coro = None


def run(coro: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end, every call of the table delivered."""
    said: Any = None
    while True:
        try:
            coro.send(said)
        except StopIteration as done:
            return done.value
        said = Delivery.DELIVERED


def deliver(rows: memory.Rows, late: list[Any], index: int) -> None:
    """Let one of the writes on their way take effect, or not."""
    if late:
        writes, write_id = late.pop(index % len(late))
        rows.transact(writes, write_id)
