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
from . import answers
from . import base
from . import rows

# A claim that is not dispatched for this long may be taken over although its
# holder lives: its answer may have been lost on the way to the holder.
CLAIM_TTL = 30.0

State = base.RecordState


class TableRecordStore:
    """Records in the table service, each move conditional on the version.

    :param table: table service.
    :param clock: source of time.
    :param holder: name of this node, unique to each start of its process.
    :param is_live: tells whether the node that a holder's name stands for
        may still be at work; a wrong answer costs a claim, never a second
        run.
    :param ttl: returns the lifetime of a record in force, in seconds.
    :param objects: store of large answers; None refuses them.
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
        self._answers = answers.AnswerBodies(objects)

    async def claim(
        self, ident: base.RecordIdent, request_id: str
    ) -> base.ClaimOutcome:
        """Claim a key, or tell what stands under it."""
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
            return await self._standing(row, ident)
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
            raise exceptions.StoreUnavailable("the record is gone")
        return await self._standing(row, ident)

    async def dispatch(
        self, record: base.Record, attempt_id: str, server: str
    ) -> Result[base.Record, base.LostClaim]:
        """Make the dispatch durable; required before any byte is sent."""
        moved = dataclasses.replace(
            record,
            state=State.DISPATCHED,
            attempt_id=attempt_id,
            server=server,
        )
        return await self._move(record, moved, State.CLAIMED)

    async def release(
        self, record: base.Record
    ) -> Result[base.Record, base.LostClaim]:
        """Move a dispatched record whose attempt proved unsent back.

        Only the node that dispatched it can.
        """
        if record.holder != self._holder:
            return Err(base.LostClaim(record))
        moved = dataclasses.replace(
            record, state=State.CLAIMED, attempt_id="", server=""
        )
        return await self._move(record, moved, State.DISPATCHED)

    async def answer(
        self, record: base.Record, answer: backends.ServiceAnswer
    ) -> Result[base.Record, base.LostClaim]:
        """Store the answer, also when another node gave the attempt up."""
        moved = dataclasses.replace(
            record, state=State.ANSWERED, answer=answer
        )
        outcome = await self._move(
            record, moved, State.DISPATCHED, State.UNKNOWN
        )
        if isinstance(outcome, Ok):
            return outcome
        found = outcome.err_value.record
        if (
            found is None
            or found.state is not State.UNKNOWN
            or found.attempt_id != record.attempt_id
        ):
            return outcome
        moved = dataclasses.replace(found, state=State.ANSWERED, answer=answer)
        return await self._move(found, moved, State.UNKNOWN)

    async def finish(
        self, record: base.Record, state: base.RecordState
    ) -> Result[base.Record, base.LostClaim]:
        """Close a record as ``not_run`` or ``unknown``.

        A record that another node dispatched can't become ``not_run``: that
        node may be about to send.
        """
        if state not in (State.NOT_RUN, State.UNKNOWN):
            raise ValueError(f"a record can't be finished as {state.value}")
        foreign = record.holder != self._holder
        if foreign and (record.state, state) == (
            State.DISPATCHED,
            State.NOT_RUN,
        ):
            return Err(base.LostClaim(record))
        moved = dataclasses.replace(record, state=state)
        outcome = await self._move(
            record, moved, State.CLAIMED, State.DISPATCHED
        )
        if isinstance(outcome, Ok):
            return outcome
        found = outcome.err_value.record
        if found is None or not self._is_own_unsettled(record, found):
            return outcome
        moved = dataclasses.replace(found, state=state)
        return await self._move(found, moved, State.DISPATCHED)

    async def read(self, workspace: str, key: str) -> base.Record | None:
        """Return the record of a key."""
        row = await self._table.get(rows.row_key(workspace, key))
        return None if row is None else await self._decode(workspace, row)

    def _is_own_unsettled(
        self, record: base.Record, found: base.Record
    ) -> bool:
        """Return whether a dispatch of this node applied unknown to it.

        Its caller was told that it is not durable, so nothing was sent.
        """
        return (
            record.state is State.CLAIMED
            and found.state is State.DISPATCHED
            and found.holder == self._holder
            and found.request_id == record.request_id
            and found.version == record.version + 1
        )

    def _may_claim(self, row: platform.Row, ident: base.RecordIdent) -> bool:
        if row.expires_at is not None and row.expires_at < self._clock.wall():
            # The service deletes expired rows late.
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

    async def _standing(
        self, row: platform.Row, ident: base.RecordIdent
    ) -> base.ClaimOutcome:
        record = await self._decode(ident.workspace, row)
        if record.ident.body_digest != ident.body_digest:
            return base.KeyReused()
        return base.Existing(record)

    async def _move(
        self,
        record: base.Record,
        moved: base.Record,
        *allowed: base.RecordState,
    ) -> Result[base.Record, base.LostClaim]:
        if record.state not in allowed:
            raise ValueError(
                f"a {record.state.value} record can't become "
                f"{moved.state.value}"
            )
        ident = record.ident
        key = rows.row_key(ident.workspace, ident.key)
        value = await self._encode(moved)
        outcome = await self._write(key, record.version, value)
        if isinstance(outcome, Ok):
            version = outcome.ok_value.version
            return Ok(dataclasses.replace(moved, version=version))
        return Err(base.LostClaim(await self.read(ident.workspace, ident.key)))

    async def _write(
        self, key: platform.RowKey, version: int, value: rows.RecordValue
    ) -> Result[platform.Row, platform.Conflict]:
        """Write a row and settle a lost answer.

        :raises StoreUnavailable: when it is not known to be written.
        """
        text = value.model_dump_json(exclude_defaults=True)
        expires_at = int(self._clock.wall() + self._ttl())
        put = platform.Put(key, text, version, expires_at)
        write_id = uuid.uuid4().hex
        try:
            outcome = await settle.transact_settled(
                self._table, [put], write_id
            )
        except exceptions.StoreOutcomeUnknown as exc:
            raise exceptions.StoreUnavailable(str(exc)) from exc
        if isinstance(outcome, Err):
            return outcome
        return Ok(platform.Row(key, version + 1, write_id, text, expires_at))

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
            else await self._answers.store(answer),
        )

    async def _decode(self, workspace: str, row: platform.Row) -> base.Record:
        value = rows.RecordValue.model_validate_json(row.value)
        answer = None
        if value.answer is not None:
            answer = await self._answers.load(value.answer)
        return rows.decode_record(workspace, row, value, answer)
