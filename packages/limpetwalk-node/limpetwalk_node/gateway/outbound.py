"""Headers of requests to servers, and the results of attempts."""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import TypeVar

from limpetwalk.gateway import call as calls
from limpetwalk.gateway import fleet
from limpetwalk.gateway import ports
from limpetwalk.gateway import retries

from . import upstream

T = TypeVar("T")

# Bounds of the urgency rank that is sent to engines; 0 is the most urgent.
MIN_URGENCY_RANK, MAX_URGENCY_RANK = 0, 9
# Shortest deadline that is sent to a server, milliseconds.
MIN_DEADLINE_MS = 1


@dataclass(slots=True)
class FailedAttempt:
    """Attempt that did not yield the answer.

    :param answer: answer of a failure that may be passed on unchanged.
    :param limit: name of the limit that the answer exceeded, or empty.
    :param link_lost: whether the cause is this node's link to the server.
    """

    outcome: retries.Outcome
    detail: str
    answer: "CompleteAnswer | None" = None
    limit: str = ""
    link_lost: bool = False

    @classmethod
    def unreached(cls, exc: upstream.ServerUnreachable) -> "FailedAttempt":
        """Return the attempt that found no way to its server."""
        return cls(
            retries.Outcome.UNREACHED, str(exc), link_lost=exc.link_lost
        )

    @classmethod
    def incomplete(cls, exc: upstream.IncompleteAnswer) -> "FailedAttempt":
        """Return the attempt whose answer was incomplete."""
        return cls(retries.Outcome.UNKNOWN, str(exc), limit=exc.limit)


def preferred_failure(
    known: FailedAttempt | None, latest: FailedAttempt
) -> FailedAttempt:
    """Return the failure to tell the caller of, of two."""
    if known is not None and known.answer is not None:
        return known if latest.answer is None else latest
    return latest


@dataclass(slots=True)
class CompleteAnswer:
    """Answer that was received completely."""

    head: upstream.ResponseHead
    body: bytes
    server: str


@dataclass(slots=True)
class StartedAnswer:
    """Answer whose headers were accepted and whose body is still unread.

    :param sent_at: instant at which the request was sent.
    :param slow: whether its head took unusually long.
    :param first_bytes: bytes of the body that were read already.
    """

    exchange: upstream.Exchange
    head: upstream.ResponseHead
    member: fleet.Member
    model: str
    sent_at: float
    slow: bool = False
    first_bytes: bytes = b""


def server_headers(
    names: ports.HeaderNames,
    call: calls.Call,
    member: fleet.Member,
    model: str,
    last_event: str,
    time_left: float,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request to a server.

    :param model: model that must answer, or empty for the caller's choice.
    :param last_event: id of the event after which a stream is resumed, or
        empty.
    :param time_left: seconds until the answer must be sent.
    """
    added = {
        names.deadline: str(max(MIN_DEADLINE_MS, int(time_left * 1000))),
        names.target: member.id,
    }
    if call.workspace is not None:
        added[names.workspace] = call.workspace.name
    if call.route.streaming:
        rank = min(MAX_URGENCY_RANK, max(MIN_URGENCY_RANK, call.priority))
        added[names.urgency] = str(rank)
    if model:
        added[names.model] = model
    if last_event:
        added[names.last_event] = last_event
    replaced = {name.lower().encode() for name in added}
    forwarded = [
        (name, value)
        for name, value in call.headers
        if name.lower() not in replaced
    ]
    return forwarded + [
        (name.encode(), value.encode()) for name, value in added.items()
    ]


async def with_timeout(awaitable: Awaitable[T], timeout: float) -> T:
    """Return the result of an awaitable that finishes within a timeout.

    :param timeout: longest time to wait, in seconds.
    :raises TimeoutError: when the timeout expires.
    """
    async with asyncio.timeout(max(0.0, timeout)):
        return await awaitable
