"""Checks the valid part of a document that has errors.

An operator wants all findings of a folder at once. Values that do not
validate are removed, the rest is checked, and findings that only result from
the removals are left out.
"""

from collections.abc import Sequence
from typing import Any

import pydantic

from . import checks
from . import document
from . import findings

# Number of keys in the path of an entry: section and name.
ENTRY_DEPTH = 2


def check_valid_part(
    tree: dict[str, Any],
    validation_findings: Sequence[findings.Finding],
) -> list[findings.Finding]:
    """Return the errors that the checks find in the valid part of a tree.

    :param tree: plain data that did not validate; invalid values are removed
        from it.
    :param validation_findings: findings of its validation.
    """
    removed = [
        _remove_invalid(tree, finding) for finding in validation_findings
    ]
    if any(len(path) < ENTRY_DEPTH for path in removed):
        # A whole section was removed, so most names would seem undeclared.
        return []
    try:
        doc = document.Document.from_tree(tree)
    except pydantic.ValidationError:
        return []
    removed_names = {repr(path[1]) for path in removed}
    return [
        finding
        for finding in checks.run_checks(doc)
        if finding.level is findings.Level.ERROR
        and finding.got not in removed_names
        and not any(_overlap(finding.path, path) for path in removed)
    ]


def _remove_invalid(
    tree: dict[str, Any], finding: findings.Finding
) -> findings.KeyPath:
    """Remove the value of a finding and return the path of the removal.

    An unknown key is removed alone, any other value with its whole entry.
    """
    path = finding.path
    if finding.id != "extra-forbidden":
        path = path[:ENTRY_DEPTH]
    node: Any = tree
    for key in path[:-1]:
        if isinstance(node, list) and isinstance(key, int):
            node = node[key] if key < len(node) else None
        else:
            node = node.get(key) if isinstance(node, dict) else None
    if isinstance(node, dict) and path:
        node.pop(path[-1], None)
    return path


def _overlap(path: findings.KeyPath, other: findings.KeyPath) -> bool:
    """Return whether one path is a prefix of the other."""
    shorter = min(len(path), len(other))
    return path[:shorter] == other[:shorter]
