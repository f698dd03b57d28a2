"""Trees of YAML values, each with its location in a file."""

import dataclasses
from dataclasses import dataclass
from typing import Any

from . import findings

Scalar = str | int | float | bool | None


@dataclass(frozen=True, slots=True)
class LocatedValue:
    """Value with its location.

    :param value: mapping, list or scalar; the members of a mapping or list
        are located values too.
    :param location: line of the key for a value in a mapping, else of the
        value.
    """

    value: "dict[str, LocatedValue] | list[LocatedValue] | Scalar"
    location: findings.Location

    def plain(self) -> Any:
        """Return the value without locations."""
        if isinstance(self.value, dict):
            return {key: item.plain() for key, item in self.value.items()}
        if isinstance(self.value, list):
            return [item.plain() for item in self.value]
        return self.value


def merge(first: LocatedValue, later: LocatedValue) -> LocatedValue:
    """Return two merged trees.

    Mappings are merged key by key; any other value of the later tree replaces
    that of the first.
    """
    if not isinstance(first.value, dict) or not isinstance(later.value, dict):
        return later
    merged = dict(first.value)
    for key, item in later.value.items():
        earlier = merged.get(key)
        merged[key] = item if earlier is None else merge(earlier, item)
    return LocatedValue(merged, first.location)


def location_of(
    tree: LocatedValue, path: findings.KeyPath
) -> findings.Location | None:
    """Return the location of a value, or None when it is absent."""
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
    """Return a finding with the location of its value added.

    A finding that has a location already is returned unchanged.
    """
    if finding.location is not None:
        return finding
    location = nearest_location(tree, finding.path)
    return dataclasses.replace(finding, location=location)


def nearest_location(
    tree: LocatedValue, path: findings.KeyPath
) -> findings.Location:
    """Return the location of a value.

    When the value is absent, it is that of the innermost mapping or list on
    the path to it.
    """
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
