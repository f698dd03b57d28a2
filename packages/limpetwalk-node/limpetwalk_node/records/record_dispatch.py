"""Moves of a record beside the attempts of its run."""

from limpetwalk import exceptions
from limpetwalk.records import base as records

from . import record_refusals


class RecordDispatch:
    """Keeps the record in step with the attempts of one run.

    :param store: durable records.
    :param record: claimed record; replaced with each move.
    """

    def __init__(
        self, store: records.RecordStore, record: records.Record
    ) -> None:
        self._store = store
        self.record = record

    async def before_send(self, server: str, attempt_id: str) -> None:
        """Make the dispatch durable.

        :raises Refused: when it is not; nothing is sent then.
        """
        try:
            moved = await self._store.dispatch(self.record, attempt_id, server)
        except exceptions.StoreError:
            raise record_refusals.store_down() from None
        if moved.is_err():
            raise record_refusals.lost_claim()
        self.record = moved.unwrap()

    async def unsent(self) -> None:
        """Move the record back after an attempt that did not run.

        :raises Refused: when it can't be moved, so no other attempt is made.
        """
        try:
            moved = await self._store.release(self.record)
        except exceptions.StoreError:
            raise record_refusals.store_down() from None
        if moved.is_err():
            raise record_refusals.lost_claim()
        self.record = moved.unwrap()
