"""Applies operators' changes, kept as overlays, to the files' sections."""

from typing import TypeVar

import pydantic

from . import document
from . import snapshot

S = TypeVar("S", bound=pydantic.BaseModel)


def effective(doc: document.Document) -> document.Document:
    """Return a document whose sections have the values in force.

    Overlays of names that the files no longer declare have no effect. They
    are kept, so that a withdrawn version stays withdrawn when a later file
    declares it again. The candidate of a roll-out that is done is the default
    version of its model unless an operator chose another.
    """
    ops = doc.operations
    rollouts = {
        name: _rollout(section, ops.rollouts.get(name))
        for name, section in doc.rollouts.items()
    }
    return doc.model_copy(
        update={
            "zones": {
                name: _with_state(section, ops.zones.get(name))
                for name, section in doc.zones.items()
            },
            "servers": {
                name: _with_state(section, ops.servers.get(name))
                for name, section in doc.servers.items()
            },
            "models": {
                name: _model(name, section, ops, rollouts)
                for name, section in doc.models.items()
            },
            "rollouts": rollouts,
        }
    )


def _with_state(section: S, state: snapshot.PlacementState | None) -> S:
    if state is None:
        return section
    return section.model_copy(update={"state": state})


def _rollout(
    section: document.RolloutSection, overlay: document.RolloutOverlay | None
) -> document.RolloutSection:
    if overlay is None:
        return section
    return section.model_copy(update=dict(overlay))


def _model(
    name: str,
    section: document.ModelSection,
    ops: document.Operations,
    rollouts: dict[str, document.RolloutSection],
) -> document.ModelSection:
    states = ops.versions.get(name, {})
    versions = {
        version: document.VersionSection(
            state=states.get(version, declared.state)
        )
        for version, declared in section.versions.items()
    }
    default = section.default_version
    for rollout in rollouts.values():
        if (
            rollout.model == name
            and rollout.state is snapshot.RolloutState.DONE
        ):
            default = rollout.candidate
    default = ops.default_versions.get(name, default)
    return section.model_copy(
        update={"versions": versions, "default_version": default}
    )
