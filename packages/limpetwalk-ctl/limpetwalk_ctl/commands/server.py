"""Drains and restores a backend server."""

from absl import flags

from limpetwalk import registry
from limpetwalk.conf import edits
from limpetwalk.conf import snapshot

from .. import base
from .. import changes
from .. import exits

ACTIONS = {
    "drain": snapshot.PlacementState.OUT,
    "restore": snapshot.PlacementState.IN,
}


@registry.register(registry.Kind.COMMAND, "server")
class Server:
    """Drains a backend server of work, or restores it."""

    help = "drain a backend server, or restore it"
    usage = "server drain|restore NAME [--wait] [--expect N]"
    examples = (
        "--settings ctl.yaml server drain assistant-a1 --wait",
        "--settings ctl.yaml server restore assistant-a1",
    )
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of a change."""
        changes.define_flags(values)

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Make the change."""
        action, name = ctx.arguments("drain|restore", "NAME")
        state = base.choice(action, ACTIONS)
        edit = edits.Place(edits.Placed.SERVER, name, state)
        return await changes.make(ctx, edit)
