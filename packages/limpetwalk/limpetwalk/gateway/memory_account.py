"""Memory of a node for what callers and servers have sent.

Serves callers that together send more than a node can hold: bodies of allowed
size, but many. Each body is held from before it is read until its request has
ended, since it may be sent again. The account counts all that is held; only
bodies of new requests are turned away. A workspace may take a multiple of what
is free, so that there is always room for the others, however many bodies one
of them sends.
"""

import collections
from collections.abc import Callable

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


class MemoryAccount:
    """Account of the bytes that a node holds.

    :param limit_bytes: returns the largest number of bytes held.
    :param on_bound: called with whether bodies are turned away from now on.
    """

    def __init__(
        self,
        limit_bytes: Callable[[], float],
        on_bound: Callable[[bool], None] = lambda holds: None,
    ) -> None:
        self.limit_bytes = limit_bytes
        self._on_bound = on_bound
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

    def body(self, workspace: str) -> "HeldBytes":
        """Return what a request of a workspace holds, nothing at first."""
        return HeldBytes(self, BODIES, workspace)

    def answer(self, size: int) -> "HeldBytes":
        """Hold a complete answer, which is delivered in any case."""
        held = HeldBytes(self, ANSWERS, None)
        held.add(size)
        return held

    def has_room(self, workspace: str, size: int) -> bool:
        """Return whether a workspace may hold some bytes more."""
        limit = self.limit_bytes()
        free = limit - self.total_bytes
        of_workspace = self._held_by[workspace] + size
        is_small = size <= limit * SMALL_BODY
        in_share = of_workspace <= SHARE_OF_FREE * (free - size)
        if size <= free and (is_small or in_share):
            return True
        self._set_bound(True)
        return False

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
    """

    def __init__(
        self, account: MemoryAccount, part: str, workspace: str | None
    ) -> None:
        self._account = account
        self._part = part
        self._workspace = workspace
        self._size = 0

    def try_add(self, size: int) -> bool:
        """Hold some bytes more, if there is room for them."""
        if not self._account.has_room(self._workspace or "", size):
            return False
        self.add(size)
        return True

    def add(self, size: int) -> None:
        """Hold some bytes more, whether there is room or not."""
        self._size += size
        self._account._add(self._part, self._workspace, size)

    def release(self) -> None:
        """Hold nothing any more."""
        size, self._size = self._size, 0
        if size:
            self._account._add(self._part, self._workspace, -size)
