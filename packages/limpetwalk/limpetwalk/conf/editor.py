"""Accepts operators' edits when several operators change things at once."""

from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from . import checks
from . import diff
from . import document
from . import edits
from . import findings
from . import head as heads

MAX_ATTEMPTS = 16


@dataclass(frozen=True, slots=True)
class AcceptedEdit:
    """Outcome of an edit that is in force.

    :param head: generation that carries it.
    :param data: bytes of its document.
    :param changes: what it changed; empty when it was in force already.
    :param warnings: findings that do not keep it out.
    """

    head: heads.Head
    data: bytes
    changes: tuple[diff.Change, ...]
    warnings: tuple[findings.Finding, ...]


@dataclass(frozen=True, slots=True)
class EditRefused:
    """The edit would make a configuration that has errors.

    :param findings: the errors.
    """

    findings: tuple[findings.Finding, ...]


@dataclass(frozen=True, slots=True)
class _Draft:
    head: heads.Head
    before: document.Document
    after: document.Document
    changes: list[diff.Change]
    warnings: list[findings.Finding]


EditError = EditRefused | heads.HeadConflict


class Editor:
    """Reads the head, edits it and accepts the result.

    When another change came first, the edit is made anew on it, unless the
    two clash.

    :param store: store of the accepted configurations.
    :param author: operator who makes the edits.
    """

    def __init__(self, store: heads.HeadStore, author: str) -> None:
        self._store = store
        self._author = author

    async def edit(
        self, edit: edits.Edit, expected_generation: int | None = None
    ) -> Result[AcceptedEdit, EditError]:
        """Bring an edit in force.

        :param edit: change to make.
        :param expected_generation: generation that must be in force before;
            None takes any.
        :raises StoreUnavailable: when nothing was accepted.
        :raises StoreOutcomeUnknown: when it may have been accepted.
        """
        first: _Draft | None = None
        for _ in range(MAX_ATTEMPTS):
            head = await self._store.read()
            expected = expected_generation
            if expected is not None and expected != head.generation:
                return Err(await self._store.conflict_since(expected, head))
            drafted = await self._draft(edit, head)
            if isinstance(drafted, Err):
                return drafted
            draft = drafted.ok_value
            if not draft.changes:
                return Ok(_accepted(draft, head))
            first = first or draft
            conflict = _since(first, draft)
            if conflict.changes and edit.conflicts(
                first.changes, conflict.changes
            ):
                return Err(conflict)
            outcome = await self._store.accept(
                draft.after.to_bytes(),
                head.generation,
                self._author,
                edit.summary,
            )
            if isinstance(outcome, Ok):
                return Ok(_accepted(draft, outcome.ok_value))
        return Err(conflict)

    async def _draft(
        self, edit: edits.Edit, head: heads.Head
    ) -> Result[_Draft, EditError]:
        before = await self._store.load_document(head)
        edited = edit.apply(before)
        if isinstance(edited, Err):
            return Err(EditRefused(tuple(edited.err_value)))
        after = edited.ok_value
        found = checks.run_checks(after)
        errors = findings.errors(found)
        if errors:
            return Err(EditRefused(tuple(errors)))
        changes = diff.diff_documents(before, after)
        return Ok(_Draft(head, before, after, changes, found))


def _since(first: _Draft, draft: _Draft) -> heads.HeadConflict:
    """Return what others changed between two drafts of one edit."""
    theirs = diff.diff_documents(first.before, draft.before)
    return heads.HeadConflict(first.head.generation, draft.head, tuple(theirs))


def _accepted(draft: _Draft, head: heads.Head) -> AcceptedEdit:
    return AcceptedEdit(
        head,
        draft.after.to_bytes(),
        tuple(draft.changes),
        tuple(draft.warnings),
    )
