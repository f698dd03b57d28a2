"""Checks that the plug-ins that a document names are known."""

from collections.abc import Iterator

from .. import registry
from . import checks
from . import document
from . import findings

_Use = tuple[findings.KeyPath, str, registry.Kind]


@registry.register(registry.Kind.CONFIG_CHECK, "plugins.names")
def check_plugins(subject: checks.Subject) -> Iterator[findings.Finding]:
    """Protocols, policies and guards are plug-ins that are loaded."""
    for path, name, kind in _uses(subject.effective):
        known = registry.names(kind)
        if name not in known:
            yield checks.error(
                "unknown-plugin",
                path,
                repr(name),
                f"a {kind.value}: {checks.one_of(known)}",
            )


def _uses(doc: document.Document) -> Iterator[_Use]:
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
