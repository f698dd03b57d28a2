"""Loads a folder of YAML files, merged in the order of their names."""

from dataclasses import dataclass
import os

import pydantic
from result import Err
from result import Ok
from result import Result

from . import checks
from . import document
from . import findings
from . import located
from . import partial_checks
from . import validation
from . import yamlfile

SUFFIXES = (".yaml", ".yml")
MAX_FILES = 4096
MAX_FOLDER_BYTES = 32 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class LoadedFolder:
    """Document of a folder without errors.

    :param document: merged and validated configuration.
    :param tree: merged values with their places.
    :param warnings: findings that do not keep it out.
    """

    document: document.Document
    tree: located.LocatedValue
    warnings: list[findings.Finding]


def load_folder(
    path: str,
) -> Result[document.Document, list[findings.Finding]]:
    """Return the document of a folder, or all findings in it."""
    return read_folder(path).map(lambda loaded: loaded.document)


def read_folder(path: str) -> Result[LoadedFolder, list[findings.Finding]]:
    """Return the document of a folder with its places, or all findings.

    :param path: folder of ``*.yaml`` files.
    """
    listed = _list_files(path)
    if isinstance(listed, Err):
        return listed
    files, found = listed.ok_value
    tree = located.LocatedValue({}, findings.Location(path))
    for file in files:
        outcome = yamlfile.read(file)
        if isinstance(outcome, Ok):
            tree = located.merge(tree, outcome.ok_value)
        else:
            found.extend(outcome.err_value)
    whole = not findings.errors(found)
    if whole and not tree.value:
        found.append(_folder_error("nothing-declared", path, "empty files"))
        return Err(found)
    doc = _validate(tree, found, whole)
    found = findings.in_order(
        located.with_location(item, tree) for item in found
    )
    if doc is None or findings.errors(found):
        return Err(found)
    return Ok(LoadedFolder(doc, tree, found))


def _validate(
    tree: located.LocatedValue,
    found: list[findings.Finding],
    whole: bool,
) -> document.Document | None:
    """Return the document of a tree and add all findings in it.

    :param whole: whether all files were read; else names and keys may be
        declared in those that were not, and are not reported as missing.
    """
    plain = tree.plain()
    if plain.pop("operations", None) is not None:
        found.append(_operations_in_file())
    try:
        doc = document.Document.from_tree(plain)
    except pydantic.ValidationError as exc:
        invalid = validation.from_error(exc, document.Document)
        if whole:
            invalid += partial_checks.check_valid_part(plain, invalid)
        else:
            invalid = [item for item in invalid if item.id != "missing"]
        found.extend(invalid)
        return None
    if whole:
        found.extend(checks.run_checks(doc))
    return doc


def _list_files(
    path: str,
) -> Result[tuple[list[str], list[findings.Finding]], list[findings.Finding]]:
    try:
        names = sorted(os.listdir(path))
    except OSError as exc:
        got = exc.strerror or str(exc)
        return Err([_folder_error("folder-unreadable", path, got)])
    shown = [name for name in names if not name.startswith(".")]
    files = [
        os.path.join(path, name) for name in shown if name.endswith(SUFFIXES)
    ]
    if not files:
        return Err([_folder_error("folder-empty", path, "no such file")])
    if len(files) > MAX_FILES:
        got = f"{len(files)} files, more than {MAX_FILES}"
        return Err([_folder_error("folder-too-large", path, got)])
    size = sum(_size(file) for file in files)
    if size > MAX_FOLDER_BYTES:
        got = f"{size} bytes, more than {MAX_FOLDER_BYTES}"
        return Err([_folder_error("folder-too-large", path, got)])
    ignored = [
        findings.Finding(
            "ignored",
            findings.Level.WARNING,
            (),
            "a name that is ignored",
            "a name that ends in .yaml",
            location=findings.Location(os.path.join(path, name)),
        )
        for name in shown
        if not name.endswith(SUFFIXES)
    ]
    return Ok((files, ignored))


def _size(path: str) -> int:
    try:
        return os.stat(path).st_size
    except OSError:
        # Reported when the file is read.
        return 0


def _folder_error(ident: str, path: str, got: str) -> findings.Finding:
    return findings.Finding(
        ident,
        findings.Level.ERROR,
        (),
        got,
        "a folder with *.yaml files",
        location=findings.Location(path),
    )


def _operations_in_file() -> findings.Finding:
    return findings.Finding(
        "operations-in-file",
        findings.Level.ERROR,
        ("operations",),
        "section 'operations'",
        "no such section in a file",
        "limpetctl keeps it: use its zone, server, version and rollout "
        "commands",
    )
