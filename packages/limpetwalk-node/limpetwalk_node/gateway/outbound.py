"""Requests on their way to servers, and what comes back."""

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

# Engine ranks between which priorities are laid out.
MIN_URGENCY_RANK, MAX_URGENCY_RANK = 0, 9
# Least deadline that is told a server, milliseconds.
MIN_DEADLINE_MS = 1


@dataclass(slots=True)
class FailedAttempt:
    """Try that did not bring the answer.

    :param answer: head of a failure that may be passed on as it is.
    """

    outcome: retries.Outcome
    detail: str
    answer: "WholeAnswer | None" = None


@dataclass(slots=True)
class WholeAnswer:
    """Answer that was received whole."""

    head: upstream.ResponseHead
    body: bytes
    server: str


@dataclass(slots=True)
class StartedAnswer:
    """Answer whose head serves and whose body is still to be read.

    :param sent_at: instant at which the request was sent.
    """

    exchange: upstream.Exchange
    head: upstream.ResponseHead
    member: fleet.Member
    model: str
    sent_at: float


def server_headers(
    names: ports.HeaderNames,
    call: calls.Call,
    member: fleet.Member,
    model: str,
    last_event: str,
    time_left: float,
) -> list[tuple[bytes, bytes]]:
    """Return the headers with which a call goes to a server.

    :param model: model that is to answer, or empty for the caller's.
    :param last_event: event after which a stream goes on, or empty.
    :param time_left: seconds until the answer must be out.
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
    kept = [
        (name, value)
        for name, value in call.headers
        if name.lower() not in replaced
    ]
    return kept + [
        (name.encode(), value.encode()) for name, value in added.items()
    ]


async def with_timeout(awaited: Awaitable[T], timeout: float) -> T:
    """Await something for a limited time.

    :raises TimeoutError: when the time is up.
    """
    async with asyncio.timeout(max(0.0, timeout)):
        return await awaited
