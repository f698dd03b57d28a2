"""Checks of operators' changes against the files' sections."""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

from .. import registry
from . import checks
from . import findings


@registry.register(registry.Kind.CONFIG_CHECK, "operations.names")
def check_names(subject: checks.Subject) -> Iterator[findings.Finding]:
    """Tell of changes to names that the files do not declare."""
    doc = subject.written
    ops = doc.operations
    pairs: list[tuple[str, Mapping[str, Any], Mapping[str, Any]]] = [
        ("zones", ops.zones, doc.zones),
        ("servers", ops.servers, doc.servers),
        ("rollouts", ops.rollouts, doc.rollouts),
        ("versions", ops.versions, doc.models),
        ("default_versions", ops.default_versions, doc.models),
    ]
    for section, overlays, declared in pairs:
        for name in sorted(set(overlays) - set(declared)):
            yield checks.warning(
                "overlay-unused",
                ("operations", section, name),
                "a change to what the files do not declare",
                checks.one_of(declared),
                "it has no effect until a file declares it again",
            )
