"""Reads folders for the commands and tells their findings."""

import asyncio
from collections.abc import Sequence
from typing import Any

from absl import flags
from result import Err

from limpetwalk.conf import findings
from limpetwalk.conf import loader

from . import base
from . import output


async def read(ctx: base.Context, path: str) -> loader.LoadedFolder | None:
    """Return a folder's document, or None after its findings were told."""
    outcome = await asyncio.to_thread(loader.read_folder, path)
    if isinstance(outcome, Err):
        tell(ctx, outcome.err_value)
        return None
    return outcome.ok_value


def tell(ctx: base.Context, found: Sequence[findings.Finding]) -> None:
    """Write findings that keep a configuration out."""
    ctx.out.findings(found)
    count = len(findings.errors(found))
    ctx.out.line(f"{output.counted(count, 'error')}, nothing is applied")
    ctx.out.json(findings_json(found))


def findings_json(found: Sequence[findings.Finding]) -> dict[str, Any]:
    """Return findings as JSON for programs."""
    return {
        "ok": not findings.errors(found),
        "findings": [output.finding_json(item) for item in found],
    }


def define_clear_flag(values: flags.FlagValues) -> None:
    """Define the flag that drops operators' changes since the files."""
    flags.DEFINE_bool(
        "clear-operations",
        False,
        "drop operators' changes: zones and servers out, versions "
        "withdrawn, roll-outs moved",
        values,
    )
