"""Command that checks a folder without applying it."""

from absl import flags

from limpetwalk import registry

from .. import base
from .. import exits
from .. import folders
from .. import output


@registry.register(registry.Kind.COMMAND, "check")
class Check:
    """Reads a folder and writes all findings in it."""

    help = "check a folder and tell all findings; nothing is applied"
    usage = "check DIR"
    examples = ("check site/", "--json check site/")
    needs_platform = False

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define no flags."""

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Check the folder."""
        (path,) = ctx.arguments("DIR")
        loaded = await folders.read(ctx, path)
        if loaded is None:
            return exits.ExitCode.FINDINGS
        ctx.out.findings(loaded.warnings)
        count = output.format_count(len(loaded.warnings), "warning")
        ctx.out.line(f"{path}: no errors, {count}")
        ctx.out.json(folders.findings_json(loaded.warnings))
        return exits.ExitCode.OK
