"""Drains and restores a backend server."""

from limpetwalk import registry
from limpetwalk.conf import edits
from limpetwalk.conf import snapshot

from .. import placing


@registry.register(registry.Kind.COMMAND, "server")
class Server(placing.PlaceCommand):
    """Drains a backend server of work, or restores it."""

    help = "drain a backend server, or restore it"
    usage = "server drain|restore NAME [--wait] [--expect N]"
    examples = (
        "--settings ctl.yaml server drain assistant-a1 --wait",
        "--settings ctl.yaml server restore assistant-a1",
    )
    placed = edits.PlacementTarget.SERVER
    actions = {
        "drain": snapshot.PlacementState.OUT,
        "restore": snapshot.PlacementState.IN,
    }
