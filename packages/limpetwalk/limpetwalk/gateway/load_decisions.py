"""Interfaces between the decisions that nodes make under load.

The dispatcher asks which servers may be sent a request now, and how fast each
of them is. Each decision is a module of its own, without a network.
"""

from typing import Protocol

from . import fleet


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

    def with_room(self, members: list[fleet.Member]) -> list[fleet.Member]:
        """Return those of some servers that should get a request.

        :returns: all of them when none should.
        """

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
