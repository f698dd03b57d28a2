"""Loads a folder of YAML files and merges them in the order of their names."""

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
    :param tree: merged values with their locations.
    :param warnings: findings that are no errors.
    """

    document: document.Document
    tree: located.LocatedValue
    warnings: list[findings.Finding]


def load_document(
    path: str,
) -> Result[document.Document, list[findings.Finding]]:
    """Return the document of a folder, or all findings in it.

    :param path: folder of ``*.yaml`` files.
    """
    return load_folder_with_locations(path).map(lambda loaded: loaded.document)


def load_folder_with_locations(
    path: str,
) -> Result[LoadedFolder, list[findings.Finding]]:
    """Return the document of a folder with locations, or all findings.

    :param path: folder of ``*.yaml`` files.
    """
    listing = _list_files(path)
    if isinstance(listing, Err):
        return listing
    files, all_findings = listing.ok_value
    tree = located.LocatedValue({}, findings.Location(path))
    for file in files:
        outcome = yamlfile.read(file)
        if isinstance(outcome, Ok):
            tree = located.merge(tree, outcome.ok_value)
        else:
            all_findings.extend(outcome.err_value)
    complete = not findings.errors(all_findings)
    if complete and not tree.value:
        all_findings.append(
            _folder_error("nothing-declared", path, "empty files")
        )
        return Err(all_findings)
    doc = _validate(tree, all_findings, complete)
    all_findings = findings.in_order(
        located.with_location(finding, tree) for finding in all_findings
    )
    if doc is None or findings.errors(all_findings):
        return Err(all_findings)
    return Ok(LoadedFolder(doc, tree, all_findings))


def _validate(
    tree: located.LocatedValue,
    all_findings: list[findings.Finding],
    complete: bool,
) -> document.Document | None:
    """Return the document of a tree, or None when it does not validate.

    :param all_findings: list that the findings in the tree are added to.
    :param complete: whether all files were read. Otherwise names and keys
        may be declared in the other files, so they are not reported as
        missing.
    """
    plain = tree.plain()
    if plain.pop("operations", None) is not None:
        all_findings.append(_operations_in_file())
    try:
        doc = document.Document.from_tree(plain)
    except pydantic.ValidationError as exc:
        invalid = validation.from_error(exc, document.Document)
        if complete:
            invalid += partial_checks.check_valid_part(plain, invalid)
        else:
            invalid = [
                finding for finding in invalid if finding.id != "missing"
            ]
        all_findings.extend(invalid)
        return None
    if complete:
        all_findings.extend(checks.run_checks(doc))
    return doc


def _list_files(
    path: str,
) -> Result[tuple[list[str], list[findings.Finding]], list[findings.Finding]]:
    """Return a folder's YAML files, with warnings of files it ignores."""
    try:
        names = sorted(os.listdir(path))
    except OSError as exc:
        got = exc.strerror or str(exc)
        return Err([_folder_error("folder-unreadable", path, got)])
    visible = [name for name in names if not name.startswith(".")]
    files = [
        os.path.join(path, name) for name in visible if name.endswith(SUFFIXES)
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
        for name in visible
        if not name.endswith(SUFFIXES)
    ]
    return Ok((files, ignored))


def _size(path: str) -> int:
    """Return the size of a file in bytes, or 0 when it can't be read."""
    try:
        return os.stat(path).st_size
    except OSError:
        # The error is reported when the file is read.
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
