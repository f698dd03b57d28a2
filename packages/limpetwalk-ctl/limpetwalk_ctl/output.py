"""Output of commands: tables for people, JSON for programs."""

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
    """Writer of one command's output.

    :param as_json: whether to write JSON in place of text for people.
    :param stdout: stream for the output.
    :param stderr: stream for errors.
    """

    def __init__(self, as_json: bool, stdout: TextIO, stderr: TextIO) -> None:
        self.as_json = as_json
        self._stdout = stdout
        self._stderr = stderr
        self._console = rich.console.Console(file=stdout)
        if not self._console.is_terminal:
            # Output into a pipe or a file is never truncated to the width of a
            # terminal.
            self._console.width = PIPE_COLUMNS

    def json(self, value: Any) -> None:
        """Write a value as JSON, if JSON was requested."""
        if self.as_json:
            text = json.dumps(value, indent=2, sort_keys=True)
            self._stdout.write(text + "\n")

    def line(self, text: str) -> None:
        """Write a line of text, unless JSON was requested."""
        if not self.as_json:
            self._stdout.write(findings.printable(text) + "\n")

    def error(self, text: str) -> None:
        """Write a line to the stream for errors."""
        self._stderr.write(f"limpetctl: {findings.printable(text)}\n")

    def table(
        self, columns: Sequence[str], rows: Iterable[Sequence[object]]
    ) -> None:
        """Write a table, unless JSON was requested.

        :param columns: headings of the columns.
        :param rows: cells of each row.
        """
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
            # The library pads the last column with spaces.
            self._stdout.write(line.rstrip() + "\n")

    def findings(self, items: Sequence[findings.Finding]) -> None:
        """Write findings, one per line, unless JSON was requested."""
        for finding in items:
            self.line(str(finding))


def _cell(value: object) -> rich.text.Text:
    # The library would interpret brackets in a str as markup.
    return rich.text.Text(findings.printable(str(value)))


def finding_json(finding: findings.Finding) -> dict[str, Any]:
    """Return a finding as a value for the JSON output."""
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
    """Return a difference as a value for the JSON output."""
    return {
        "path": list(change.path),
        "kind": change.kind,
        "old": change.old,
        "new": change.new,
    }


def generation_row(head: heads.Head) -> tuple[object, ...]:
    """Return the cells of the table row for a generation."""
    return (
        head.generation,
        format_time(head.at),
        head.author,
        head.digest[:DIGEST_DIGITS],
        head.summary,
    )


def format_time(seconds: float) -> str:
    """Return a time as text in UTC; "never" for 0.

    :param seconds: seconds since the Unix epoch.
    """
    if not seconds:
        return "never"
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.strftime("%Y-%m-%d %H:%M:%S")


def format_count(number: int, noun: str) -> str:
    """Return a number with its noun, in the plural unless it is 1."""
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"
