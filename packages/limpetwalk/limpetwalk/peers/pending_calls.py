"""Requests to peers whose replies are pending."""

import asyncio

from .. import exceptions
from . import messages


class PendingCalls:
    """Requests that wait for a reply, by call id."""

    def __init__(self) -> None:
        self._last_id = 0
        self._pending: dict[int, tuple[str, asyncio.Future]] = {}

    def open(self, peer: str) -> tuple[int, asyncio.Future]:
        """Register a call; return its new id and the future of its reply."""
        self._last_id += 1
        fut = asyncio.get_running_loop().create_future()
        self._pending[self._last_id] = (peer, fut)
        return self._last_id, fut

    def close(self, call_id: int) -> None:
        """Remove a call, so that a later reply to it is ignored."""
        self._pending.pop(call_id, None)

    def resolve(
        self, peer: str, call_id: int, message: messages.Message
    ) -> bool:
        """Complete a call with its reply.

        A ``Failure`` fails the call with ``PeerUnavailable``.

        :returns: False when no pending call to that peer has this id.
        """
        callee, fut = self._pending.get(call_id, ("", None))
        if fut is None or callee != peer or fut.done():
            return False
        if isinstance(message, messages.Failure):
            fut.set_exception(exceptions.PeerUnavailable(message.text))
        else:
            fut.set_result(message)
        return True

    def fail(self, peer: str) -> None:
        """Fail all calls to a peer whose last link was lost."""
        for callee, fut in self._pending.values():
            if callee == peer and not fut.done():
                fut.set_exception(
                    exceptions.PeerUnavailable(f"link to {peer} was lost")
                )
