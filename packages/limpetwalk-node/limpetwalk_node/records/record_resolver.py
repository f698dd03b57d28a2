"""Settling of records whose run left no answer."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from limpetwalk.records import base as records

from ..billing import answer_biller
from ..servers import server_outcomes
from . import record_writer

FetchAnswer = Callable[
    [records.Record], Awaitable[server_outcomes.StoredAnswer | None]
]

_LEFT_OPEN = (records.RecordState.DISPATCHED, records.RecordState.UNKNOWN)


class RecordResolver:
    """Asks backend servers for the outcomes of records left open.

    :param ask: asks the backend server of a record.
    :param notes: notes the end of runs.
    :param bills_: writes bill entries.
    """

    def __init__(
        self,
        ask: FetchAnswer,
        notes: record_writer.RecordWriter,
        bills_: answer_biller.AnswerBiller,
    ) -> None:
        self._ask = ask
        self._notes = notes
        self._bills = bills_

    async def resolve(self, record: records.Record) -> records.Record:
        """Settle a record that nobody is at work on.

        The request is never sent again. An answer that the server kept is
        stored and billed; without one the record is closed as unknown.

        :returns: the record as it stands then.
        """
        if record.state not in _LEFT_OPEN:
            return record
        found = await self._ask(record)
        if found is not None:
            return await self._take(record, found)
        if record.state is records.RecordState.DISPATCHED:
            await self._notes.finish(record, records.RecordState.UNKNOWN)
        return dataclasses.replace(record, state=records.RecordState.UNKNOWN)

    async def _take(
        self, record: records.Record, found: server_outcomes.StoredAnswer
    ) -> records.Record:
        await self._notes.answer(record, found.answer)
        ident = record.ident
        await self._bills.write_service_call(
            ident.workspace, ident.key, record.request_id, found.service
        )
        return dataclasses.replace(
            record, state=records.RecordState.ANSWERED, answer=found.answer
        )
