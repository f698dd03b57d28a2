"""Command that lists accepted generations."""

import dataclasses

from absl import flags

from limpetwalk import registry

from .. import base
from .. import exits
from .. import output

DEFAULT_LIMIT = 20


@registry.register(registry.Kind.COMMAND, "history")
class History:
    """Lists the newest accepted generations."""

    help = "list accepted generations, newest first"
    usage = "history [--limit N]"
    examples = ("--settings ctl.yaml history --limit 5",)
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flag for the number of generations."""
        flags.DEFINE_integer(
            "limit",
            DEFAULT_LIMIT,
            "most generations to list",
            lower_bound=1,
            upper_bound=1000,
            flag_values=values,
        )

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """List the generations."""
        ctx.arguments()
        limit = ctx.flags["limit"].value or DEFAULT_LIMIT
        heads = await ctx.heads.history(limit)
        ctx.out.table(
            ("GENERATION", "ACCEPTED", "OPERATOR", "DIGEST", "CHANGE"),
            [output.generation_row(item) for item in heads],
        )
        ctx.out.json(
            {"generations": [dataclasses.asdict(item) for item in heads]}
        )
        return exits.ExitCode.OK
