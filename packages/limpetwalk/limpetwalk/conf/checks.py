"""Framework of the checks of a whole document.

A check is a function that takes a document and yields findings. It registers
itself under ``Kind.CONFIG_CHECK`` with a name whose first part is its tag, as
in ``rollouts.shares``. Findings get their place from the loader.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from .. import plugins
from .. import registry
from . import document
from . import findings
from . import operations


@dataclass(frozen=True, slots=True)
class Subject:
    """What a check looks at.

    :param written: document as the files and overlays have it.
    :param effective: document with the overlays taken into its sections.
    """

    written: document.Document
    effective: document.Document


Check = Callable[[Subject], Iterable[findings.Finding]]

_BUILT_IN = [
    "limpetwalk.conf.checks_names",
    "limpetwalk.conf.checks_operations",
    "limpetwalk.conf.checks_plugins",
    "limpetwalk.conf.checks_rollouts",
    "limpetwalk.conf.checks_servers",
]


def run_checks(
    doc: document.Document, tags: frozenset[str] | None = None
) -> list[findings.Finding]:
    """Run the registered checks and return all their findings.

    :param doc: document to look at.
    :param tags: only checks of these tags; None runs all.
    """
    registry.load_plugins(_BUILT_IN)
    plugins.load()
    subject = Subject(doc, operations.effective(doc))
    found: list[findings.Finding] = []
    for name in registry.names(registry.Kind.CONFIG_CHECK):
        if tags is None or name.partition(".")[0] in tags:
            check: Check = registry.get(registry.Kind.CONFIG_CHECK, name)
            found.extend(check(subject))
    return found


def error(
    ident: str,
    path: findings.KeyPath,
    got: str,
    expected: str,
    hint: str = "",
) -> findings.Finding:
    """Return a finding that keeps the document out."""
    return findings.Finding(
        ident, findings.Level.ERROR, path, got, expected, hint
    )


def warning(
    ident: str,
    path: findings.KeyPath,
    got: str,
    expected: str,
    hint: str = "",
) -> findings.Finding:
    """Return a finding that is only told."""
    return findings.Finding(
        ident, findings.Level.WARNING, path, got, expected, hint
    )


def one_of(names: Iterable[str]) -> str:
    """Return a text that lists the names to choose from."""
    listed = sorted(names)
    shown = ", ".join(listed[:8]) or "none is declared"
    return f"one of {shown}" + (", ..." if len(listed) > 8 else "")
