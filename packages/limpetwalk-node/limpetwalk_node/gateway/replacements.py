"""Seeks other servers for a call while one is silent.

Serves sound servers that pause for a second and go on. A silent server is
given up only when another one has begun to answer, so a caller never loses an
answer for which there is no replacement.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
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
            self._add()
        while self._found is None and self._searches:
            if not await self._wait(frozenset(), patience):
                self.add()
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
        self.add()
        while not read.done() and self._found is None:
            if not await self._wait({read}, patience):
                self.add()
        return not read.done()

    def add(self) -> None:
        """Start another search if the call allows it."""
        if self._may_add():
            self._add()

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

    def _add(self) -> None:
        self._searches.add(asyncio.create_task(self._search()))

    async def _wait(
        self, others: Collection[asyncio.Future[Any]], patience: float | None
    ) -> bool:
        """Wait for a search or another future; return False after a timeout.

        :param patience: longest time to wait, in seconds, or None.
        """
        done, _ = await asyncio.wait(
            {*self._searches, *others},
            timeout=patience,
            return_when=asyncio.FIRST_COMPLETED,
        )
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
        return bool(done)
