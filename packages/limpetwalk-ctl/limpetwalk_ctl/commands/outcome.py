"""Command that shows the record of a non-idempotent request."""

from absl import flags

from limpetwalk import registry
from limpetwalk.records import base as records
from limpetwalk.records import store

from .. import base
from .. import exits

HOLDER_NAME = "limpetctl"


@registry.register(registry.Kind.COMMAND, "outcome")
class Outcome:
    """Reads the record of a request by its idempotency key."""

    help = "show what became of a non-idempotent request"
    usage = "outcome WORKSPACE KEY"
    examples = ("--settings ctl.yaml outcome matra-lodges pay-2026-0117",)
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define no flags."""

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Read the record and write it."""
        workspace, key = ctx.arguments("WORKSPACE", "KEY")
        assert ctx.platform is not None
        doc = await ctx.heads.load_document(await ctx.heads.read())
        reader = store.TableRecordStore(
            ctx.platform.table,
            ctx.clock,
            HOLDER_NAME,
            lambda holder: True,
            lambda: doc.tuning.record_ttl,
            ctx.platform.objects,
        )
        record = await reader.read(workspace, key)
        if record is None:
            ctx.out.error(
                f"got key {key!r}, expected one with a record in workspace "
                f"{workspace!r}: the request was never claimed, or its "
                f"record has expired"
            )
            return exits.ExitCode.NOT_FOUND
        _write_record(ctx, record)
        return exits.ExitCode.OK


def _write_record(ctx: base.Context, record: records.Record) -> None:
    status = record.answer.status if record.answer else None
    values = {
        "workspace": record.ident.workspace,
        "key": record.ident.key,
        "state": record.state.value,
        "request_id": record.request_id,
        "holder": record.holder,
        "server": record.server or None,
        "attempt_id": record.attempt_id or None,
        "answer_status": status,
    }
    ctx.out.table(
        ("FIELD", "VALUE"),
        [
            (name, "-" if value is None else value)
            for name, value in values.items()
        ],
    )
    ctx.out.json(values)
