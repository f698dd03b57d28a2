"""Trees of YAML values, each with the file and line that it came from."""

import dataclasses
from dataclasses import dataclass
from typing import Any

from . import findings

Scalar = str | int | float | bool | None


@dataclass(frozen=True, slots=True)
class Marked:
    """Value with its place.

    :param value: mapping, list or scalar; what a mapping or a list holds
        is marked too.
    :param place: line of the key for a value in a mapping, else of the
        value.
    """

    value: "dict[str, Marked] | list[Marked] | Scalar"
    place: findings.Place

    def plain(self) -> Any:
        """Return the value without its places."""
        if isinstance(self.value, dict):
            return {key: item.plain() for key, item in self.value.items()}
        if isinstance(self.value, list):
            return [item.plain() for item in self.value]
        return self.value


def merge(first: Marked, later: Marked) -> Marked:
    """Return two trees merged: mappings key by key, else the later wins."""
    if not isinstance(first.value, dict) or not isinstance(later.value, dict):
        return later
    merged = dict(first.value)
    for key, item in later.value.items():
        held = merged.get(key)
        merged[key] = item if held is None else merge(held, item)
    return Marked(merged, first.place)


def place_of(tree: Marked, path: findings.KeyPath) -> findings.Place | None:
    """Return the place of a value, or None when the tree has none."""
    node = tree
    for key in path:
        child = _child(node, key)
        if child is None:
            return None
        node = child
    return node.place


def placed(finding: findings.Finding, tree: Marked) -> findings.Finding:
    """Return a finding with the place of the value that it is about."""
    if finding.place is not None:
        return finding
    place = nearest(tree, finding.path)
    return dataclasses.replace(finding, place=place)


def nearest(tree: Marked, path: findings.KeyPath) -> findings.Place:
    """Return the place of a value, or of what encloses it when absent."""
    node = tree
    for key in path:
        child = _child(node, key)
        if child is None:
            break
        node = child
    return node.place


def _child(node: Marked, key: str | int) -> Marked | None:
    if isinstance(node.value, dict):
        return node.value.get(str(key))
    if isinstance(node.value, list) and isinstance(key, int):
        return node.value[key] if key < len(node.value) else None
    return None
