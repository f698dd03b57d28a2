"""Reads one YAML file into a tree of values with locations.

Only plain data is accepted: mappings with text keys, lists, text, numbers,
booleans and null. Aliases, tags, merge keys and several documents are
reported as findings, and so is anything that would take unbounded time or
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
from . import located
from . import yamlevents
from . import yamltree

MAX_FILE_BYTES = 2 * 1024 * 1024

_Loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def read(path: str) -> Result[located.LocatedValue, list[findings.Finding]]:
    """Return the tree of a file, or all findings in it.

    :param path: path of the file.
    """
    content = _read_text(path)
    if isinstance(content, findings.Finding):
        return Err([content])
    return parse(content, path)


def parse(
    text: str, path: str
) -> Result[located.LocatedValue, list[findings.Finding]]:
    """Return the tree of a YAML text, or all findings in it.

    :param text: contents of the file.
    :param path: path of the file, for locations.
    """
    try:
        checker = yamlevents.EventChecker(path)
        events = yaml.parse(text, Loader=_Loader)
        event_findings = [
            finding for finding in map(checker.check, events) if finding
        ]
        if event_findings:
            return Err(event_findings)
        root = yaml.compose(text, Loader=_Loader)
    except yaml.YAMLError as exc:
        return Err([_yaml_error(exc, path)])
    if root is None:
        return Ok(located.LocatedValue({}, findings.Location(path, 1)))
    reader = yamltree.TreeReader(path)
    tree = reader.convert(root)
    if reader.findings:
        return Err(reader.findings)
    if not isinstance(tree.value, dict):
        return Err([_not_a_mapping(root, path)])
    return Ok(tree)


def _read_text(path: str) -> str | findings.Finding:
    """Return the text of a file, or why it can't be read.

    The size is checked again after reading, as a file may have grown since.
    """
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
        location = findings.Location(path, line)
        return findings.Finding(
            "not-utf8",
            findings.Level.ERROR,
            (),
            got,
            "UTF-8",
            location=location,
        )


def _file_kind(status: os.stat_result) -> str:
    return "a folder" if stat.S_ISDIR(status.st_mode) else "a special file"


def _file_finding(path: str, ident: str, got: str) -> findings.Finding:
    location = findings.Location(path)
    return findings.Finding(
        ident,
        findings.Level.ERROR,
        (),
        got,
        "a readable file",
        location=location,
    )


def _too_large(path: str, size: int) -> findings.Finding:
    return findings.Finding(
        "too-large",
        findings.Level.ERROR,
        (),
        f"{size} bytes or more",
        f"at most {MAX_FILE_BYTES} bytes in a file",
        location=findings.Location(path),
    )


def _not_a_mapping(root: yaml.Node, path: str) -> findings.Finding:
    return findings.Finding(
        "mapping",
        findings.Level.ERROR,
        (),
        yamltree.kind_of(root),
        "a mapping at the top",
        location=findings.Location(path, yamltree.line_of(root.start_mark)),
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
        location=findings.Location(path, yamltree.line_of(mark)),
    )
