"""Accepts operators' edits while other operators make changes."""

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

    :param head: generation that contains the edit.
    :param data: canonical bytes of that generation's document.
    :param changes: what the edit changed; empty when it was in force already.
    :param warnings: findings that did not prevent the edit.
    """

    head: heads.Head
    data: bytes
    changes: tuple[diff.Change, ...]
    warnings: tuple[findings.Finding, ...]


@dataclass(frozen=True, slots=True)
class EditRefused:
    """The edit can't be made or would give a configuration with errors.

    :param findings: the errors.
    """

    findings: tuple[findings.Finding, ...]


@dataclass(frozen=True, slots=True)
class _Draft:
    """An edit applied to the document of one generation.

    :param head: generation that the edit was applied to.
    :param before: document of that generation.
    :param after: the edited document, without errors.
    :param changes: differences between the two.
    :param warnings: findings in the edited document.
    """

    head: heads.Head
    before: document.Document
    after: document.Document
    changes: list[diff.Change]
    warnings: list[findings.Finding]


EditError = EditRefused | heads.HeadConflict


class Editor:
    """Applies edits to the document in force and accepts the result.

    When another change was accepted first, the edit is applied again to the
    new document, unless the two changes conflict.

    :param store: store of the accepted configurations.
    :param author: operator who makes the edits.
    """

    def __init__(self, store: heads.HeadStore, author: str) -> None:
        self._store = store
        self._author = author

    async def edit(
        self, edit: edits.Edit, expected_generation: int | None = None
    ) -> Result[AcceptedEdit, EditError]:
        """Put an edit into force.

        :param edit: change to make.
        :param expected_generation: generation that must be in force before
            the edit; None accepts any.
        :returns: the accepted edit; or why it was refused; or the conflict
            when another change is in the way, also when each of
            ``MAX_ATTEMPTS`` attempts lost against another change.
        :raises StoreUnavailable: when nothing was accepted.
        :raises StoreOutcomeUnknown: when the edit may have been accepted.
        """
        first: _Draft | None = None
        for _ in range(MAX_ATTEMPTS):
            head = await self._store.read()
            expected = expected_generation
            if expected is not None and expected != head.generation:
                return Err(await self._store.conflict_since(expected, head))
            draft_result = await self._draft(edit, head)
            if isinstance(draft_result, Err):
                return draft_result
            draft = draft_result.ok_value
            if not draft.changes:
                return Ok(_accepted(draft, head))
            first = first or draft
            conflict = _changes_by_others(first, draft)
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
        """Apply an edit to the document of a generation and check it."""
        before = await self._store.load_document(head)
        edited = edit.apply(before)
        if isinstance(edited, Err):
            return Err(EditRefused(tuple(edited.err_value)))
        after = edited.ok_value
        check_findings = checks.run_checks(after)
        errors = findings.errors(check_findings)
        if errors:
            return Err(EditRefused(tuple(errors)))
        changes = diff.diff_documents(before, after)
        return Ok(_Draft(head, before, after, changes, check_findings))


def _changes_by_others(first: _Draft, draft: _Draft) -> heads.HeadConflict:
    """Return what others changed between two drafts of the same edit."""
    theirs = diff.diff_documents(first.before, draft.before)
    return heads.HeadConflict(first.head.generation, draft.head, tuple(theirs))


def _accepted(draft: _Draft, head: heads.Head) -> AcceptedEdit:
    return AcceptedEdit(
        head,
        draft.after.to_bytes(),
        tuple(draft.changes),
        tuple(draft.warnings),
    )
