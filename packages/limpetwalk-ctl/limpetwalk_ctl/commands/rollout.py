"""Command that starts, pauses, resumes, halts or finishes a roll-out."""

from absl import flags

from limpetwalk import registry
from limpetwalk.conf import rollout_edits

from .. import base
from .. import changes
from .. import exits

ACTIONS = {action.value: action for action in rollout_edits.RolloutAction}


@registry.register(registry.Kind.COMMAND, "rollout")
class Rollout:
    """Changes the state of a roll-out that the files declare."""

    help = "start, pause, resume, halt or finish a roll-out"
    usage = (
        "rollout start|pause|resume|halt|finish NAME "
        "[--share S] [--wait] [--expect N]"
    )
    examples = (
        "--settings ctl.yaml rollout start clerk-2026-05 --share 0.05",
        "--settings ctl.yaml rollout halt clerk-2026-05 --wait",
        "--settings ctl.yaml rollout finish clerk-2026-05",
    )
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of a change."""
        changes.define_flags(values)
        flags.DEFINE_float(
            "share",
            None,
            "share of new sessions for the candidate, 0 to 1; start takes it",
            lower_bound=0.0,
            upper_bound=1.0,
            flag_values=values,
        )

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Apply the action to the roll-out."""
        action_name, name = ctx.arguments("|".join(ACTIONS), "NAME")
        action = base.choice(action_name, ACTIONS)
        share = ctx.flags["share"].value
        if share is not None and action is not ACTIONS["start"]:
            raise base.UsageError("got --share, expected it with start")
        edit = rollout_edits.ChangeRollout(name, action, share)
        return await changes.make_change(ctx, edit)
