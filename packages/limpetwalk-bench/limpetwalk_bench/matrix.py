"""The fault matrix: which test covers which fault at which step.

Reads the matrix from YAML and renders it as a page of the documentation.
"""

import collections
import pathlib
from typing import Self

from absl import app
from absl import flags
import pydantic
import yaml

PATH_STEPS = {
    "request": (
        "admit",
        "choose",
        "claim",
        "dispatch",
        "wait",
        "answer",
        "bill",
    ),
    "change": ("check", "store", "accept", "spread", "in_force"),
    "role": ("acquire", "hold", "hand_over"),
}
STEPS = tuple(
    f"{path}.{step}" for path, steps in PATH_STEPS.items() for step in steps
)
KIND_LABELS = {"test": "proved", "reason": "cannot occur", "open": "open"}


class Cell(pydantic.BaseModel):
    """Coverage of one fault at one or several steps.

    Exactly one of ``test``, ``reason`` and ``open`` is set.

    :ivar at: the steps, as ``path.step``.
    :ivar test: ids of the tests that cause the fault at these steps.
    :ivar reason: why the fault cannot occur or has no effect there.
    :ivar open: what no test proves yet.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    at: list[str] = pydantic.Field(min_length=1)
    test: list[str] | None = pydantic.Field(default=None, min_length=1)
    reason: str | None = pydantic.Field(default=None, min_length=1)
    open: str | None = pydantic.Field(default=None, min_length=1)

    @pydantic.model_validator(mode="after")
    def _check(self) -> Self:
        unknown = [step for step in self.at if step not in STEPS]
        if unknown:
            raise ValueError(f"unknown steps: {', '.join(unknown)}")
        kinds = [
            kind for kind in KIND_LABELS if getattr(self, kind) is not None
        ]
        if len(kinds) != 1:
            raise ValueError(
                f"{', '.join(self.at)}: expected exactly one of test, reason "
                f"and open, got: {', '.join(kinds) or 'none'}"
            )
        return self

    @property
    def kind(self) -> str:
        """Return the kind of this cell: test, reason or open."""
        return next(
            kind for kind in KIND_LABELS if getattr(self, kind) is not None
        )


class Row(pydantic.BaseModel):
    """One fault and its cells, which cover each step exactly once."""

    model_config = pydantic.ConfigDict(extra="forbid")

    fault: str = pydantic.Field(min_length=1)
    cells: list[Cell]

    @pydantic.model_validator(mode="after")
    def _check(self) -> Self:
        counts = collections.Counter(s for cell in self.cells for s in cell.at)
        missing = [step for step in STEPS if not counts[step]]
        repeated = [step for step, count in counts.items() if count > 1]
        if missing:
            raise ValueError(
                f"{self.fault}: steps without a cell: {', '.join(missing)}"
            )
        if repeated:
            raise ValueError(
                f"{self.fault}: steps in more than one cell: "
                f"{', '.join(repeated)}"
            )
        return self


class Matrix(pydantic.BaseModel):
    """The whole fault matrix."""

    model_config = pydantic.ConfigDict(extra="forbid")

    rows: list[Row] = pydantic.Field(min_length=1)

    def tests(self) -> list[str]:
        """Return the ids of all named tests, sorted."""
        cells = [cell for row in self.rows for cell in row.cells]
        return sorted({test for cell in cells for test in cell.test or ()})

    def counts(self) -> dict[str, int]:
        """Return the number of steps covered by cells of each kind."""
        counts = dict.fromkeys(KIND_LABELS, 0)
        for row in self.rows:
            for cell in row.cells:
                counts[cell.kind] += len(cell.at)
        return counts


def load_matrix(path: pathlib.Path) -> Matrix:
    """Read a matrix from a YAML file.

    :param path: the YAML file.
    :returns: the matrix.
    :raises pydantic.ValidationError: when the matrix is malformed.
    """
    return Matrix.model_validate(yaml.safe_load(path.read_text("utf-8")))


def render(matrix: Matrix) -> str:
    """Return the documentation page of a matrix as Markdown."""
    counts = matrix.counts()
    total = sum(counts.values())
    lines = [
        "# Fault matrix",
        "",
        "Generated from `tests/matrix/matrix.yaml` by "
        "`python -m limpetwalk_bench.matrix`; not to be edited.",
        "",
        f"{total} cells: "
        + ", ".join(
            f"{counts[kind]} {KIND_LABELS[kind]}" for kind in KIND_LABELS
        )
        + ".",
    ]
    for row in matrix.rows:
        lines += _render_row(row)
    return "\n".join(lines) + "\n"


def _render_row(row: Row) -> list[str]:
    lines = ["", f"## {row.fault}", "", "| steps | state | by |"]
    lines.append("| --- | --- | --- |")
    for cell in row.cells:
        steps = ", ".join(cell.at)
        lines.append(
            f"| {steps} | {KIND_LABELS[cell.kind]} | {_format_outcome(cell)} |"
        )
    return lines


def _format_outcome(cell: Cell) -> str:
    if cell.test:
        return "<br>".join(f"`{test}`" for test in cell.test)
    return (cell.reason or cell.open or "").replace("|", "\\|")


def main(argv: list[str]) -> None:
    """Write the documentation page of the matrix."""
    del argv
    matrix = load_matrix(pathlib.Path(flags.FLAGS.matrix))
    pathlib.Path(flags.FLAGS.out).write_text(render(matrix), "utf-8")


if __name__ == "__main__":
    flags.DEFINE_string("matrix", "tests/matrix/matrix.yaml", "the matrix")
    flags.DEFINE_string("out", "docs/fault-matrix.md", "the page to write")
    app.run(main)
