"""Reads folders for the commands and tells their findings."""

import asyncio
from collections.abc import Sequence
from typing import Any

from result import Err

from limpetwalk.conf import document
from limpetwalk.conf import findings
from limpetwalk.conf import loader

from . import base
from . import output


async def read(
    ctx: base.Context, path: str, operations: document.Operations | None
) -> loader.LoadedFolder | None:
    """Return a folder's document, or None after its findings were told.

    :param operations: operators' changes that the document carries.
    """
    outcome = await asyncio.to_thread(loader.read_folder, path, operations)
    if isinstance(outcome, Err):
        tell(ctx, outcome.err_value)
        return None
    return outcome.ok_value


def tell(ctx: base.Context, found: Sequence[findings.Finding]) -> None:
    """Write findings that keep a configuration out."""
    ctx.out.findings(found)
    ctx.out.line(f"{len(findings.errors(found))} errors, nothing is applied")
    ctx.out.json(findings_json(found))


def findings_json(found: Sequence[findings.Finding]) -> dict[str, Any]:
    """Return findings as JSON for programs."""
    return {
        "ok": not findings.errors(found),
        "findings": [output.finding_json(item) for item in found],
    }
