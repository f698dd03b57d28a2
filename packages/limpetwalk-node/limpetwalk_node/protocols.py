"""Interfaces of the components that the callers' API uses."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from limpetwalk.backends import base as backends
from limpetwalk.conf import snapshot
from limpetwalk.routing import work


class ConfigSource(Protocol):
    """Source of the configuration in force at this node."""

    def current(self) -> snapshot.AppliedSnapshot | None:
        """Return the configuration in force, or None before the first."""
        ...

    def is_fresh(self) -> bool:
        """Return whether it was confirmed within the staleness bound."""
        ...


class ServiceCaller(Protocol):
    """Calls plain services and chooses the replica of each call."""

    async def call(self, item: work.ServiceWork) -> backends.ServiceAnswer:
        """Return the answer of an idempotent call.

        :raises Refused: when no complete answer could be obtained.
        """
        ...

    async def call_once(
        self,
        item: work.ServiceWork,
        before_send: Callable[[str, str], Awaitable[None]],
        on_unsent: Callable[[], Awaitable[None]],
    ) -> backends.ServiceAnswer:
        """Return the answer of a non-idempotent call, run at most once.

        :param before_send: awaited with server and attempt id before any
            byte is sent.
        :param on_unsent: awaited when an attempt is known not to have run,
            before the next attempt.
        :raises Refused: when no complete answer could be obtained.
        """
        ...
