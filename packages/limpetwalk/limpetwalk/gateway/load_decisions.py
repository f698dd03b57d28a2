"""Interfaces between the decisions that nodes make under load."""

from typing import Protocol


class ServerSpeeds(Protocol):
    """How fast each server is, compared with the others of its service."""

    def time_factor(self, server_id: str) -> float:
        """Return the time that a server needs, against its service's mean.

        :returns: 1 for a server as fast as the mean, 2 for one that needs
            twice the time; 1 when too little is known.
        """
