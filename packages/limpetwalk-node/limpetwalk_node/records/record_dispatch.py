"""State changes of a record during the attempts of its run."""

from limpetwalk import exceptions
from limpetwalk.records import base as records

from . import record_refusals


class RecordDispatch:
    """Updates the record of one run before and after its attempts.

    :param store: durable records.
    :param record: claimed record; replaced with each state change.
    """

    def __init__(
        self, store: records.RecordStore, record: records.Record
    ) -> None:
        self._store = store
        self.record = record

    async def before_send(self, server: str, attempt_id: str) -> None:
        """Record the dispatch durably.

        :raises Refused: when the dispatch is not known to be durable; nothing
            is sent then.
        """
        try:
            outcome = await self._store.dispatch(
                self.record, attempt_id, server
            )
        except exceptions.StoreError:
            raise record_refusals.dispatch_not_recorded() from None
        if outcome.is_err():
            raise record_refusals.claim_lost()
        self.record = outcome.unwrap()

    async def after_unsent(self) -> None:
        """Return the record to ``claimed`` after an attempt that did not run.

        :raises Refused: when the record can't be changed; no other attempt is
            made then.
        """
        try:
            outcome = await self._store.release(self.record)
        except exceptions.StoreError:
            raise record_refusals.dispatch_not_recorded() from None
        if outcome.is_err():
            raise record_refusals.claim_lost()
        self.record = outcome.unwrap()
