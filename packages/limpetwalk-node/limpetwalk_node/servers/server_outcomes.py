"""Outcomes that backend servers keep of requests whose answer was lost."""

import asyncio
from dataclasses import dataclass

from limpetwalk.backends import base as backends
from limpetwalk.records import base as records
from limpetwalk.routing import replicas

ASK_TIMEOUT = 2.0


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Answer that a backend server kept.

    :param service: plain service that gave it.
    :param answer: the answer.
    """

    service: str
    answer: backends.ServiceAnswer


class ServerOutcomes:
    """Asks the backend server that a request was sent to.

    :param directory: replicas by name.
    """

    def __init__(self, directory: replicas.Directory) -> None:
        self._directory = directory

    async def fetch(self, record: records.Record) -> StoredAnswer | None:
        """Return the answer of a dispatched request.

        :returns: None when the server keeps none, does not answer or is no
            longer declared; the request may have run all the same.
        """
        replica = self._directory.replica(record.server)
        if replica is None:
            return None
        try:
            async with asyncio.timeout(ASK_TIMEOUT):
                answer = await replica.client.outcome(record.request_id)
        except (backends.AttemptFailed, TimeoutError):
            return None
        if answer is None:
            return None
        return StoredAnswer(replica.server.service, answer)
