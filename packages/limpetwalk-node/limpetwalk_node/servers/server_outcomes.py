"""Answers stored by backend servers for requests whose answer was lost."""

import asyncio
from dataclasses import dataclass

from limpetwalk.backends import base as backends
from limpetwalk.records import base as records
from limpetwalk.routing import replicas

FETCH_TIMEOUT = 2.0  # seconds


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Answer that a backend server has stored.

    :param service: plain service that gave it.
    :param answer: the answer.
    """

    service: str
    answer: backends.ServiceAnswer


class ServerOutcomes:
    """Fetches stored answers from the servers that requests were sent to.

    :param directory: replicas by name.
    """

    def __init__(self, directory: replicas.Directory) -> None:
        self._directory = directory

    async def fetch(self, record: records.Record) -> StoredAnswer | None:
        """Return the stored answer to a dispatched request.

        :returns: None when the server has stored none, does not respond or is
            no longer declared; the request may have run nevertheless.
        """
        replica = self._directory.replica(record.server)
        if replica is None:
            return None
        try:
            async with asyncio.timeout(FETCH_TIMEOUT):
                answer = await replica.client.fetch_outcome(record.request_id)
        except (backends.AttemptFailed, TimeoutError):
            return None
        if answer is None:
            return None
        return StoredAnswer(replica.server.service, answer)
