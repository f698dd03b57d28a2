"""Modules whose plug-ins come with the kernel."""

from . import registry

BUILT_IN = [
    "limpetwalk.backends.openai",
    "limpetwalk.backends.plain",
]


def load() -> None:
    """Import the modules, so that their plug-ins register themselves."""
    registry.load_plugins(BUILT_IN)
