"""Apply an operator's change and write its result."""

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

FindingLocator = Callable[[findings.Finding], findings.Finding]


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of all commands that make a change."""
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


async def make_change(
    ctx: base.Context,
    edit: edits.Edit,
    locate: FindingLocator = lambda finding: finding,
) -> exits.ExitCode:
    """Apply an edit, hand it over to nodes and write the result.

    :param edit: change to make.
    :param locate: returns a finding with its location in the files.
    :returns: exit code of the command.
    """
    assert ctx.cfg is not None and ctx.platform is not None
    async with aiohttp.ClientSession() as session:
        client = nodes.NodeClient(session, ctx.cfg.node_timeout)
        node_handover = handover.Handover(
            client, ctx.platform.instances, ctx.clock
        )
        await node_handover.prepare()
        outcome = await editor.Editor(ctx.heads, ctx.author).edit(
            edit, ctx.flags["expect"].value
        )
        if isinstance(outcome, Err):
            return _write_error(ctx, outcome.err_value, locate)
        accepted = outcome.ok_value
        if accepted.changes:
            await node_handover.send(accepted)
        propagation = None
        if ctx.flags["wait"].value:
            propagation = await node_handover.wait(
                accepted, ctx.cfg.wait_timeout
            )
    return _write_result(ctx, accepted, propagation, locate)


def _write_error(
    ctx: base.Context, error: editor.EditError, locate: FindingLocator
) -> exits.ExitCode:
    if isinstance(error, editor.EditRefused):
        folders.write_findings(ctx, [locate(item) for item in error.findings])
        return exits.ExitCode.FINDINGS
    return conflicts.write_conflict(ctx, error)


def _write_result(
    ctx: base.Context,
    accepted: editor.AcceptedEdit,
    propagation: handover.Propagation | None,
    locate: FindingLocator,
) -> exits.ExitCode:
    head = accepted.head
    warnings = [locate(item) for item in accepted.warnings]
    ctx.out.findings(warnings)
    for change in accepted.changes:
        ctx.out.line(str(change))
    if accepted.changes:
        summary = f"accepted as generation {head.generation}"
    else:
        summary = f"nothing to change, generation {head.generation} stands"
    answer: dict[str, Any] = {
        "accepted": True,
        "changed": bool(accepted.changes),
        "generation": head.generation,
        "digest": head.digest,
        "changes": [output.change_json(item) for item in accepted.changes],
        "warnings": [output.finding_json(item) for item in warnings],
    }
    code = exits.ExitCode.OK
    if propagation is None:
        ctx.out.line(summary)
    else:
        answer["seen"] = propagation.serving_count
        answer["nodes"] = nodes_json(propagation.reports)
        code = _write_propagation(ctx, propagation, summary)
    ctx.out.json(answer)
    return code


def _write_propagation(
    ctx: base.Context, propagation: handover.Propagation, summary: str
) -> exits.ExitCode:
    total = len(propagation.reports)
    ctx.out.line(
        f"{summary}, seen by {propagation.serving_count} of {total} nodes"
    )
    if not propagation.is_list_read:
        ctx.out.error("the instance list does not answer")
    if propagation.is_complete:
        return exits.ExitCode.OK
    write_nodes(ctx, propagation.reports, propagation.generation)
    return exits.ExitCode.NOT_SEEN_EVERYWHERE


def write_nodes(
    ctx: base.Context, reports: Sequence[nodes.NodeReport], generation: int
) -> None:
    """Write a table of nodes.

    :param reports: reports of the nodes.
    :param generation: generation that the nodes should serve.
    """
    ctx.out.table(
        ("NODE", "ZONE", "ADDRESS", "GENERATION", "READY", "NOTE"),
        [
            (
                report.name,
                report.zone,
                report.operators,
                "-" if report.generation is None else report.generation,
                "yes" if report.ready else "no",
                report.error or _lag_note(report, generation),
            )
            for report in reports
        ],
    )


def nodes_json(reports: Sequence[nodes.NodeReport]) -> list[dict[str, Any]]:
    """Return reports of nodes as values for the JSON output."""
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


def _lag_note(report: nodes.NodeReport, generation: int) -> str:
    if report.generation is None:
        return "has no configuration"
    return "behind" if report.generation < generation else ""
