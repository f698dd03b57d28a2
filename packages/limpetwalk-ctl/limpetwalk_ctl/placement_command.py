"""Base class of commands that take a zone or server out of work."""

from collections.abc import Mapping

from absl import flags

from limpetwalk.conf import edits
from limpetwalk.conf import snapshot

from . import base
from . import changes
from . import exits


class PlacementCommand:
    """Command of the form ``COMMAND ACTION NAME``.

    ``target`` is the kind of object that the command changes, ``actions``
    the new state by action.
    """

    target: edits.PlacementTarget
    actions: Mapping[str, snapshot.PlacementState]
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of a change."""
        changes.define_flags(values)

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Set the state that the action selects."""
        action, name = ctx.arguments("|".join(self.actions), "NAME")
        state = base.choice(action, self.actions)
        edit = edits.SetPlacement(self.target, name, state)
        return await changes.make_change(ctx, edit)
