"""Command that withdraws a version, restores it or makes it the default."""

from absl import flags

from limpetwalk import registry
from limpetwalk.conf import edits
from limpetwalk.conf import snapshot
from limpetwalk.conf import version_edits

from .. import base
from .. import changes
from .. import exits

ACTIONS = {
    "withdraw": snapshot.VersionState.WITHDRAWN,
    "restore": snapshot.VersionState.LIVE,
    "default": None,
}


@registry.register(registry.Kind.COMMAND, "version")
class Version:
    """Withdraws a version, restores it or makes it the default."""

    help = "withdraw a version, restore it or make it the default"
    usage = (
        "version withdraw|restore|default MODEL VERSION "
        "[--default VERSION] [--wait] [--expect N]"
    )
    examples = (
        "--settings ctl.yaml version withdraw clerk 2026-05 --wait",
        "--settings ctl.yaml version withdraw clerk 2026-03 --default 2026-05",
        "--settings ctl.yaml version default clerk 2026-05",
    )
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of a change."""
        changes.define_flags(values)
        flags.DEFINE_string(
            "default",
            "",
            "version that becomes the default in the same change",
            values,
        )

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Apply the action to the version."""
        action, model, version = ctx.arguments(
            "withdraw|restore|default", "MODEL", "VERSION"
        )
        state = base.choice(action, ACTIONS)
        new_default = ctx.flags["default"].value or ""
        edit: edits.Edit
        if state is not None:
            edit = version_edits.SetVersion(model, version, state, new_default)
        elif new_default:
            raise base.UsageError("got --default, expected it with withdraw")
        else:
            edit = version_edits.SetDefault(model, version)
        return await changes.make_change(ctx, edit)
