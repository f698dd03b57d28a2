"""Framework of the checks of a complete document.

A check is a function that takes a ``CheckInput`` and returns findings. It is
registered under ``Kind.CONFIG_CHECK`` with a name whose first part is its
tag, as in ``rollouts.shares``. The loader adds the locations to the findings.
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
class CheckInput:
    """Document that a check examines, in two forms.

    :param written: document with the sections of the files and, apart from
        them, the overlays.
    :param effective: the same document with the overlays applied to its
        sections.
    """

    written: document.Document
    effective: document.Document


Check = Callable[[CheckInput], Iterable[findings.Finding]]

_BUILT_IN = [
    "limpetwalk.conf.checks_limits",
    "limpetwalk.conf.checks_names",
    "limpetwalk.conf.checks_operations",
    "limpetwalk.conf.checks_plugins",
    "limpetwalk.conf.checks_reach",
    "limpetwalk.conf.checks_rollouts",
    "limpetwalk.conf.checks_servers",
]


def run_checks(
    doc: document.Document, tags: frozenset[str] | None = None
) -> list[findings.Finding]:
    """Run the registered checks and return all their findings.

    :param doc: document to check.
    :param tags: tags of the checks to run; None runs all.
    """
    registry.load_plugins(_BUILT_IN)
    plugins.load()
    config = CheckInput(doc, operations.effective(doc))
    all_findings: list[findings.Finding] = []
    for name in registry.names(registry.Kind.CONFIG_CHECK):
        if tags is None or name.partition(".")[0] in tags:
            check: Check = registry.get(registry.Kind.CONFIG_CHECK, name)
            all_findings.extend(check(config))
    return all_findings


def error(
    ident: str,
    path: findings.KeyPath,
    got: str,
    expected: str,
    hint: str = "",
) -> findings.Finding:
    """Return a finding that prevents the document from being accepted."""
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
    """Return a finding that is reported but blocks nothing."""
    return findings.Finding(
        ident, findings.Level.WARNING, path, got, expected, hint
    )


def one_of(names: Iterable[str]) -> str:
    """Return a text that lists the valid names, at most 8 of them."""
    sorted_names = sorted(names)
    valid_names = ", ".join(sorted_names[:8]) or "none is declared"
    return f"one of {valid_names}" + (", ..." if len(sorted_names) > 8 else "")
