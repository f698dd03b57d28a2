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


@registry.register(registry.Kind.CONFIG_CHECK, "operations.defaults")
def check_defaults(subject: checks.Subject) -> Iterator[findings.Finding]:
    """Tell of files whose default version is not the one in force."""
    for name, model in subject.written.models.items():
        held = subject.effective.models[name].default_version
        if held != model.default_version:
            yield checks.warning(
                "default-overruled",
                ("models", name, "default_version"),
                f"{model.default_version!r}, overruled by {held!r}",
                "the version in force",
                "a finished roll-out or an operator chose it; write it "
                "into the files",
            )
