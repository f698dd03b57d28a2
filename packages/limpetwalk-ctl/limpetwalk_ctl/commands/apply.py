"""Makes a folder the next generation."""

from absl import flags
from result import Err

from limpetwalk import registry
from limpetwalk.conf import document

from .. import base
from .. import conflicts
from .. import exits
from .. import folders


@registry.register(registry.Kind.COMMAND, "apply")
class Apply:
    """Checks a folder and accepts it as the next generation."""

    help = "check a folder and make it the next generation"
    usage = "apply DIR [--wait] [--clear-operations]"
    examples = (
        "--settings ctl.yaml apply site/",
        "--settings ctl.yaml apply site/ --wait",
    )
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of a change."""
        flags.DEFINE_bool(
            "wait", False, "wait until all live nodes have it", values
        )
        flags.DEFINE_bool(
            "clear-operations",
            False,
            "drop operators' changes since the files: zones out, servers "
            "drained, versions withdrawn, roll-outs moved",
            values,
        )

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Check and accept the folder."""
        (path,) = ctx.arguments("DIR")
        held = await ctx.heads.read()
        old = await ctx.heads.document(held)
        operations = old.operations
        if ctx.flags["clear-operations"].value:
            operations = document.Operations()
        loaded = await folders.read(ctx, path, operations)
        if loaded is None:
            return exits.ExitCode.FINDINGS
        data = loaded.document.to_bytes()
        ctx.out.findings(loaded.warnings)
        outcome = await ctx.heads.accept(
            data, held.generation, ctx.author, f"apply {path}"
        )
        if isinstance(outcome, Err):
            return conflicts.tell(ctx, outcome.err_value)
        head = outcome.ok_value
        ctx.out.line(f"accepted as generation {head.generation}")
        ctx.out.json({"accepted": True, "generation": head.generation})
        return exits.ExitCode.OK
