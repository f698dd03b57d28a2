"""Memory of a node for what callers and servers have sent.

Serves callers that together send more than a node can hold: bodies of allowed
size, but many. Each body is held from before it is read until its request has
ended, since it may be sent again. The account counts all that is held. When
room is short, bodies that aren't complete and answers that aren't read give
way if they have made no progress, so that callers who stop half-way don't keep
the others out; else bodies of new requests are turned away. A workspace may
take a multiple of what is free, so that there is always room for the others,
however many bodies one of them sends.
"""

import collections
from collections.abc import Callable

from limpetwalk import clock as clocks

# Parts that are counted here.
BODIES, ANSWERS = "request_bodies", "answers"
# Multiple of the free memory that one workspace may hold: alone, it gets two
# thirds of all.
SHARE_OF_FREE = 2.0
# Size of a body that is let in beyond its workspace's share, as a fraction of
# all memory. Such bodies don't fill a node.
SMALL_BODY = 1 / 1000
# Fraction of all memory below which the bound no longer holds.
RELAXED_FRACTION = 0.5
# Time without progress after which what is held gives way, seconds, and the
# number of bytes that count as progress. Callers who send or read at all are
# faster by far.
STALL_TIME = 1.0
PROGRESS_BYTES = 16 * 1024
# Fraction of all memory that complete answers may take while there is no room.
# Beyond it, the one that has been held for longest gives way at once.
ANSWERS_FRACTION = 0.25


class MemoryAccount:
    """Account of the bytes that a node holds.

    :param limit_bytes: returns the largest number of bytes held.
    :param on_bound: called with whether bodies are turned away from now on.
    :param on_yield: called with the part when something held gives way.
    """

    def __init__(
        self,
        limit_bytes: Callable[[], float],
        on_bound: Callable[[bool], None] = lambda holds: None,
        on_yield: Callable[[str], None] = lambda part: None,
        clock: clocks.Clock | None = None,
    ) -> None:
        self.limit_bytes = limit_bytes
        self._on_bound = on_bound
        self._on_yield = on_yield
        self._clock = clock or clocks.SystemClock()
        # What may give way, that without progress for longest first.
        self._yielding: dict[HeldBytes, float] = {}
        self._bound_holds = False
        self._held = {BODIES: 0, ANSWERS: 0}
        self._held_by: collections.Counter[str] = collections.Counter()
        self._counted: dict[str, Callable[[], int]] = {}

    def count(self, part: str, size: Callable[[], int]) -> None:
        """Add a part that is bounded elsewhere.

        :param size: returns its size, in bytes.
        """
        self._counted[part] = size

    @property
    def parts(self) -> dict[str, int]:
        """Bytes held, by part."""
        counted = {part: size() for part, size in self._counted.items()}
        return {**self._held, **counted}

    @property
    def total_bytes(self) -> int:
        """Number of bytes held."""
        return sum(self.parts.values())

    def body(
        self, workspace: str, on_yield: Callable[[], None] | None = None
    ) -> "HeldBytes":
        """Return what a request of a workspace holds, nothing at first.

        :param on_yield: refuses the request while its body isn't complete;
            None if it gives way to no other.
        """
        return HeldBytes(self, BODIES, workspace, on_yield)

    def answer(
        self, size: int, on_yield: Callable[[], None] | None = None
    ) -> "HeldBytes":
        """Hold a complete answer, which is delivered if its caller reads.

        :param on_yield: breaks the answer off; None if it gives way to no
            other.
        """
        held = HeldBytes(self, ANSWERS, None, on_yield)
        held.add(size)
        while (
            self.total_bytes > self.limit_bytes()
            and self._held[ANSWERS] > ANSWERS_FRACTION * self.limit_bytes()
            and (oldest := self._oldest_answer(held)) is not None
        ):
            oldest.give_way()
        return held

    def yield_stalled(self) -> bool:
        """Let that which has made no progress for longest give way.

        :returns: whether there was anything.
        """
        stalled_since = self._clock.monotonic() - STALL_TIME
        for held, progress_at in self._yielding.items():
            if progress_at > stalled_since:
                return False
            held.give_way()
            return True
        return False

    def _oldest_answer(self, latest: "HeldBytes") -> "HeldBytes | None":
        for held in self._yielding:
            if held.part == ANSWERS and held is not latest:
                return held
        return None

    def has_room(self, workspace: str, size: int) -> bool:
        """Return whether a workspace may hold some bytes more.

        What has made no progress gives way to them.
        """
        while not self._has_room(workspace, size):
            if size > self.limit_bytes() or not self.yield_stalled():
                self._set_bound(True)
                return False
        return True

    def _has_room(self, workspace: str, size: int) -> bool:
        limit = self.limit_bytes()
        free = limit - self.total_bytes
        of_workspace = self._held_by[workspace] + size
        is_small = size <= limit * SMALL_BODY
        in_share = of_workspace <= SHARE_OF_FREE * (free - size)
        return size <= free and (is_small or in_share)

    def _add(self, part: str, workspace: str | None, size: int) -> None:
        self._held[part] += size
        if workspace is not None:
            self._held_by[workspace] += size
            if not self._held_by[workspace]:
                del self._held_by[workspace]
        if (
            self._bound_holds
            and self.total_bytes <= RELAXED_FRACTION * self.limit_bytes()
        ):
            self._set_bound(False)

    def _set_bound(self, holds: bool) -> None:
        if holds != self._bound_holds:
            self._bound_holds = holds
            self._on_bound(holds)


class HeldBytes:
    """Bytes that one request or answer holds.

    :param workspace: name of the workspace whose share it uses, or None.
    :param on_yield: ends what holds them; None if they don't give way.
    :ivar gave_way: whether they gave way to others.
    """

    def __init__(
        self,
        account: MemoryAccount,
        part: str,
        workspace: str | None,
        on_yield: Callable[[], None] | None = None,
    ) -> None:
        self._account = account
        self.part = part
        self._workspace = workspace
        self._on_yield = on_yield
        self._size = 0
        self._progress_bytes = 0
        self.gave_way = False
        if on_yield is not None:
            account._yielding[self] = account._clock.monotonic()

    def try_add(self, size: int) -> bool:
        """Hold some bytes more, if there is room for them."""
        if not self._account.has_room(self._workspace or "", size):
            return False
        self.add(size)
        return True

    def add(self, size: int) -> None:
        """Hold some bytes more, whether there is room or not."""
        self._size += size
        self._account._add(self.part, self._workspace, size)

    def record_progress(self, size: int) -> None:
        """Record that some bytes were received, or read by the caller."""
        self._progress_bytes += size
        yielding = self._account._yielding
        if self._progress_bytes >= PROGRESS_BYTES and self in yielding:
            self._progress_bytes = 0
            del yielding[self]
            yielding[self] = self._account._clock.monotonic()

    def keep(self) -> None:
        """Give way no more, since a body is complete."""
        self._account._yielding.pop(self, None)

    def give_way(self) -> None:
        """Release the bytes, and end what holds them."""
        self.gave_way = True
        self.release()
        self._account._on_yield(self.part)
        if self._on_yield is not None:
            self._on_yield()

    def release(self) -> None:
        """Hold nothing any more."""
        self.keep()
        size, self._size = self._size, 0
        if size:
            self._account._add(self.part, self._workspace, -size)
