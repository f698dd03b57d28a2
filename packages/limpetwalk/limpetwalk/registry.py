"""Registry of plug-ins.

A plug-in is a class or function that registers itself under a kind and a
name when its module is imported. ``load_plugins`` imports the modules once.
"""

from collections.abc import Callable
import enum
import importlib
from typing import Any
from typing import TypeVar

from . import exceptions

T = TypeVar("T")


class Kind(enum.Enum):
    """Kinds of plug-ins."""

    PLATFORM = "platform"
    TABLE_STORE = "table store"
    OBJECT_STORE = "object store"
    INSTANCE_LIST = "instance list"
    RATING_SERVICE = "rating service"
    BACKEND_PROTOCOL = "backend protocol"
    CASCADE_POLICY = "cascade policy"
    BALANCER = "balancer"
    ROLLOUT_GUARD = "rollout guard"
    CONFIG_CHECK = "config check"
    COMMAND = "command"
    FAULT = "fault"
    EXPERIMENT = "experiment"


_plugins: dict[tuple[Kind, str], Any] = {}


def register(kind: Kind, name: str) -> Callable[[T], T]:
    """Return a decorator that registers a plug-in.

    :param kind: kind of the plug-in.
    :param name: name of the plug-in in settings and commands.
    :raises DuplicatePlugin: when the name is taken by another object.
    """

    def decorate(plugin: T) -> T:
        registered = _plugins.setdefault((kind, name), plugin)
        if registered is not plugin:
            raise exceptions.DuplicatePlugin(kind.value, name)
        return plugin

    return decorate


def get(kind: Kind, name: str) -> Any:
    """Return the plug-in of a kind by its name.

    :raises UnknownPlugin: when nothing is registered under the name.
    """
    try:
        return _plugins[(kind, name)]
    except KeyError:
        raise exceptions.UnknownPlugin(kind.value, name, names(kind)) from None


def names(kind: Kind) -> list[str]:
    """Return the sorted names registered for a kind."""
    return sorted(name for known_kind, name in _plugins if known_kind is kind)


def load_plugins(modules: list[str]) -> None:
    """Import modules so that their plug-ins register themselves."""
    for module in modules:
        importlib.import_module(module)
