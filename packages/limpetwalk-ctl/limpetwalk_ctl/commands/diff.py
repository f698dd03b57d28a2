"""Shows what applying a folder would change."""

from absl import flags

from limpetwalk import registry
from limpetwalk.conf import diff

from .. import base
from .. import exits
from .. import folders
from .. import output


@registry.register(registry.Kind.COMMAND, "diff")
class Diff:
    """Compares a folder with the configuration in force."""

    help = "show what applying a folder would change"
    usage = "diff DIR"
    examples = ("--settings ctl.yaml diff site/",)
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define no flags."""

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Compare the folder."""
        (path,) = ctx.arguments("DIR")
        held = await ctx.heads.read()
        old = await ctx.heads.document(held)
        loaded = await folders.read(ctx, path, old.operations)
        if loaded is None:
            return exits.ExitCode.FINDINGS
        changes = diff.diff_documents(old, loaded.document)
        for change in changes:
            ctx.out.line(str(change))
        ctx.out.line(f"{len(changes)} changes to generation {held.generation}")
        ctx.out.json(
            {
                "generation": held.generation,
                "changes": [output.change_json(item) for item in changes],
            }
        )
        return exits.ExitCode.OK
