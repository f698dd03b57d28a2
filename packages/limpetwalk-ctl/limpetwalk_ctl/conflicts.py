"""Tells an operator who lost against another what changed."""

from limpetwalk.conf import head

from . import base
from . import exits
from . import output


def tell(ctx: base.Context, conflict: head.HeadConflict) -> exits.ExitCode:
    """Write what another operator changed and return the exit code."""
    held = conflict.head
    ctx.out.error(
        f"not accepted: generation {held.generation} by {held.author} came "
        f"first, expected generation {conflict.expected}; read what changed "
        f"and run the command again"
    )
    for change in conflict.changes:
        ctx.out.line(str(change))
    ctx.out.json(
        {
            "accepted": False,
            "conflict": {
                "expected": conflict.expected,
                "generation": held.generation,
                "author": held.author,
                "changes": [
                    output.change_json(item) for item in conflict.changes
                ],
            },
        }
    )
    return exits.ExitCode.CONFLICT
