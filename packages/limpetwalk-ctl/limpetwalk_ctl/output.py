"""Writes answers: tables for people, JSON for programs."""

from collections.abc import Iterable
from collections.abc import Sequence
import datetime
import json
from typing import Any
from typing import TextIO

import rich.console
import rich.table
import rich.text

from limpetwalk.conf import diff
from limpetwalk.conf import findings
from limpetwalk.conf import head as heads

DIGEST_DIGITS = 12
PIPE_COLUMNS = 2000


class Output:
    """Writer of one command's answer.

    :param as_json: whether to write JSON for programs.
    :param stdout: stream of the answer.
    :param stderr: stream of what went wrong.
    """

    def __init__(self, as_json: bool, stdout: TextIO, stderr: TextIO) -> None:
        self.as_json = as_json
        self._stdout = stdout
        self._stderr = stderr
        self._console = rich.console.Console(file=stdout)
        if not self._console.is_terminal:
            # What goes into a pipe or a file is never cut.
            self._console.width = PIPE_COLUMNS

    def json(self, value: Any) -> None:
        """Write the answer for programs, when it was asked for."""
        if self.as_json:
            text = json.dumps(value, indent=2, sort_keys=True)
            self._stdout.write(text + "\n")

    def line(self, text: str) -> None:
        """Write a line for people."""
        if not self.as_json:
            self._stdout.write(findings.printable(text) + "\n")

    def error(self, text: str) -> None:
        """Write a line about what went wrong."""
        self._stderr.write(f"limpetctl: {findings.printable(text)}\n")

    def table(
        self, columns: Sequence[str], rows: Iterable[Sequence[object]]
    ) -> None:
        """Write a table for people."""
        if self.as_json:
            return
        table = rich.table.Table(box=None, pad_edge=False)
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(*(_cell(value) for value in row))
        with self._console.capture() as capture:
            self._console.print(table)
        for line in capture.get().splitlines():
            # The last column is padded to its width.
            self._stdout.write(line.rstrip() + "\n")

    def findings(self, found: Sequence[findings.Finding]) -> None:
        """Write findings, one a line, for people."""
        for finding in found:
            self.line(str(finding))


def _cell(value: object) -> rich.text.Text:
    # Text, not str: brackets in a value are no markup.
    return rich.text.Text(findings.printable(str(value)))


def finding_json(finding: findings.Finding) -> dict[str, Any]:
    """Return a finding as JSON for programs."""
    location = finding.location
    return {
        "id": finding.id,
        "level": finding.level.value,
        "file": location.file if location else None,
        "line": location.line if location and location.line else None,
        "path": list(finding.path),
        "got": finding.got,
        "expected": finding.expected,
        "hint": finding.hint,
    }


def change_json(change: diff.Change) -> dict[str, Any]:
    """Return a difference as JSON for programs."""
    return {
        "path": list(change.path),
        "kind": change.kind,
        "old": change.old,
        "new": change.new,
    }


def head_row(head: heads.Head) -> tuple[object, ...]:
    """Return the cells of a table that show a generation."""
    return (
        head.generation,
        moment(head.at),
        head.author,
        head.digest[:DIGEST_DIGITS],
        head.summary,
    )


def moment(seconds: float) -> str:
    """Return an instant of the Unix clock as text in UTC."""
    if not seconds:
        return "never"
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.strftime("%Y-%m-%d %H:%M:%S")


def counted(number: int, noun: str) -> str:
    """Return a number with its noun, in the plural where it is not one."""
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"
