"""Dispatch of received messages to their handlers."""

import asyncio
from collections.abc import Callable

from loguru import logger

from .. import metrics as metrics_
from . import base
from . import codec
from . import link as link_
from . import messages

MAX_RUNNING_HANDLERS = 1024
UNKNOWN_MESSAGE = "unknown message"
BUSY = "busy"
HANDLER_FAILED = "handler failed"
NO_REPLY = "no reply"

Reply = Callable[[link_.Link, int, messages.Message], None]


class MessageDispatcher:
    """Runs each handler in its own task, so that none blocks a link.

    :param reply: sends the reply to a call over a link.
    :param metrics: metrics of the process.
    """

    def __init__(self, reply: Reply, metrics: metrics_.Metrics) -> None:
        self._reply = reply
        self._handlers: dict[type[messages.Message], base.Handler] = {}
        self._running: set[asyncio.Task[None]] = set()
        self._unknown = metrics.counter(
            "limpetwalk_peer_unknown_messages",
            "Messages of a kind that this node does not handle.",
        )
        self._busy = metrics.counter(
            "limpetwalk_peer_refused_messages",
            "Messages refused because too many handlers were running.",
        )
        self._errors = metrics.counter(
            "limpetwalk_peer_handler_errors",
            "Messages whose handler raised an exception.",
            ("kind",),
        )

    def subscribe(
        self, message_type: type[messages.Message], handler: base.Handler
    ) -> None:
        """Register the handler of one type of message."""
        self._handlers[message_type] = handler

    async def stop(self) -> None:
        """Cancel the running handlers."""
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)

    def handle(self, link: link_.Link, envelope: codec.Envelope) -> None:
        """Start the handler of a message.

        A message is refused while ``MAX_RUNNING_HANDLERS`` are running.
        """
        handler = self._handlers.get(type(envelope.message))
        if handler is None:
            if not isinstance(envelope.message, messages.Heartbeat):
                self.reject_unknown(link, envelope.call_id)
            return
        if len(self._running) >= MAX_RUNNING_HANDLERS:
            self._busy.inc()
            self._fail(link, envelope.call_id, BUSY)
            return
        task = asyncio.create_task(self._run(handler, link, envelope))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def reject_unknown(self, link: link_.Link, call_id: int) -> None:
        """Count a message that has no handler, and fail its call if any."""
        self._unknown.inc()
        self._fail(link, call_id, UNKNOWN_MESSAGE)

    def _fail(self, link: link_.Link, call_id: int, text: str) -> None:
        if call_id:
            self._reply(link, call_id, messages.Failure(text))

    async def _run(
        self,
        handler: base.Handler,
        link: link_.Link,
        envelope: codec.Envelope,
    ) -> None:
        try:
            reply = await handler(envelope.sender, envelope.message)
        except Exception as exc:
            kind = type(envelope.message).__name__
            self._errors.labels(kind).inc()
            logger.opt(exception=exc).debug(
                "handler of {} from peer failed", kind
            )
            reply = messages.Failure(HANDLER_FAILED)
        if envelope.call_id:
            reply = reply or messages.Failure(NO_REPLY)
            self._reply(link, envelope.call_id, reply)
