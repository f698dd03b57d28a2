"""Records of non-idempotent requests in the table service."""

from collections.abc import Callable
import dataclasses
import uuid

from result import Err
from result import Ok
from result import Result

from .. import clock as clocks
from .. import exceptions
from ..backends import base as backends
from ..providers import base as platform
from ..providers import settle
from . import answer_bodies
from . import base
from . import rows

# A claim that is not dispatched within this time may be taken over although
# its holder is live: the table service's answer may not have reached the
# holder.
CLAIM_TTL = 30.0  # seconds

State = base.RecordState


class TableRecordStore:
    """Records in the table service; changes are conditional on the version.

    :param table: table service.
    :param clock: source of time.
    :param holder: name of this node, unique to each start of its process.
    :param is_live: returns whether the node with a holder's name may still
        be working; a wrong result can cost a claim, but never cause a second
        run.
    :param ttl: returns the configured lifetime of a record, in seconds.
    :param objects: store of large answers; without one, a large answer
        raises ``StoreUnavailable``.
    """

    def __init__(
        self,
        table: platform.TableStore,
        clock: clocks.Clock,
        holder: str,
        is_live: Callable[[str], bool],
        ttl: Callable[[], float],
        objects: platform.ObjectStore | None = None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._holder = holder
        self._is_live = is_live
        self._ttl = ttl
        self._answer_bodies = answer_bodies.AnswerBodies(objects)

    async def claim(
        self, ident: base.RecordIdent, request_id: str
    ) -> base.ClaimOutcome:
        """Claim a key, or return the record that it already has."""
        key = rows.row_key(ident.workspace, ident.key)
        value = rows.RecordValue(
            body_digest=ident.body_digest,
            state=State.CLAIMED,
            request_id=request_id,
            holder=self._holder,
            claimed_until=self._clock.wall() + CLAIM_TTL,
        )
        row = await self._table.get(key)
        if row is not None and not self._may_claim(row, ident):
            return await self._existing_outcome(row, ident)
        version = 0 if row is None else row.version
        outcome = await self._write(key, version, value)
        if isinstance(outcome, Ok):
            return base.Claimed(
                rows.decode_record(
                    ident.workspace, outcome.ok_value, value, None
                )
            )
        row = await self._table.get(key)
        if row is None:
            raise exceptions.StoreUnavailable(
                "the claim conflicted with another write, but the record"
                " does not exist"
            )
        return await self._existing_outcome(row, ident)

    async def dispatch(
        self, record: base.Record, attempt_id: str, server: str
    ) -> Result[base.Record, base.LostClaim]:
        """Record the dispatch durably; required before any byte is sent."""
        changed = dataclasses.replace(
            record,
            state=State.DISPATCHED,
            attempt_id=attempt_id,
            server=server,
        )
        return await self._change(record, changed, State.CLAIMED)

    async def release(
        self, record: base.Record
    ) -> Result[base.Record, base.LostClaim]:
        """Return a record to ``claimed`` after an attempt was not sent.

        Only the node that dispatched the attempt can release it.
        """
        if record.holder != self._holder:
            return Err(base.LostClaim(record))
        changed = dataclasses.replace(
            record, state=State.CLAIMED, attempt_id="", server=""
        )
        return await self._change(record, changed, State.DISPATCHED)

    async def answer(
        self, record: base.Record, answer: backends.ServiceAnswer
    ) -> Result[base.Record, base.LostClaim]:
        """Store the answer, also if another node gave up the attempt."""
        changed = dataclasses.replace(
            record, state=State.ANSWERED, answer=answer
        )
        outcome = await self._change(
            record, changed, State.DISPATCHED, State.UNKNOWN
        )
        if isinstance(outcome, Ok):
            return outcome
        current = outcome.err_value.record
        if (
            current is None
            or current.state is not State.UNKNOWN
            or current.attempt_id != record.attempt_id
        ):
            return outcome
        changed = dataclasses.replace(
            current, state=State.ANSWERED, answer=answer
        )
        return await self._change(current, changed, State.UNKNOWN)

    async def finish(
        self, record: base.Record, state: base.RecordState
    ) -> Result[base.Record, base.LostClaim]:
        """Close a record as ``not_run`` or ``unknown``.

        A record that another node dispatched can't become ``not_run``, as
        that node may be about to send the request.
        """
        if state not in (State.NOT_RUN, State.UNKNOWN):
            raise ValueError(
                f"a record can't be finished as {state.value}, only as not_run"
                " or unknown"
            )
        held_by_other = record.holder != self._holder
        if held_by_other and (record.state, state) == (
            State.DISPATCHED,
            State.NOT_RUN,
        ):
            return Err(base.LostClaim(record))
        changed = dataclasses.replace(record, state=state)
        outcome = await self._change(
            record, changed, State.CLAIMED, State.DISPATCHED
        )
        if isinstance(outcome, Ok):
            return outcome
        current = outcome.err_value.record
        if current is None or not self._is_own_unconfirmed_dispatch(
            record, current
        ):
            return outcome
        changed = dataclasses.replace(current, state=state)
        return await self._change(current, changed, State.DISPATCHED)

    async def read(self, workspace: str, key: str) -> base.Record | None:
        """Return the record of a key, or None when it has none."""
        row = await self._table.get(rows.row_key(workspace, key))
        return None if row is None else await self._decode(workspace, row)

    def _is_own_unconfirmed_dispatch(
        self, record: base.Record, current: base.Record
    ) -> bool:
        """Return whether the row is a dispatch that this node took as failed.

        The table service applied the write but its answer was lost. The
        dispatch was reported as not durable, so nothing was sent.
        """
        return (
            record.state is State.CLAIMED
            and current.state is State.DISPATCHED
            and current.holder == self._holder
            and current.request_id == record.request_id
            and current.version == record.version + 1
        )

    def _may_claim(self, row: platform.Row, ident: base.RecordIdent) -> bool:
        if row.expires_at is not None and row.expires_at < self._clock.wall():
            # The table service deletes expired rows with a delay.
            return True
        value = rows.RecordValue.model_validate_json(row.value)
        if value.body_digest != ident.body_digest:
            return False
        if value.state is State.NOT_RUN:
            return True
        if value.state is not State.CLAIMED:
            return False
        if value.claimed_until <= self._clock.wall():
            return True
        return value.holder != self._holder and not self._is_live(value.holder)

    async def _existing_outcome(
        self, row: platform.Row, ident: base.RecordIdent
    ) -> base.ClaimOutcome:
        record = await self._decode(ident.workspace, row)
        if record.ident.body_digest != ident.body_digest:
            return base.KeyReused()
        return base.Existing(record)

    async def _change(
        self,
        record: base.Record,
        changed: base.Record,
        *allowed_states: base.RecordState,
    ) -> Result[base.Record, base.LostClaim]:
        if record.state not in allowed_states:
            raise ValueError(
                f"a record in state {record.state.value} can't change to "
                f"{changed.state.value}"
            )
        ident = record.ident
        key = rows.row_key(ident.workspace, ident.key)
        value = await self._encode(changed)
        outcome = await self._write(key, record.version, value)
        if isinstance(outcome, Ok):
            version = outcome.ok_value.version
            return Ok(dataclasses.replace(changed, version=version))
        return Err(base.LostClaim(await self.read(ident.workspace, ident.key)))

    async def _write(
        self, key: platform.RowKey, version: int, value: rows.RecordValue
    ) -> Result[platform.Row, platform.Conflict]:
        """Write a row, and find out the outcome when the answer is lost.

        :raises StoreUnavailable: when the row is not known to be written.
        """
        payload = value.model_dump_json(exclude_defaults=True)
        expires_at = int(self._clock.wall() + self._ttl())
        put = platform.Put(key, payload, version, expires_at)
        write_id = uuid.uuid4().hex
        try:
            outcome = await settle.transact_settled(
                self._table, [put], write_id
            )
        except exceptions.StoreOutcomeUnknown as exc:
            raise exceptions.StoreUnavailable(str(exc)) from exc
        if isinstance(outcome, Err):
            return outcome
        return Ok(
            platform.Row(key, version + 1, write_id, payload, expires_at)
        )

    async def _encode(self, record: base.Record) -> rows.RecordValue:
        answer = record.answer
        return rows.RecordValue(
            body_digest=record.ident.body_digest,
            state=record.state,
            request_id=record.request_id,
            holder=record.holder,
            claimed_until=self._clock.wall() + CLAIM_TTL,
            attempt_id=record.attempt_id,
            server=record.server,
            answer=None
            if answer is None
            else await self._answer_bodies.store(answer),
        )

    async def _decode(self, workspace: str, row: platform.Row) -> base.Record:
        value = rows.RecordValue.model_validate_json(row.value)
        answer = None
        if value.answer is not None:
            answer = await self._answer_bodies.load(value.answer)
        return rows.decode_record(workspace, row, value, answer)
