"""Command that makes a folder the next generation."""

from absl import flags

from limpetwalk import registry
from limpetwalk.conf import edits
from limpetwalk.conf import located

from .. import base
from .. import changes
from .. import exits
from .. import folders


@registry.register(registry.Kind.COMMAND, "apply")
class Apply:
    """Checks a folder and accepts it as the next generation."""

    help = "check a folder and make it the next generation"
    usage = "apply DIR [--wait] [--expect N] [--clear-operations]"
    examples = (
        "--settings ctl.yaml apply site/ --wait",
        "--settings ctl.yaml apply site/ --expect 41",
        "--settings ctl.yaml apply site/ --clear-operations",
    )
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of a change."""
        changes.define_flags(values)
        folders.define_clear_flag(values)

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Check the folder and make it the next generation."""
        (path,) = ctx.arguments("DIR")
        loaded = await folders.read(ctx, path)
        if loaded is None:
            return exits.ExitCode.FINDINGS
        edit = edits.ReplaceFiles(
            loaded.document, path, bool(ctx.flags["clear-operations"].value)
        )
        return await changes.make_change(
            ctx, edit, lambda item: located.with_location(item, loaded.tree)
        )
