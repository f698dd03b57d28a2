"""Checks that the plug-ins that a document names are registered."""

from collections.abc import Iterator

from .. import registry
from . import checks
from . import document
from . import findings

_PluginReference = tuple[findings.KeyPath, str, registry.Kind]


@registry.register(registry.Kind.CONFIG_CHECK, "plugins.names")
def check_plugins(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that protocols, policies and guards are registered plug-ins."""
    for path, name, kind in _plugin_references(config.effective):
        registered = registry.names(kind)
        if name not in registered:
            yield checks.error(
                "unknown-plugin",
                path,
                repr(name),
                f"a {kind.value}: {checks.one_of(registered)}",
            )


def _plugin_references(doc: document.Document) -> Iterator[_PluginReference]:
    """Yield the path, name and kind of each plug-in that is named."""
    kind = registry.Kind
    for name, server in doc.servers.items():
        path = ("servers", name, "protocol")
        yield path, server.protocol, kind.BACKEND_PROTOCOL
    for name, cascade in doc.cascades.items():
        path = ("cascades", name, "policy")
        yield path, cascade.policy, kind.CASCADE_POLICY
    for name, rollout in doc.rollouts.items():
        path = ("rollouts", name, "guard")
        yield path, rollout.guard, kind.ROLLOUT_GUARD
