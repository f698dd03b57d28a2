"""Makes an operator's change and tells what became of it."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from absl import flags
import aiohttp
from result import Err

from limpetwalk.conf import editor
from limpetwalk.conf import edits
from limpetwalk.conf import findings

from . import base
from . import conflicts
from . import exits
from . import folders
from . import handover
from . import nodes
from . import output

Placer = Callable[[findings.Finding], findings.Finding]


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags that each change has."""
    flags.DEFINE_bool(
        "wait", False, "wait until all live nodes serve the change", values
    )
    flags.DEFINE_integer(
        "expect",
        None,
        "generation that must be in force; another one is a conflict",
        lower_bound=0,
        flag_values=values,
    )


async def make(
    ctx: base.Context,
    edit: edits.Edit,
    placer: Placer = lambda finding: finding,
) -> exits.ExitCode:
    """Bring an edit in force, hand it over, and tell the outcome.

    :param edit: change to make.
    :param placer: returns a finding with the place that it is about.
    """
    assert ctx.cfg is not None and ctx.platform is not None
    async with aiohttp.ClientSession() as session:
        client = nodes.NodeClient(session, ctx.cfg.node_timeout)
        spreader = handover.Handover(client, ctx.platform.instances, ctx.clock)
        await spreader.prepare()
        outcome = await editor.Editor(ctx.heads, ctx.author).edit(
            edit, ctx.flags["expect"].value
        )
        if isinstance(outcome, Err):
            return _tell_error(ctx, outcome.err_value, placer)
        accepted = outcome.ok_value
        if accepted.changes:
            await spreader.give(accepted)
        spread = None
        if ctx.flags["wait"].value:
            spread = await spreader.wait(accepted, ctx.cfg.wait_timeout)
    return _tell(ctx, accepted, spread, placer)


def _tell_error(
    ctx: base.Context, error: editor.EditError, placer: Placer
) -> exits.ExitCode:
    if isinstance(error, editor.EditRefused):
        folders.tell(ctx, [placer(item) for item in error.findings])
        return exits.ExitCode.FINDINGS
    return conflicts.tell(ctx, error)


def _tell(
    ctx: base.Context,
    accepted: editor.AcceptedEdit,
    spread: handover.Spread | None,
    placer: Placer,
) -> exits.ExitCode:
    head = accepted.head
    warnings = [placer(item) for item in accepted.warnings]
    ctx.out.findings(warnings)
    for change in accepted.changes:
        ctx.out.line(str(change))
    if accepted.changes:
        text = f"accepted as generation {head.generation}"
    else:
        text = f"nothing to change, generation {head.generation} stands"
    answer: dict[str, Any] = {
        "accepted": True,
        "changed": bool(accepted.changes),
        "generation": head.generation,
        "digest": head.digest,
        "changes": [output.change_json(item) for item in accepted.changes],
        "warnings": [output.finding_json(item) for item in warnings],
    }
    code = exits.ExitCode.OK
    if spread is None:
        ctx.out.line(text)
    else:
        answer["seen"] = spread.seen
        answer["nodes"] = nodes_json(spread.reports)
        code = _tell_spread(ctx, spread, text)
    ctx.out.json(answer)
    return code


def _tell_spread(
    ctx: base.Context, spread: handover.Spread, text: str
) -> exits.ExitCode:
    total = len(spread.reports)
    ctx.out.line(f"{text}, seen by {spread.seen} of {total} nodes")
    if not spread.listed:
        ctx.out.error("the instance list does not answer")
    if spread.everywhere:
        return exits.ExitCode.OK
    tell_nodes(ctx, spread.reports, spread.generation)
    return exits.ExitCode.NOT_SEEN_EVERYWHERE


def tell_nodes(
    ctx: base.Context, reports: Sequence[nodes.NodeReport], generation: int
) -> None:
    """Write a table of nodes."""
    ctx.out.table(
        ("NODE", "ZONE", "ADDRESS", "GENERATION", "READY", "NOTE"),
        [
            (
                report.name,
                report.zone,
                report.operators,
                "-" if report.generation is None else report.generation,
                "yes" if report.ready else "no",
                report.error or _lag(report, generation),
            )
            for report in reports
        ],
    )


def nodes_json(reports: Sequence[nodes.NodeReport]) -> list[dict[str, Any]]:
    """Return reports of nodes as JSON for programs."""
    return [
        {
            "name": report.name,
            "zone": report.zone,
            "operators": report.operators,
            "generation": report.generation,
            "ready": report.ready,
            "error": report.error or None,
        }
        for report in reports
    ]


def _lag(report: nodes.NodeReport, generation: int) -> str:
    if report.generation is None:
        return "has no configuration"
    return "behind" if report.generation < generation else ""
