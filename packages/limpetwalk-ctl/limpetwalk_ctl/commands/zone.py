"""Command that takes an availability zone out or brings it back."""

from limpetwalk import registry
from limpetwalk.conf import edits
from limpetwalk.conf import snapshot

from .. import placement_command


@registry.register(registry.Kind.COMMAND, "zone")
class Zone(placement_command.PlacementCommand):
    """Takes a zone out of new work, or brings it back."""

    help = "take an availability zone out of new work, or bring it back"
    usage = "zone out|in NAME [--wait] [--expect N]"
    examples = (
        "--settings ctl.yaml zone out hu-central-a --wait",
        "--settings ctl.yaml zone in hu-central-a",
    )
    target = edits.PlacementTarget.ZONE
    actions = {
        "out": snapshot.PlacementState.OUT,
        "in": snapshot.PlacementState.IN,
    }
