"""Trees of YAML values, each with the file and line that it came from."""

import dataclasses
from dataclasses import dataclass
from typing import Any

from . import findings

Scalar = str | int | float | bool | None


@dataclass(frozen=True, slots=True)
class LocatedValue:
    """Value with its location.

    :param value: mapping, list or scalar; what a mapping or a list holds
        is located too.
    :param location: line of the key for a value in a mapping, else of the
        value.
    """

    value: "dict[str, LocatedValue] | list[LocatedValue] | Scalar"
    location: findings.Location

    def plain(self) -> Any:
        """Return the value without its places."""
        if isinstance(self.value, dict):
            return {key: item.plain() for key, item in self.value.items()}
        if isinstance(self.value, list):
            return [item.plain() for item in self.value]
        return self.value


def merge(first: LocatedValue, later: LocatedValue) -> LocatedValue:
    """Return two trees merged: mappings key by key, else the later wins."""
    if not isinstance(first.value, dict) or not isinstance(later.value, dict):
        return later
    merged = dict(first.value)
    for key, item in later.value.items():
        held = merged.get(key)
        merged[key] = item if held is None else merge(held, item)
    return LocatedValue(merged, first.location)


def location_of(
    tree: LocatedValue, path: findings.KeyPath
) -> findings.Location | None:
    """Return the location of a value, or None when the tree has none."""
    node = tree
    for key in path:
        child = _child(node, key)
        if child is None:
            return None
        node = child
    return node.location


def with_location(
    finding: findings.Finding, tree: LocatedValue
) -> findings.Finding:
    """Return a finding with the location of the value that it is about."""
    if finding.location is not None:
        return finding
    location = nearest_location(tree, finding.path)
    return dataclasses.replace(finding, location=location)


def nearest_location(
    tree: LocatedValue, path: findings.KeyPath
) -> findings.Location:
    """Return the location of a value, or of what encloses it when absent."""
    node = tree
    for key in path:
        child = _child(node, key)
        if child is None:
            break
        node = child
    return node.location


def _child(node: LocatedValue, key: str | int) -> LocatedValue | None:
    if isinstance(node.value, dict):
        return node.value.get(str(key))
    if isinstance(node.value, list) and isinstance(key, int):
        return node.value[key] if key < len(node.value) else None
    return None
