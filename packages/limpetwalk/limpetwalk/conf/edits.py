"""Operators' edits of a document, kept as overlays over its files.

An edit is applied to a document and gives the next one or findings. The
same edit can be applied again to a newer document when another operator's
change came first.
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

Edited = Result[document.Document, list[findings.Finding]]

_OPERATIONS = "operations"


class Edit(Protocol):
    """Change that an operator wants."""

    @property
    def summary(self) -> str:
        """The change in a few words, for the history."""
        ...

    def apply(self, doc: document.Document) -> Edited:
        """Return the changed document, or why it can't be changed."""
        ...

    def conflicts(
        self, ours: Sequence[diff.Change], theirs: Sequence[diff.Change]
    ) -> bool:
        """Return whether another's changes are to be told, not built upon.

        :param ours: what this edit changed in the document it was made on.
        :param theirs: what another operator changed in it meanwhile.
        """
        ...


class OverlayEdit:
    """Edit of single values, which others' edits of other values allow."""

    @property
    def protective(self) -> bool:
        """Whether the edit only takes work away from something."""
        return False

    def conflicts(
        self, ours: Sequence[diff.Change], theirs: Sequence[diff.Change]
    ) -> bool:
        """Return whether both changed one value.

        What takes work away is never held up by an edit that came first.
        """
        return not self.protective and any(
            _encloses(mine.path, other.path)
            or _encloses(other.path, mine.path)
            for mine in ours
            for other in theirs
        )


@dataclass(frozen=True, slots=True)
class ReplaceFiles:
    """Puts the sections of a folder in the place of the accepted ones.

    :param files: document of the folder, without operators' changes.
    :param source: path of the folder.
    :param clear: whether to drop operators' changes as well.
    """

    files: document.Document
    source: str
    clear: bool = False

    @property
    def summary(self) -> str:
        """The change in a few words."""
        cleared = ", operations cleared" if self.clear else ""
        return f"apply {self.source}{cleared}"

    def apply(self, doc: document.Document) -> Edited:
        """Return the folder's sections with the operators' changes."""
        held = doc.tuning.ledger_partitions
        wanted = self.files.tuning.ledger_partitions
        if wanted < held and doc.workspaces:
            # Entries in the partitions above would not be read any more.
            found = checks.error(
                "ledger-shrinks",
                ("tuning", "ledger_partitions"),
                str(wanted),
                f"at least {held}, as the ledger has so many already",
            )
            return Err([found])
        return Ok(self.apply_unchecked(doc))

    def apply_unchecked(self, doc: document.Document) -> document.Document:
        """Return what the document becomes, checked or not."""
        kept = document.Operations() if self.clear else doc.operations
        return self.files.model_copy(update={_OPERATIONS: kept})

    def conflicts(
        self, ours: Sequence[diff.Change], theirs: Sequence[diff.Change]
    ) -> bool:
        """Return whether files changed, or operations that we clear.

        A folder holds all sections, so building on another folder's change
        would take it back.
        """
        return self.clear or any(
            change.path[0] != _OPERATIONS for change in theirs
        )


class PlacementTarget(enum.Enum):
    """What operators take out and bring back."""

    ZONE = "zones"
    SERVER = "servers"


@dataclass(frozen=True, slots=True)
class SetPlacement(OverlayEdit):
    """Takes a zone or a backend server out, or brings it back.

    :param target: zone or backend server.
    :param name: its name.
    :param state: state that it gets.
    """

    target: PlacementTarget
    name: str
    state: snapshot.PlacementState

    @property
    def protective(self) -> bool:
        """Whether the edit takes out."""
        return self.state is snapshot.PlacementState.OUT

    @property
    def summary(self) -> str:
        """The change in a few words."""
        return f"{self.target.value} {self.name} {self.state.value}"

    def apply(self, doc: document.Document) -> Edited:
        """Return the document with the state."""
        sections = getattr(doc, self.target.value)
        if self.name not in sections:
            return undeclared((self.target.value,), self.name, sections)
        overlays = dict(getattr(doc.operations, self.target.value))
        declared = sections[self.name].state
        back = snapshot.PlacementState.IN
        if self.state is back and declared is back:
            overlays.pop(self.name, None)
        else:
            # Out is recorded even when the files say so too: a later folder
            # does not bring back what an operator took out.
            overlays[self.name] = self.state
        return Ok(with_operations(doc, {self.target.value: overlays}))


def _encloses(outer: findings.KeyPath, inner: findings.KeyPath) -> bool:
    return inner[: len(outer)] == outer


def with_operations(
    doc: document.Document, update: dict[str, object]
) -> document.Document:
    changed: pydantic.BaseModel = doc.operations.model_copy(update=update)
    return doc.model_copy(update={_OPERATIONS: changed})


def undeclared(
    path: findings.KeyPath, name: str, known: object
) -> Err[list[findings.Finding]]:
    names = list(known) if isinstance(known, dict) else []
    found = checks.error("undeclared", path, repr(name), checks.one_of(names))
    return Err([found])
