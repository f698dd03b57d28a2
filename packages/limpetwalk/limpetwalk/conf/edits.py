"""Operators' edits of a document, stored as overlays over its files.

Applying an edit to a document gives the edited document or findings. The
same edit can be applied again to a newer document when another operator's
change was accepted first.
"""

from collections.abc import Sequence
from dataclasses import dataclass
import enum
from typing import Protocol

import pydantic
from result import Err
from result import Ok
from result import Result

from . import checks
from . import diff
from . import document
from . import findings
from . import snapshot

EditResult = Result[document.Document, list[findings.Finding]]

_OPERATIONS = "operations"


class Edit(Protocol):
    """Change that an operator requests."""

    @property
    def summary(self) -> str:
        """Short description of the change, for the history."""
        ...

    def apply(self, doc: document.Document) -> EditResult:
        """Return the edited document, or findings that prevent the edit."""
        ...

    def conflicts(
        self, ours: Sequence[diff.Change], theirs: Sequence[diff.Change]
    ) -> bool:
        """Return whether another operator's changes prevent the edit.

        If so, they are reported as a conflict; else the edit is applied on
        top of them.

        :param ours: changes of this edit to the document it was first
            applied to.
        :param theirs: changes that others made to that document since.
        """
        ...


class OverlayEdit:
    """Edit of single values, which conflicts only with edits of the same."""

    @property
    def protective(self) -> bool:
        """Whether the edit only stops something from receiving new work."""
        return False

    def conflicts(
        self, ours: Sequence[diff.Change], theirs: Sequence[diff.Change]
    ) -> bool:
        """Return whether both changed the same value.

        A protective edit is never blocked by an edit that came first.
        """
        return not self.protective and any(
            _is_prefix(our_change.path, their_change.path)
            or _is_prefix(their_change.path, our_change.path)
            for our_change in ours
            for their_change in theirs
        )


@dataclass(frozen=True, slots=True)
class ReplaceFiles:
    """Replaces the accepted sections by those of a folder.

    :param files: document of the folder, without operators' changes.
    :param source: path of the folder.
    :param clear: whether to discard operators' changes as well.
    """

    files: document.Document
    source: str
    clear: bool = False

    @property
    def summary(self) -> str:
        """Short description of the change."""
        cleared = ", operations cleared" if self.clear else ""
        return f"apply {self.source}{cleared}"

    def apply(self, doc: document.Document) -> EditResult:
        """Return the folder's sections with the operators' changes."""
        current = doc.tuning.ledger_partitions
        requested = self.files.tuning.ledger_partitions
        if requested < current and doc.workspaces:
            # Entries in the removed partitions would no longer be read.
            finding = checks.error(
                "ledger-shrinks",
                ("tuning", "ledger_partitions"),
                str(requested),
                f"at least {current}, as the ledger has so many already",
            )
            return Err([finding])
        return Ok(self.apply_unchecked(doc))

    def apply_unchecked(self, doc: document.Document) -> document.Document:
        """Return the edited document without checking the edit."""
        operations = document.Operations() if self.clear else doc.operations
        return self.files.model_copy(update={_OPERATIONS: operations})

    def conflicts(
        self, ours: Sequence[diff.Change], theirs: Sequence[diff.Change]
    ) -> bool:
        """Return whether sections changed, or the edit clears operations.

        A folder contains all sections, so applying it on top of another
        folder's change would revert that change.
        """
        return self.clear or any(
            change.path[0] != _OPERATIONS for change in theirs
        )


class PlacementTarget(enum.Enum):
    """What operators take out of service and bring back.

    The value is the name of the section in a document.
    """

    ZONE = "zones"
    SERVER = "servers"


@dataclass(frozen=True, slots=True)
class SetPlacement(OverlayEdit):
    """Takes a zone or a backend server out of service, or brings it back.

    :param target: whether a zone or a backend server is changed.
    :param name: name of the zone or backend server.
    :param state: new state.
    """

    target: PlacementTarget
    name: str
    state: snapshot.PlacementState

    @property
    def protective(self) -> bool:
        """Whether the edit takes its target out of service."""
        return self.state is snapshot.PlacementState.OUT

    @property
    def summary(self) -> str:
        """Short description of the change."""
        return f"{self.target.value} {self.name} {self.state.value}"

    def apply(self, doc: document.Document) -> EditResult:
        """Return the document with the new state."""
        sections = getattr(doc, self.target.value)
        if self.name not in sections:
            return undeclared((self.target.value,), self.name, sections)
        overlays = dict(getattr(doc.operations, self.target.value))
        declared_state = sections[self.name].state
        in_service = snapshot.PlacementState.IN
        if self.state is in_service and declared_state is in_service:
            overlays.pop(self.name, None)
        else:
            # OUT is recorded even when the files declare it too, so that a
            # later folder does not bring back what an operator took out.
            overlays[self.name] = self.state
        return Ok(with_operations(doc, {self.target.value: overlays}))


def _is_prefix(prefix: findings.KeyPath, path: findings.KeyPath) -> bool:
    return path[: len(prefix)] == prefix


def with_operations(
    doc: document.Document, update: dict[str, object]
) -> document.Document:
    """Return a document with some members of its operations replaced.

    :param update: new values by the names of the members.
    """
    updated: pydantic.BaseModel = doc.operations.model_copy(update=update)
    return doc.model_copy(update={_OPERATIONS: updated})


def undeclared(
    path: findings.KeyPath, name: str, declared: object
) -> Err[list[findings.Finding]]:
    """Return the error for a name that the files do not declare.

    :param path: path of the section that should declare it.
    :param declared: declared names as the keys of a dictionary.
    """
    names = list(declared) if isinstance(declared, dict) else []
    finding = checks.error(
        "undeclared", path, repr(name), checks.one_of(names)
    )
    return Err([finding])
