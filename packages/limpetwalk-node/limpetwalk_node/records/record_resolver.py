"""Resolves records whose run left no outcome."""

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

_OPEN_STATES = (records.RecordState.DISPATCHED, records.RecordState.UNKNOWN)


class RecordResolver:
    """Resolves open records by the answers that backend servers stored.

    :param fetch_answer: returns the answer that the backend server of a
        record stored, or None.
    :param outcome_writer: writes the outcomes of runs to records.
    :param biller: writes bill entries.
    """

    def __init__(
        self,
        fetch_answer: FetchAnswer,
        outcome_writer: record_writer.RecordWriter,
        biller: answer_biller.AnswerBiller,
    ) -> None:
        self._fetch_answer = fetch_answer
        self._outcome_writer = outcome_writer
        self._biller = biller

    async def resolve(self, record: records.Record) -> records.Record:
        """Resolve a record that no node is working on.

        The request is never sent again. An answer that the server stored is
        written to the record and billed. Without one, the record is closed as
        unknown.

        :returns: record in its new state.
        """
        if record.state not in _OPEN_STATES:
            return record
        stored = await self._fetch_answer(record)
        if stored is not None:
            return await self._apply_answer(record, stored)
        if record.state is records.RecordState.DISPATCHED:
            await self._outcome_writer.finish(
                record, records.RecordState.UNKNOWN
            )
        return dataclasses.replace(record, state=records.RecordState.UNKNOWN)

    async def _apply_answer(
        self, record: records.Record, stored: server_outcomes.StoredAnswer
    ) -> records.Record:
        await self._outcome_writer.answer(record, stored.answer)
        ident = record.ident
        await self._biller.write_service_call(
            ident.workspace, ident.key, record.request_id, stored.service
        )
        return dataclasses.replace(
            record, state=records.RecordState.ANSWERED, answer=stored.answer
        )
