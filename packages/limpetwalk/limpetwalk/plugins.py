"""Modules whose plug-ins come with the kernel."""

from . import registry

BUILT_IN = [
    "limpetwalk.backends.openai",
    "limpetwalk.backends.plain",
    "limpetwalk.rollouts.guard",
    "limpetwalk.routing.adaptive",
    "limpetwalk.routing.balancer",
    "limpetwalk.routing.cascade",
]


def load() -> None:
    """Import the modules, so that their plug-ins register themselves."""
    registry.load_plugins(BUILT_IN)
