"""Command that shows what applying a folder would change."""

from absl import flags

from limpetwalk import registry
from limpetwalk.conf import diff
from limpetwalk.conf import edits

from .. import base
from .. import exits
from .. import folders
from .. import output


@registry.register(registry.Kind.COMMAND, "diff")
class Diff:
    """Compares a folder with the configuration in force."""

    help = "show what applying a folder would change"
    usage = "diff DIR [--clear-operations]"
    examples = ("--settings ctl.yaml diff site/",)
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flag that drops operators' changes."""
        folders.define_clear_flag(values)

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Write the differences between the folder and what is in force."""
        (path,) = ctx.arguments("DIR")
        loaded = await folders.read(ctx, path)
        if loaded is None:
            return exits.ExitCode.FINDINGS
        head = await ctx.heads.read()
        current = await ctx.heads.load_document(head)
        clear = bool(ctx.flags["clear-operations"].value)
        edit = edits.ReplaceFiles(loaded.document, path, clear)
        changes = diff.diff_documents(current, edit.apply_unchecked(current))
        for change in changes:
            ctx.out.line(str(change))
        count = output.format_count(len(changes), "change")
        ctx.out.line(f"{count} to generation {head.generation}")
        ctx.out.json(
            {
                "generation": head.generation,
                "changes": [output.change_json(item) for item in changes],
            }
        )
        return exits.ExitCode.OK
