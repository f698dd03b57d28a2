"""Output about a change that conflicts with another operator's change."""

from limpetwalk.conf import head

from . import base
from . import exits
from . import output


def write_conflict(
    ctx: base.Context, conflict: head.HeadConflict
) -> exits.ExitCode:
    """Write what another operator changed and return the exit code."""
    current = conflict.head
    ctx.out.error(
        f"not accepted: generation {current.generation} by {current.author} "
        f"came first, expected generation {conflict.expected}; read what "
        f"changed and run the command again"
    )
    for change in conflict.changes:
        ctx.out.line(str(change))
    ctx.out.json(
        {
            "accepted": False,
            "conflict": {
                "expected": conflict.expected,
                "generation": current.generation,
                "author": current.author,
                "changes": [
                    output.change_json(item) for item in conflict.changes
                ],
            },
        }
    )
    return exits.ExitCode.CONFLICT
