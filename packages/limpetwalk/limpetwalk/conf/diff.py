"""Compares two documents value by value."""

from dataclasses import dataclass
import hashlib
import json
from typing import Any

from . import document
from . import findings

MASK_DIGITS = 8

_ABSENT = object()


@dataclass(frozen=True, slots=True)
class Change:
    """Difference of one value.

    :param path: keys from the top to the value.
    :param old: JSON value before, or None when it was absent.
    :param new: JSON value after, or None when it is absent.
    :param kind: ``added``, ``removed`` or ``changed``.
    """

    path: findings.KeyPath
    old: Any
    new: Any
    kind: str

    def __str__(self) -> str:
        path = findings.format_path(self.path)
        if self.kind == "added":
            return f"+ {path}: {format_value(self.new)}"
        if self.kind == "removed":
            return f"- {path}: {format_value(self.old)}"
        return (
            f"~ {path}: {format_value(self.old)} -> {format_value(self.new)}"
        )


def diff_documents(
    old: document.Document, new: document.Document
) -> list[Change]:
    """Return the changes between documents, with secrets masked.

    The changes are ordered by path.
    """
    return diff_trees(mask_secrets(old), mask_secrets(new))


def diff_trees(old: Any, new: Any) -> list[Change]:
    """Return the changes between plain data, ordered by path."""
    changes: list[Change] = []
    _collect_changes(old, new, (), changes)
    return changes


def format_value(value: Any) -> str:
    """Return a value as operators would write it in a file."""
    if isinstance(value, str):
        return value
    return json.dumps(value, ensure_ascii=False)


def mask_secrets(doc: document.Document) -> dict[str, Any]:
    """Return a document as plain data with digests in place of secrets."""
    tree = doc.model_dump(mode="json")
    for section in tree["session_keys"].values():
        section["secret"] = mask_secret(section["secret"])
    return tree


def mask_secret(secret: str) -> str:
    """Return a text that differs between secrets but does not reveal them."""
    digest = hashlib.sha256(secret.encode()).hexdigest()
    return f"<secret {digest[:MASK_DIGITS]}>"


def _collect_changes(
    old: Any, new: Any, path: findings.KeyPath, changes: list[Change]
) -> None:
    """Add the changes between two values to a list."""
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            _collect_changes(
                old.get(key, _ABSENT),
                new.get(key, _ABSENT),
                (*path, key),
                changes,
            )
    elif old is _ABSENT:
        changes.append(Change(path, None, new, "added"))
    elif new is _ABSENT:
        changes.append(Change(path, old, None, "removed"))
    else:
        changes.append(Change(path, old, new, "changed"))
