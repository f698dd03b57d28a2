"""Read configuration folders for the commands and write findings."""

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
    """Return the loaded folder, or write its findings and return None.

    :param path: path of the folder.
    """
    outcome = await asyncio.to_thread(loader.load_folder_with_locations, path)
    if isinstance(outcome, Err):
        write_findings(ctx, outcome.err_value)
        return None
    return outcome.ok_value


def write_findings(
    ctx: base.Context, items: Sequence[findings.Finding]
) -> None:
    """Write findings because of which a configuration is not applied."""
    ctx.out.findings(items)
    count = len(findings.errors(items))
    ctx.out.line(f"{output.format_count(count, 'error')}, nothing is applied")
    ctx.out.json(findings_json(items))


def findings_json(items: Sequence[findings.Finding]) -> dict[str, Any]:
    """Return findings as values for the JSON output."""
    return {
        "ok": not findings.errors(items),
        "findings": [output.finding_json(item) for item in items],
    }


def define_clear_flag(values: flags.FlagValues) -> None:
    """Define the flag that drops changes that operators made since."""
    flags.DEFINE_bool(
        "clear-operations",
        False,
        "drop operators' changes: zones and servers out, versions "
        "withdrawn, roll-outs moved",
        values,
    )
