"""Command that shows the bill entries of a workspace."""

import dataclasses

from absl import flags

from limpetwalk import registry
from limpetwalk.ledger import base as ledger
from limpetwalk.ledger import reader

from .. import base
from .. import exits
from .. import output

MICROS_PER_UNIT = 1_000_000


@registry.register(registry.Kind.COMMAND, "ledger")
class Ledger:
    """Shows what a workspace was billed."""

    help = "show what a workspace was billed"
    usage = "ledger WORKSPACE [--entries]"
    examples = (
        "--settings ctl.yaml ledger matra-lodges",
        "--settings ctl.yaml --json ledger matra-lodges --entries",
    )
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flag that lists the entries."""
        flags.DEFINE_bool(
            "entries", False, "list each entry besides the totals", values
        )

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Read the entries and write their totals by subject."""
        (workspace,) = ctx.arguments("WORKSPACE")
        assert ctx.platform is not None
        doc = await ctx.heads.load_document(await ctx.heads.read())
        ledger_reader = reader.LedgerReader(
            ctx.platform.table, doc.tuning.ledger_partitions
        )
        entries = [item async for item in ledger_reader.entries(workspace)]
        if not entries and workspace not in doc.workspaces:
            ctx.out.error(f"got {workspace!r}, expected a known workspace")
            return exits.ExitCode.NOT_FOUND
        entries.sort(key=lambda item: (item.answered_at, item.request_key))
        totals = _totals_by_subject(entries)
        ctx.out.table(
            ("SUBJECT", "ENTRIES", "INPUT TOKENS", "OUTPUT TOKENS", "COST"),
            [
                (
                    total.subject,
                    total.entries,
                    total.input_tokens,
                    total.output_tokens,
                    _format_cost(total.cost),
                )
                for total in totals
            ],
        )
        answer: dict[str, object] = {
            "workspace": workspace,
            "totals": [dataclasses.asdict(total) for total in totals],
        }
        if ctx.flags["entries"].value:
            _write_entries(ctx, entries)
            answer["entries"] = [dataclasses.asdict(item) for item in entries]
        ctx.out.json(answer)
        return exits.ExitCode.OK


def _totals_by_subject(entries: list[ledger.BillEntry]) -> list[reader.Total]:
    totals: dict[str, reader.Total] = {}
    for entry in entries:
        total = reader.Total(entry.workspace, entry.subject)
        totals.setdefault(entry.subject, total).add(entry)
    return [totals[subject] for subject in sorted(totals)]


def _write_entries(ctx: base.Context, entries: list[ledger.BillEntry]) -> None:
    ctx.out.table(
        ("ANSWERED", "REQUEST KEY", "SUBJECT", "RAN", "TOKENS", "COST"),
        [
            (
                output.format_time(item.answered_at),
                item.request_key,
                item.subject,
                " ".join(item.steps),
                f"{item.input_tokens}+{item.output_tokens}",
                _format_cost(item.cost),
            )
            for item in entries
        ],
    )


def _format_cost(cost: int) -> str:
    return f"{cost / MICROS_PER_UNIT:.6f}"
