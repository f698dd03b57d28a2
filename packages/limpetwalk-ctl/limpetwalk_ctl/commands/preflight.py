"""Command that checks a folder against the configuration in force."""

from absl import flags
from result import Err

from limpetwalk import registry
from limpetwalk.conf import checks
from limpetwalk.conf import diff
from limpetwalk.conf import edits
from limpetwalk.conf import findings
from limpetwalk.conf import located

from .. import base
from .. import exits
from .. import folders
from .. import output


@registry.register(registry.Kind.COMMAND, "preflight")
class Preflight:
    """Writes what ``apply`` would find and change, and applies nothing."""

    help = "check a folder and show what applying it would change"
    usage = "preflight DIR [--clear-operations]"
    examples = (
        "--settings ctl.yaml preflight site/",
        "--settings ctl.yaml --json preflight site/",
    )
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flag that drops operators' changes."""
        folders.define_clear_flag(values)

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Write the findings and the differences."""
        (path,) = ctx.arguments("DIR")
        loaded = await folders.read(ctx, path)
        if loaded is None:
            return exits.ExitCode.FINDINGS
        head = await ctx.heads.read()
        current = await ctx.heads.load_document(head)
        clear = bool(ctx.flags["clear-operations"].value)
        edit = edits.ReplaceFiles(loaded.document, path, clear)
        after = edit.apply_unchecked(current)
        edit_outcome = edit.apply(current)
        found = checks.run_checks(after)
        if isinstance(edit_outcome, Err):
            found += edit_outcome.err_value
        # The folder's own warnings also cover what is no part of the document,
        # such as files that are ignored.
        items = findings.in_order(
            {
                *loaded.warnings,
                *(located.with_location(item, loaded.tree) for item in found),
            }
        )
        changes = diff.diff_documents(current, after)
        error_count = len(findings.errors(items))
        warning_count = len(items) - error_count
        ctx.out.findings(items)
        for change in changes:
            ctx.out.line(str(change))
        ctx.out.line(
            f"{path}: {output.format_count(error_count, 'error')}, "
            f"{output.format_count(warning_count, 'warning')}, "
            f"{output.format_count(len(changes), 'change')} to generation "
            f"{head.generation}"
        )
        ctx.out.json(
            {
                **folders.findings_json(items),
                "generation": head.generation,
                "changes": [output.change_json(item) for item in changes],
            }
        )
        if error_count:
            return exits.ExitCode.FINDINGS
        return exits.ExitCode.WARNINGS if items else exits.ExitCode.OK
