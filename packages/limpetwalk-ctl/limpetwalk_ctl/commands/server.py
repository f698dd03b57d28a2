"""Command that drains or restores a backend server."""

from limpetwalk import registry
from limpetwalk.conf import edits
from limpetwalk.conf import snapshot

from .. import placement_command


@registry.register(registry.Kind.COMMAND, "server")
class Server(placement_command.PlacementCommand):
    """Takes a backend server out of new work, or restores it."""

    help = "drain a backend server, or restore it"
    usage = "server drain|restore NAME [--wait] [--expect N]"
    examples = (
        "--settings ctl.yaml server drain assistant-a1 --wait",
        "--settings ctl.yaml server restore assistant-a1",
    )
    target = edits.PlacementTarget.SERVER
    actions = {
        "drain": snapshot.PlacementState.OUT,
        "restore": snapshot.PlacementState.IN,
    }
