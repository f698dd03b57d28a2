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
from . import marked
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
    tree: marked.Marked
    warnings: list[findings.Finding]


def load_folder(
    path: str,
) -> Result[document.Document, list[findings.Finding]]:
    """Return the document of a folder, or all findings in it."""
    return read_folder(path).map(lambda loaded: loaded.document)


def read_folder(
    path: str, operations: document.Operations | None = None
) -> Result[LoadedFolder, list[findings.Finding]]:
    """Return the document of a folder with its places, or all findings.

    :param path: folder of ``*.yaml`` files.
    :param operations: operators' changes that the document carries.
    """
    listed = _list_files(path)
    if isinstance(listed, Err):
        return listed
    files, found = listed.ok_value
    tree = marked.Marked({}, findings.Place(path))
    for file in files:
        outcome = yamlfile.read(file)
        if isinstance(outcome, Ok):
            tree = marked.merge(tree, outcome.ok_value)
        else:
            found.extend(outcome.err_value)
    if not findings.errors(found) and not tree.value:
        found.append(_nothing_declared(path))
    if findings.errors(found):
        # Sections of an unreadable file would be reported as undeclared
        # names, so the document is only checked when all files were read.
        return Err(findings.in_order(found))
    return _validate(tree, operations, found)


def _validate(
    tree: marked.Marked,
    operations: document.Operations | None,
    found: list[findings.Finding],
) -> Result[LoadedFolder, list[findings.Finding]]:
    if isinstance(tree.value, dict) and "operations" in tree.value:
        found.append(_operations_in_file())
        found = [marked.placed(finding, tree) for finding in found]
        return Err(findings.in_order(found))
    try:
        doc = document.Document.from_tree(tree.plain())
    except pydantic.ValidationError as exc:
        found.extend(validation.from_error(exc, document.Document))
        found = [marked.placed(finding, tree) for finding in found]
        return Err(findings.in_order(found))
    if operations is not None:
        doc = doc.model_copy(update={"operations": operations})
    found.extend(checks.run_checks(doc))
    found = findings.in_order(
        marked.placed(finding, tree) for finding in found
    )
    if findings.errors(found):
        return Err(found)
    return Ok(LoadedFolder(doc, tree, found))


def _list_files(
    path: str,
) -> Result[tuple[list[str], list[findings.Finding]], list[findings.Finding]]:
    try:
        names = sorted(os.listdir(path))
    except OSError as exc:
        got = exc.strerror or str(exc)
        return Err([_folder_finding("folder-unreadable", path, got)])
    shown = [name for name in names if not name.startswith(".")]
    files = [
        os.path.join(path, name) for name in shown if name.endswith(SUFFIXES)
    ]
    if not files:
        return Err([_folder_finding("folder-empty", path, "no such file")])
    if len(files) > MAX_FILES:
        got = f"{len(files)} files, more than {MAX_FILES}"
        return Err([_folder_finding("folder-too-large", path, got)])
    ignored = [
        findings.Finding(
            "ignored",
            findings.Level.WARNING,
            (),
            "a name that is ignored",
            "a name that ends in .yaml",
            place=findings.Place(os.path.join(path, name)),
        )
        for name in shown
        if not name.endswith(SUFFIXES)
    ]
    return Ok((files, ignored))


def _folder_finding(ident: str, path: str, got: str) -> findings.Finding:
    return findings.Finding(
        ident,
        findings.Level.ERROR,
        (),
        got,
        "a folder with *.yaml files",
        place=findings.Place(path),
    )


def _nothing_declared(path: str) -> findings.Finding:
    return findings.Finding(
        "nothing-declared",
        findings.Level.ERROR,
        (),
        "files that declare nothing",
        "at least one section",
        place=findings.Place(path),
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
