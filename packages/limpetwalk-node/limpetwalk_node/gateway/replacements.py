"""Seeks other servers for a call while one is silent.

Serves sound servers that pause for a second and go on. A silent server is
given up only when another one has begun to answer, so a caller never loses an
answer for which there is no replacement.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
import math
from typing import Any
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class Replacements(Generic[T]):
    """Searches for a server that begins to answer a call.

    The first answer that begins ends the other searches.

    :param search: sends the call to servers until one begins to answer, and
        returns None when none does.
    :param discard: ends an answer that isn't used.
    :param may_add: returns whether another search may start.
    """

    def __init__(
        self,
        search: Callable[[], Coroutine[Any, Any, T | None]],
        discard: Callable[[T], None],
        may_add: Callable[[], bool],
    ) -> None:
        self._search = search
        self._discard = discard
        self._may_add = may_add
        self._searches: set[asyncio.Task[T | None]] = set()
        self._found: T | None = None
        self._next_add_at = -math.inf

    @property
    def pending(self) -> bool:
        """Whether a replacement was found or is being searched for."""
        return self._found is not None or bool(self._searches)

    async def first(self, patience: float | None) -> T | None:
        """Return an answer that has begun, None when no server answers.

        :param patience: time without an answer after which another server is
            asked too, in seconds; None to wait for the first one.
        """
        if not self.pending:
            self._start()
            self._postpone(patience)
        while self._found is None and self._searches:
            await self._wait(frozenset(), patience)
        found, self._found = self._found, None
        return found

    async def found_before(
        self, read: asyncio.Future[Any], patience: float
    ) -> bool:
        """Search until a read ends; return whether a replacement was found.

        :param read: read of the answer that is silent.
        :param patience: time without a result after which another server is
            asked, in seconds.
        """
        self._add(patience)
        while not read.done() and self._found is None:
            await self._wait({read}, patience)
        return not read.done()

    async def drop(self) -> None:
        """End all searches, and the answer that was found."""
        searches, self._searches = self._searches, set()
        for search in searches:
            search.cancel()
        results = await asyncio.gather(*searches, return_exceptions=True)
        for result in (self._found, *results):
            if result is not None and not isinstance(result, BaseException):
                self._discard(result)
        self._found = None

    def _start(self) -> None:
        self._searches.add(asyncio.create_task(self._search()))

    def _postpone(self, patience: float | None) -> None:
        now = asyncio.get_running_loop().time()
        self._next_add_at = math.inf if patience is None else now + patience

    def _add(self, patience: float | None) -> None:
        """Start another search if it is time and the call allows it."""
        if self._time_to_add() > 0:
            return
        self._postpone(patience)
        if self._may_add():
            self._start()

    def _time_to_add(self) -> float:
        return self._next_add_at - asyncio.get_running_loop().time()

    async def _wait(
        self, others: Collection[asyncio.Future[Any]], patience: float | None
    ) -> None:
        """Wait for a search or another future, or until it is time to add.

        :param patience: time between two additions, in seconds, or None.
        """
        timeout = None if patience is None else max(0.0, self._time_to_add())
        done, _ = await asyncio.wait(
            {*self._searches, *others},
            timeout=timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            self._add(patience)
        ended = self._searches & done
        self._searches -= ended
        for search in ended:
            answer = search.result()
            if answer is None:
                continue
            if self._found is not None:
                self._discard(self._found)
            self._found = answer
        if self._found is not None:
            found, self._found = self._found, None
            await self.drop()
            self._found = found
