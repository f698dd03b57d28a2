"""Checks of operators' changes against the sections of the files."""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

from .. import registry
from . import checks
from . import findings


@registry.register(registry.Kind.CONFIG_CHECK, "operations.names")
def check_names(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Warn of changes to names that the files do not declare."""
    doc = config.written
    ops = doc.operations
    sections: list[tuple[str, Mapping[str, Any], Mapping[str, Any]]] = [
        ("zones", ops.zones, doc.zones),
        ("servers", ops.servers, doc.servers),
        ("rollouts", ops.rollouts, doc.rollouts),
        ("versions", ops.versions, doc.models),
        ("default_versions", ops.default_versions, doc.models),
    ]
    for section, overlays, declared in sections:
        for name in sorted(set(overlays) - set(declared)):
            yield checks.warning(
                "overlay-unused",
                ("operations", section, name),
                "a change to what the files do not declare",
                checks.one_of(declared),
                "it has no effect until a file declares it again",
            )


@registry.register(registry.Kind.CONFIG_CHECK, "operations.defaults")
def check_defaults(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Warn of default versions in the files that are not in force."""
    for name, model in config.written.models.items():
        in_force = config.effective.models[name].default_version
        if in_force != model.default_version:
            yield checks.warning(
                "default-overruled",
                ("models", name, "default_version"),
                f"{model.default_version!r}, overruled by {in_force!r}",
                "the version in force",
                "a finished roll-out or an operator chose it; write it "
                "into the files",
            )
