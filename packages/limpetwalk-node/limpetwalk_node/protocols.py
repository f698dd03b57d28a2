"""Interfaces of the parts that the callers' API is built on."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from limpetwalk.backends import base as backends
from limpetwalk.conf import snapshot
from limpetwalk.routing import work


class ConfigSource(Protocol):
    """Configuration in force at this node."""

    def current(self) -> snapshot.AppliedSnapshot | None:
        """Return the configuration in force, None before the first."""
        ...

    def is_fresh(self) -> bool:
        """Tell whether it was confirmed within the staleness bound."""
        ...


class ServiceCaller(Protocol):
    """Calls plain services at replicas of its choice."""

    async def call(self, item: work.ServiceWork) -> backends.ServiceAnswer:
        """Return the answer of an idempotent call.

        :raises Refused: when there is no whole answer.
        """
        ...

    async def call_once(
        self,
        item: work.ServiceWork,
        before_send: Callable[[str, str], Awaitable[None]],
        unsent: Callable[[], Awaitable[None]],
    ) -> backends.ServiceAnswer:
        """Return the answer of a non-idempotent call, sent at most once.

        :param before_send: awaited with server and attempt id before any
            byte is sent.
        :param unsent: awaited when the attempt is proved not to have run,
            before another one.
        :raises Refused: when there is no whole answer.
        """
        ...
