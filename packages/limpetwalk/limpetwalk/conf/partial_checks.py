"""Checks what is sound in a document that has errors.

An operator wants all findings of a folder at once. Values that do not
validate are cut out, the rest is checked, and findings that only come from
the cuts are left out.
"""

from collections.abc import Sequence
from typing import Any

import pydantic

from . import checks
from . import document
from . import findings

ENTRY_DEPTH = 2


def check_valid_part(
    tree: dict[str, Any],
    found: Sequence[findings.Finding],
) -> list[findings.Finding]:
    """Return what the checks find in the sound part of a tree.

    :param tree: plain data that did not validate; it is changed.
    :param found: findings of its validation.
    """
    cuts = [_cut(tree, finding) for finding in found]
    if any(len(cut) < ENTRY_DEPTH for cut in cuts):
        # A whole section is gone, so most names would seem undeclared.
        return []
    try:
        doc = document.Document.from_tree(tree)
    except pydantic.ValidationError:
        return []
    missing = {repr(cut[1]) for cut in cuts}
    return [
        finding
        for finding in checks.run_checks(doc)
        if finding.level is findings.Level.ERROR
        and finding.got not in missing
        and not any(_related(finding.path, cut) for cut in cuts)
    ]


def _cut(tree: dict[str, Any], finding: findings.Finding) -> findings.KeyPath:
    """Remove what a finding is about and return the path of the cut.

    An unknown key is cut alone, anything else with its whole entry.
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


def _related(path: findings.KeyPath, cut: findings.KeyPath) -> bool:
    shorter = min(len(path), len(cut))
    return path[:shorter] == cut[:shorter]
