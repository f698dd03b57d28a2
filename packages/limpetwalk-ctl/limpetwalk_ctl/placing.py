"""What the commands share that take things out and bring them back."""

from collections.abc import Mapping

from absl import flags

from limpetwalk.conf import edits
from limpetwalk.conf import snapshot

from . import base
from . import changes
from . import exits


class PlaceCommand:
    """Command of the form ``COMMAND ACTION NAME``.

    ``placed`` is what the command moves, ``actions`` the state that each
    action brings it to.
    """

    placed: edits.PlacementTarget
    actions: Mapping[str, snapshot.PlacementState]
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of a change."""
        changes.define_flags(values)

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Make the change."""
        action, name = ctx.arguments("|".join(self.actions), "NAME")
        state = base.choice(action, self.actions)
        edit = edits.SetPlacement(self.placed, name, state)
        return await changes.make(ctx, edit)
