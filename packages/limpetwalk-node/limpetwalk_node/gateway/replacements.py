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
    :param try_add: returns whether another search may start, and takes what
        it costs.
    :param on_error: called with the error of a search that failed.
    """

    def __init__(
        self,
        search: Callable[[], Coroutine[Any, Any, T | None]],
        discard: Callable[[T], None],
        try_add: Callable[[], bool],
        on_error: Callable[[Exception], None],
    ) -> None:
        self._search = search
        self._discard = discard
        self._try_add = try_add
        self._on_error = on_error
        self._searches: set[asyncio.Task[T | None]] = set()
        self._found: T | None = None
        self._next_add_at = -math.inf

    @property
    def pending(self) -> bool:
        """Whether a replacement was found or is being searched for."""
        return self._found is not None or bool(self._searches)

    async def first(self, patience: float) -> T | None:
        """Return an answer that has begun, None when no server answers.

        :param patience: time without an answer after which another server is
            asked too, in seconds.
        """
        if not self.pending:
            self._start()
        self._postpone(patience)
        while self._found is None and self._searches:
            await self._wait(frozenset(), patience)
        found, self._found = self._found, None
        self._next_add_at = -math.inf
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

    def drop(self) -> None:
        """End all searches, and the answer that was found."""
        for search in self._searches:
            search.add_done_callback(self._discard_result)
            search.cancel()
        self._searches = set()
        self._next_add_at = -math.inf
        if self._found is not None:
            self._discard(self._found)
            self._found = None

    def _start(self) -> None:
        self._searches.add(asyncio.create_task(self._search()))

    def _postpone(self, patience: float) -> None:
        self._next_add_at = asyncio.get_running_loop().time() + patience

    def _add(self, patience: float) -> None:
        """Start another search if it is time and the call allows it."""
        if self._time_to_add() > 0:
            return
        self._postpone(patience)
        if self._try_add():
            self._start()

    def _time_to_add(self) -> float:
        return self._next_add_at - asyncio.get_running_loop().time()

    async def _wait(
        self, others: Collection[asyncio.Future[Any]], patience: float
    ) -> None:
        """Wait for a search or another future, or until it is time to add.

        :param patience: time between two additions, in seconds.
        """
        timeout = self._time_to_add()
        done, _ = await asyncio.wait(
            {*self._searches, *others},
            timeout=max(0.0, timeout) if math.isfinite(timeout) else None,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            self._add(patience)
        for search in self._searches & done:
            self._searches.discard(search)
            if self._found is None:
                self._found = self._result(search)
            else:
                self._discard_result(search)
        if self._found is not None:
            found, self._found = self._found, None
            self.drop()
            self._found = found

    def _result(self, search: asyncio.Task[T | None]) -> T | None:
        """Return the answer of a search that has ended, None without one."""
        if search.cancelled():
            return None
        exc = search.exception()
        if isinstance(exc, Exception):
            self._on_error(exc)
        return None if exc is not None else search.result()

    def _discard_result(self, search: asyncio.Task[T | None]) -> None:
        answer = self._result(search)
        if answer is not None:
            self._discard(answer)
