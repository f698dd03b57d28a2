"""Takes an availability zone out and brings it back."""

from absl import flags

from limpetwalk import registry
from limpetwalk.conf import edits
from limpetwalk.conf import snapshot

from .. import base
from .. import changes
from .. import exits

ACTIONS = {
    "out": snapshot.PlacementState.OUT,
    "in": snapshot.PlacementState.IN,
}


@registry.register(registry.Kind.COMMAND, "zone")
class Zone:
    """Takes a zone out of new work, or brings it back."""

    help = "take an availability zone out of new work, or bring it back"
    usage = "zone out|in NAME [--wait] [--expect N]"
    examples = (
        "--settings ctl.yaml zone out hu-central-a --wait",
        "--settings ctl.yaml zone in hu-central-a",
    )
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of a change."""
        changes.define_flags(values)

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Make the change."""
        action, name = ctx.arguments("out|in", "NAME")
        state = base.choice(action, ACTIONS)
        edit = edits.Place(edits.Placed.ZONE, name, state)
        return await changes.make(ctx, edit)
