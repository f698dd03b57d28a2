"""Converts the nodes of a YAML file to a tree of values with locations."""

from typing import Any

import yaml

from . import findings
from . import located

MAX_INT_DIGITS = 18

_TAG = "tag:yaml.org,2002:"
_NULL = _TAG + "null"
_MERGE = _TAG + "merge"
_CONSTRUCTED = frozenset(_TAG + kind for kind in ("int", "float", "bool"))
# Dates are read as text, as a version may be named 2026-05-01.
_TEXT = frozenset(_TAG + kind for kind in ("str", "timestamp", "value"))


class TreeReader:
    """Converts nodes and collects findings.

    ``findings`` has those of all nodes converted so far.

    :param path: path of the file, for locations.
    """

    def __init__(self, path: str) -> None:
        self.findings: list[findings.Finding] = []
        self._path = path
        self._scalars = yaml.SafeLoader("")

    def _add_finding(
        self,
        node: yaml.Node,
        ident: str,
        path: findings.KeyPath,
        got: str,
        expected: str,
    ) -> None:
        self.findings.append(
            findings.Finding(
                ident,
                findings.Level.ERROR,
                path,
                got,
                expected,
                location=self._location(node),
            )
        )

    def convert(
        self, node: yaml.Node, path: findings.KeyPath = ()
    ) -> located.LocatedValue:
        """Return the tree of a node.

        :param path: keys from the top to the node.
        """
        location = self._location(node)
        if isinstance(node, yaml.MappingNode) and node.tag == _TAG + "map":
            return located.LocatedValue(self._mapping(node, path), location)
        if isinstance(node, yaml.SequenceNode) and node.tag == _TAG + "seq":
            items = enumerate(node.value)
            return located.LocatedValue(
                [self.convert(item, (*path, index)) for index, item in items],
                location,
            )
        if isinstance(node, yaml.ScalarNode):
            return located.LocatedValue(self._scalar(node, path), location)
        self._add_finding(node, "tag", path, f"tag {node.tag}", "plain data")
        return located.LocatedValue(None, location)

    def _mapping(
        self, node: yaml.MappingNode, path: findings.KeyPath
    ) -> dict[str, located.LocatedValue]:
        items: dict[str, located.LocatedValue] = {}
        for key_node, item_node in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                self._add_finding(
                    key_node, "key", path, kind_of(key_node), "a text as key"
                )
                continue
            # Keys are names, so the key 1.10 is read as text "1.10".
            key = key_node.value
            if key_node.tag == _MERGE:
                self._add_finding(
                    key_node, "merge-key", path, "<<", "keys written out"
                )
                continue
            if key in items:
                first_line = items[key].location.line
                self._add_finding(
                    key_node,
                    "duplicate-key",
                    (*path, key),
                    f"key {key!r} again, first on line {first_line}",
                    "each key once in a mapping",
                )
                continue
            item = self.convert(item_node, (*path, key))
            items[key] = located.LocatedValue(
                item.value, self._location(key_node)
            )
        return items

    def _scalar(
        self, node: yaml.ScalarNode, path: findings.KeyPath
    ) -> located.Scalar:
        if node.tag == _NULL:
            return None
        if node.tag in _TEXT:
            return str(node.value)
        if node.tag not in _CONSTRUCTED:
            self._add_finding(
                node, "tag", path, f"tag {node.tag}", "plain data"
            )
            return None
        try:
            value = self._scalars.construct_object(node)
        except (ValueError, LookupError, yaml.YAMLError):
            self._add_finding(
                node, "scalar", path, repr(node.value), "plain data"
            )
            return None
        if isinstance(value, int) and abs(value) >= 10**MAX_INT_DIGITS:
            self._add_finding(
                node,
                "scalar",
                path,
                "a number out of range",
                f"at most {MAX_INT_DIGITS} digits",
            )
            return None
        return value

    def _location(self, node: yaml.Node) -> findings.Location:
        return findings.Location(self._path, line_of(node.start_mark))


def kind_of(node: yaml.Node) -> str:
    """Return the kind of a node for messages, such as "a list"."""
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    return "a list" if isinstance(node, yaml.SequenceNode) else "a value"


def line_of(mark: Any) -> int:
    """Return the line number of a YAML mark, from 1; 0 without a mark."""
    return mark.line + 1 if mark else 0
