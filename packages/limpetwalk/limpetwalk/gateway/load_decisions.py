"""Interfaces between the decisions that nodes make under load.

The dispatcher asks these in turn: which request may proceed, which servers may
be sent a request now, and how fast each of them is. Each decision is a module
of its own, without a network.
"""

from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Protocol

from result import Result

from . import call as calls
from . import fleet
from . import refusal


class ServerSpeeds(Protocol):
    """How fast each server is, compared with the others of its service."""

    def time_factor(self, server_id: str) -> float:
        """Return the time that a server needs, against its service's mean.

        :returns: 1 for a server as fast as the mean, 2 for one that needs
            twice the time; 1 when too little is known.
        """


class ServerPace(Protocol):
    """How many requests a server may get after it started or recovered."""

    def may_send(self, member: fleet.Member) -> bool:
        """Return whether this node may send a server a request now."""

    def record_sent(self, member: fleet.Member) -> None:
        """Record that a request is sent to a server."""

    def record_answer(
        self, member: fleet.Member, seconds: float, expected: float
    ) -> None:
        """Record the head of an answer.

        :param seconds: time from the request to the head.
        :param expected: time that was expected when the request was placed.
        """

    def record_failure(self, member: fleet.Member) -> None:
        """Record that a request failed or was rejected at a server."""


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission of a request to be sent to a server of its service.

    :param waited: seconds for which it waited.
    :param workspace: workspace that it counts against, or None when requests
        of the service aren't ordered.
    """

    service: str
    waited: float = 0.0
    workspace: str | None = None


class RequestQueue(Protocol):
    """Order in which requests proceed when a service is short of room."""

    def enter(
        self, call: calls.Call
    ) -> Awaitable[Result[Permit, refusal.Refusal]]:
        """Wait until a request may proceed.

        A request that can't be served in time is refused at once. Cancelling
        the wait leaves the queue.
        """

    def leave(self, permit: Permit) -> None:
        """Return the room that a permit holds."""
