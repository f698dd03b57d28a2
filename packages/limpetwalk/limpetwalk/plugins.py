"""Modules of the built-in plug-ins of the kernel."""

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
    """Import the built-in modules, so that their plug-ins get registered."""
    registry.load_plugins(BUILT_IN)
