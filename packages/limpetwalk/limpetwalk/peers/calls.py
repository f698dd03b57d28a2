"""Requests to peers that wait for their replies."""

import asyncio

from .. import exceptions
from . import messages


class Calls:
    """Book of pending requests."""

    def __init__(self) -> None:
        self._last_id = 0
        self._pending: dict[int, tuple[str, asyncio.Future]] = {}

    def open(self, peer: str) -> tuple[int, asyncio.Future]:
        """Return a new call id and the future of its reply."""
        self._last_id += 1
        fut = asyncio.get_running_loop().create_future()
        self._pending[self._last_id] = (peer, fut)
        return self._last_id, fut

    def close(self, call_id: int) -> None:
        """Forget a call; a later reply is ignored."""
        self._pending.pop(call_id, None)

    def resolve(
        self, peer: str, call_id: int, message: messages.Message
    ) -> bool:
        """Hand over a reply.

        :returns: False when no call to that peer waits for it.
        """
        waiting_for, fut = self._pending.get(call_id, ("", None))
        if fut is None or waiting_for != peer or fut.done():
            return False
        if isinstance(message, messages.Failure):
            fut.set_exception(exceptions.PeerUnavailable(message.text))
        else:
            fut.set_result(message)
        return True

    def fail(self, peer: str) -> None:
        """Fail the calls to a peer whose last link is lost."""
        for waiting_for, fut in self._pending.values():
            if waiting_for == peer and not fut.done():
                fut.set_exception(
                    exceptions.PeerUnavailable(f"link to {peer} was lost")
                )
