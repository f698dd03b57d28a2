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

    Active roll-outs from or to a withdrawn version are halted with it.

    :param model: name of the model.
    :param version: name of the version.
    :param state: state that it gets.
    :param default: version that becomes the default; empty leaves it.
    """

    model: str
    version: str
    state: snapshot.VersionState
    default: str = ""

    @property
    def protective(self) -> bool:
        """Whether the edit withdraws and chooses no other version."""
        withdrawn = self.state is snapshot.VersionState.WITHDRAWN
        return withdrawn and not self.default

    @property
    def summary(self) -> str:
        """The change in a few words."""
        chosen = f", default {self.default}" if self.default else ""
        return (
            f"version {self.model} {self.version} {self.state.value}{chosen}"
        )

    def apply(self, doc: document.Document) -> edits.Edited:
        """Return the document with the state."""
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
            update["rollouts"] = self._halted(doc)
        changed = edits.with_operations(doc, update)
        if not self.default:
            return Ok(changed)
        return SetDefault(self.model, self.default).apply(changed)

    def _halted(
        self, doc: document.Document
    ) -> dict[str, document.RolloutOverlay]:
        overlays = dict(doc.operations.rollouts)
        for name, held in operations.effective(doc).rollouts.items():
            named = self.version in (held.base, held.candidate)
            if held.model == self.model and named and _is_active(held.state):
                overlays[name] = document.RolloutOverlay(
                    state=snapshot.RolloutState.HALTED, share=held.share
                )
        return overlays


@dataclass(frozen=True, slots=True)
class SetDefault(edits.OverlayEdit):
    """Chooses the version for new sessions of a model.

    :param model: name of the model.
    :param version: name of the version.
    """

    model: str
    version: str

    @property
    def summary(self) -> str:
        """The change in a few words."""
        return f"version {self.model} {self.version} default"

    def apply(self, doc: document.Document) -> edits.Edited:
        """Return the document with the default version."""
        if self.model not in doc.models:
            return edits.undeclared(("models",), self.model, doc.models)
        model = doc.models[self.model]
        if self.version not in model.versions:
            path = ("models", self.model, "versions")
            return edits.undeclared(path, self.version, model.versions)
        defaults = dict(doc.operations.default_versions)
        defaults.pop(self.model, None)
        plain = edits.with_operations(doc, {"default_versions": defaults})
        held = operations.effective(plain).models[self.model]
        if held.default_version == self.version:
            return Ok(plain)
        defaults[self.model] = self.version
        return Ok(edits.with_operations(doc, {"default_versions": defaults}))


def _is_active(state: snapshot.RolloutState) -> bool:
    return state in (
        snapshot.RolloutState.RUNNING,
        snapshot.RolloutState.PAUSED,
    )
