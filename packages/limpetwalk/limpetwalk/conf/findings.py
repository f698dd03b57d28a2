"""Findings: errors and warnings about a configuration, with locations."""

from collections.abc import Iterable
from dataclasses import dataclass
import enum

KeyPath = tuple[str | int, ...]


class Level(enum.Enum):
    """Severity of a finding; an error prevents a configuration's use."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True, order=True)
class Location:
    """Line of a file, or a whole file or folder.

    :param file: path of the file or folder.
    :param line: line number, from 1; 0 for the file as a whole.
    """

    file: str
    line: int = 0

    def __str__(self) -> str:
        return f"{self.file}:{self.line}" if self.line else self.file


@dataclass(frozen=True, slots=True)
class Finding:
    """One error or warning about a configuration.

    :param id: stable identifier of the kind of finding.
    :param level: error or warning.
    :param path: keys from the top of the configuration to the value.
    :param got: description of the actual value.
    :param expected: description of a valid value.
    :param hint: what the operator can do, or empty.
    :param location: file and line, or None while they are not known.
    """

    id: str
    level: Level
    path: KeyPath
    got: str
    expected: str
    hint: str = ""
    location: Location | None = None

    def __str__(self) -> str:
        parts = [str(self.location)] if self.location else []
        if self.path:
            parts.append(format_path(self.path))
        parts.append(f"got {self.got}, expected {self.expected}")
        text = ": ".join(parts)
        if self.level is Level.WARNING:
            text = f"{text} (warning)"
        return printable(f"{text}; {self.hint}" if self.hint else text)


def printable(text: str) -> str:
    """Return a text on one line, with unprintable characters escaped."""
    return "".join(
        char if char.isprintable() else ascii(char)[1:-1] for char in text
    )


def format_path(path: KeyPath) -> str:
    """Return the keys of a path, joined by dots."""
    return ".".join(str(key) for key in path)


def errors(findings: Iterable[Finding]) -> list[Finding]:
    """Return the findings that are errors."""
    return [finding for finding in findings if finding.level is Level.ERROR]


def in_order(findings: Iterable[Finding]) -> list[Finding]:
    """Return findings sorted by file, line and text."""

    def key(finding: Finding) -> tuple[Location, str]:
        return finding.location or Location(""), str(finding)

    return sorted(findings, key=key)
