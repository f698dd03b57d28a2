"""Shows the generation in force."""

import dataclasses

from absl import flags

from limpetwalk import registry

from .. import base
from .. import exits
from .. import output


@registry.register(registry.Kind.COMMAND, "status")
class Status:
    """Shows the generation in force and operators' changes."""

    help = "show the generation in force"
    usage = "status"
    examples = ("--settings ctl.yaml status",)
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define no flags."""

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Show the head."""
        ctx.arguments()
        held = await ctx.heads.read()
        ctx.out.table(
            ("GENERATION", "ACCEPTED", "OPERATOR", "DIGEST"),
            [
                (
                    held.generation,
                    output.moment(held.at),
                    held.author,
                    held.digest[: output.DIGEST_DIGITS],
                )
            ],
        )
        ctx.out.json({"head": dataclasses.asdict(held)})
        return exits.ExitCode.OK
