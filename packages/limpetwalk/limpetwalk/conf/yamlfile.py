"""Reads one YAML file into a marked tree.

Only plain data is taken: mappings with text keys, lists, text, numbers,
booleans and null. Anchors with aliases, tags, merge keys and several
documents are findings, and so is anything that would cost unbounded time or
memory.
"""

import os
import stat
from typing import Any

from result import Err
from result import Ok
from result import Result
import yaml

from . import findings
from . import marked

MAX_FILE_BYTES = 2 * 1024 * 1024
MAX_DEPTH = 16
MAX_INT_DIGITS = 18

_TAG = "tag:yaml.org,2002:"
_NULL = _TAG + "null"
_MERGE = _TAG + "merge"
_CONSTRUCTED = frozenset(_TAG + kind for kind in ("int", "float", "bool"))
# Dates are taken as text: a version may be named 2026-05-01.
_TEXT = frozenset(_TAG + kind for kind in ("str", "timestamp", "value"))

_Loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def read(path: str) -> Result[marked.Marked, list[findings.Finding]]:
    """Return the tree of a file, or all findings in it.

    :param path: path of the file.
    """
    content = _read_text(path)
    if isinstance(content, findings.Finding):
        return Err([content])
    return parse(content, path)


def parse(
    text: str, path: str
) -> Result[marked.Marked, list[findings.Finding]]:
    """Return the tree of a YAML text, or all findings in it.

    :param text: contents of the file.
    :param path: path of the file, for places.
    """
    try:
        found = _check_events(text, path)
        if found:
            return Err(found)
        root = yaml.compose(text, Loader=_Loader)
    except yaml.YAMLError as exc:
        return Err([_yaml_error(exc, path)])
    if root is None:
        return Ok(marked.Marked({}, findings.Place(path, 1)))
    reader = _TreeReader(path)
    tree = reader.convert(root, ())
    if not isinstance(tree.value, dict) and not reader.found:
        reader.add(root, "mapping", (), _kind(root), "a mapping at the top")
    return Err(reader.found) if reader.found else Ok(tree)


def _read_text(path: str) -> str | findings.Finding:
    try:
        status = os.stat(path)
        if not stat.S_ISREG(status.st_mode):
            return _file_finding(path, "not-a-file", _file_kind(status))
        if status.st_size > MAX_FILE_BYTES:
            return _too_large(path, status.st_size)
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as exc:
        return _file_finding(path, "unreadable", exc.strerror or str(exc))
    if len(data) > MAX_FILE_BYTES:
        return _too_large(path, len(data))
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as exc:
        line = data.count(b"\n", 0, exc.start) + 1
        got = f"byte 0x{data[exc.start]:02x}"
        place = findings.Place(path, line)
        return findings.Finding(
            "not-utf8", findings.Level.ERROR, (), got, "UTF-8", place=place
        )


def _file_kind(status: os.stat_result) -> str:
    return "a folder" if stat.S_ISDIR(status.st_mode) else "a special file"


def _file_finding(path: str, ident: str, got: str) -> findings.Finding:
    place = findings.Place(path)
    return findings.Finding(
        ident, findings.Level.ERROR, (), got, "a readable file", place=place
    )


def _too_large(path: str, size: int) -> findings.Finding:
    return findings.Finding(
        "too-large",
        findings.Level.ERROR,
        (),
        f"{size} bytes or more",
        f"at most {MAX_FILE_BYTES} bytes in a file",
        place=findings.Place(path),
    )


def _yaml_error(exc: yaml.YAMLError, path: str) -> findings.Finding:
    mark = getattr(exc, "problem_mark", None)
    got = getattr(exc, "problem", None) or getattr(exc, "reason", None)
    return findings.Finding(
        "not-yaml",
        findings.Level.ERROR,
        (),
        str(got or exc),
        "YAML",
        place=findings.Place(path, _line(mark)),
    )


def _check_events(text: str, path: str) -> list[findings.Finding]:
    """Return findings that must be known before a tree is built.

    A tree is built by recursion and an alias may stand for any number of
    values, so depth and aliases are checked on the flat list of events.
    """
    found: list[findings.Finding] = []
    depth = documents = 0
    for event in yaml.parse(text, Loader=_Loader):
        ident = got = expected = ""
        if isinstance(event, yaml.AliasEvent):
            ident, got = "alias", f"alias *{event.anchor}"
            expected = "the value written out"
        elif isinstance(event, yaml.DocumentStartEvent):
            documents += 1
            if documents == 2:
                ident, got = "documents", "a second document"
                expected = "one document in a file"
        elif isinstance(event, yaml.CollectionStartEvent):
            depth += 1
            if depth == MAX_DEPTH + 1:
                ident, got = "depth", f"more than {MAX_DEPTH} levels"
                expected = f"at most {MAX_DEPTH} levels"
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if ident:
            place = findings.Place(path, _line(event.start_mark))
            level = findings.Level.ERROR
            found.append(
                findings.Finding(ident, level, (), got, expected, place=place)
            )
    return found


def _kind(node: yaml.Node) -> str:
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    return "a list" if isinstance(node, yaml.SequenceNode) else "a value"


def _line(mark: Any) -> int:
    return mark.line + 1 if mark else 0


class _TreeReader:
    def __init__(self, path: str) -> None:
        self.found: list[findings.Finding] = []
        self._path = path
        self._scalars = yaml.SafeLoader("")

    def add(
        self,
        node: yaml.Node,
        ident: str,
        path: findings.KeyPath,
        got: str,
        expected: str,
    ) -> None:
        self.found.append(
            findings.Finding(
                ident,
                findings.Level.ERROR,
                path,
                got,
                expected,
                place=self._place(node),
            )
        )

    def convert(
        self, node: yaml.Node, path: findings.KeyPath
    ) -> marked.Marked:
        place = self._place(node)
        if isinstance(node, yaml.MappingNode) and node.tag == _TAG + "map":
            return marked.Marked(self._mapping(node, path), place)
        if isinstance(node, yaml.SequenceNode) and node.tag == _TAG + "seq":
            items = enumerate(node.value)
            return marked.Marked(
                [self.convert(item, (*path, index)) for index, item in items],
                place,
            )
        if isinstance(node, yaml.ScalarNode):
            return marked.Marked(self._scalar(node, path), place)
        self.add(node, "tag", path, f"tag {node.tag}", "plain data")
        return marked.Marked(None, place)

    def _mapping(
        self, node: yaml.MappingNode, path: findings.KeyPath
    ) -> dict[str, marked.Marked]:
        items: dict[str, marked.Marked] = {}
        for key_node, item_node in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                self.add(
                    key_node, "key", path, _kind(key_node), "a text as key"
                )
                continue
            # Keys are names, so 1.10 as a key is the text "1.10".
            key = key_node.value
            if key_node.tag == _MERGE:
                self.add(key_node, "merge-key", path, "<<", "keys written out")
                continue
            if key in items:
                first = items[key].place.line
                self.add(
                    key_node,
                    "duplicate-key",
                    (*path, key),
                    f"key {key!r} again, first on line {first}",
                    "each key once in a mapping",
                )
                continue
            item = self.convert(item_node, (*path, key))
            items[key] = marked.Marked(item.value, self._place(key_node))
        return items

    def _scalar(
        self, node: yaml.ScalarNode, path: findings.KeyPath
    ) -> marked.Scalar:
        if node.tag == _NULL:
            return None
        if node.tag in _TEXT:
            return str(node.value)
        if node.tag not in _CONSTRUCTED:
            self.add(node, "tag", path, f"tag {node.tag}", "plain data")
            return None
        try:
            value = self._scalars.construct_object(node)
        except (ValueError, LookupError, yaml.YAMLError):
            self.add(node, "scalar", path, repr(node.value), "plain data")
            return None
        if isinstance(value, int) and abs(value) >= 10**MAX_INT_DIGITS:
            self.add(
                node,
                "scalar",
                path,
                "a number out of range",
                f"at most {MAX_INT_DIGITS} digits",
            )
            return None
        return value

    def _place(self, node: yaml.Node) -> findings.Place:
        return findings.Place(self._path, _line(node.start_mark))
