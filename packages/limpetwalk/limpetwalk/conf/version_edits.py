"""Operators' edits of versions."""

from dataclasses import dataclass

from result import Ok

from . import document
from . import edits
from . import operations
from . import snapshot


@dataclass(frozen=True, slots=True)
class SetVersion(edits.OverlayEdit):
    """Withdraws a version or makes it live again.

    Withdrawing a version also halts active roll-outs from or to it.

    :param model: name of the model.
    :param version: name of the version.
    :param state: new state of the version.
    :param default: version that becomes the default; empty leaves the
        default unchanged.
    """

    model: str
    version: str
    state: snapshot.VersionState
    default: str = ""

    @property
    def protective(self) -> bool:
        """Whether the edit withdraws and sets no default version."""
        withdrawn = self.state is snapshot.VersionState.WITHDRAWN
        return withdrawn and not self.default

    @property
    def summary(self) -> str:
        """Short description of the change."""
        default = f", default {self.default}" if self.default else ""
        return (
            f"version {self.model} {self.version} {self.state.value}{default}"
        )

    def apply(self, doc: document.Document) -> edits.EditResult:
        """Return the document with the new state and default version."""
        if self.model not in doc.models:
            return edits.undeclared(("models",), self.model, doc.models)
        declared = doc.models[self.model].versions
        if self.version not in declared:
            path = ("models", self.model, "versions")
            return edits.undeclared(path, self.version, declared)
        live = snapshot.VersionState.LIVE
        states = dict(doc.operations.versions.get(self.model, {}))
        if self.state is live and declared[self.version].state is live:
            states.pop(self.version, None)
        else:
            states[self.version] = self.state
        versions = {**doc.operations.versions, self.model: states}
        if not states:
            del versions[self.model]
        update: dict[str, object] = {"versions": versions}
        if self.state is not live:
            update["rollouts"] = self._halt_rollouts(doc)
        updated = edits.with_operations(doc, update)
        if not self.default:
            return Ok(updated)
        return SetDefault(self.model, self.default).apply(updated)

    def _halt_rollouts(
        self, doc: document.Document
    ) -> dict[str, document.RolloutOverlay]:
        """Return roll-out overlays that halt the version's roll-outs."""
        overlays = dict(doc.operations.rollouts)
        for name, rollout in operations.effective(doc).rollouts.items():
            uses_version = self.version in (rollout.base, rollout.candidate)
            if (
                rollout.model == self.model
                and uses_version
                and _is_active(rollout.state)
            ):
                overlays[name] = document.RolloutOverlay(
                    state=snapshot.RolloutState.HALTED, share=rollout.share
                )
        return overlays


@dataclass(frozen=True, slots=True)
class SetDefault(edits.OverlayEdit):
    """Sets the default version of a model, which new sessions get.

    :param model: name of the model.
    :param version: name of the version.
    """

    model: str
    version: str

    @property
    def summary(self) -> str:
        """Short description of the change."""
        return f"version {self.model} {self.version} default"

    def apply(self, doc: document.Document) -> edits.EditResult:
        """Return the document with the default version."""
        if self.model not in doc.models:
            return edits.undeclared(("models",), self.model, doc.models)
        model = doc.models[self.model]
        if self.version not in model.versions:
            path = ("models", self.model, "versions")
            return edits.undeclared(path, self.version, model.versions)
        defaults = dict(doc.operations.default_versions)
        defaults.pop(self.model, None)
        without_overlay = edits.with_operations(
            doc, {"default_versions": defaults}
        )
        effective = operations.effective(without_overlay).models[self.model]
        if effective.default_version == self.version:
            # The version is the default without an overlay.
            return Ok(without_overlay)
        defaults[self.model] = self.version
        return Ok(edits.with_operations(doc, {"default_versions": defaults}))


def _is_active(state: snapshot.RolloutState) -> bool:
    return state in (
        snapshot.RolloutState.RUNNING,
        snapshot.RolloutState.PAUSED,
    )
