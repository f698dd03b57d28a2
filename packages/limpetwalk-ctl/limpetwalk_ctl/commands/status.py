"""Command that shows the generation in force and the nodes."""

import dataclasses

from absl import flags
import aiohttp

from limpetwalk import exceptions
from limpetwalk import registry
from limpetwalk.conf import diff
from limpetwalk.conf import document
from limpetwalk.conf import head as heads
from limpetwalk.providers import base as platform

from .. import base
from .. import changes
from .. import exits
from .. import nodes
from .. import output


@registry.register(registry.Kind.COMMAND, "status")
class Status:
    """Shows the head, operators' changes and the generation of each node."""

    help = "show the generation in force, operators' changes and the nodes"
    usage = "status [--nodes ADDRESSES]"
    examples = (
        "--settings ctl.yaml status",
        "--settings ctl.yaml --json status",
        "--settings ctl.yaml status --nodes 10.20.1.5:9100,10.20.2.5:9100",
    )
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flag for the addresses of nodes."""
        flags.DEFINE_list(
            "nodes",
            [],
            "host:port of operators' interfaces to ask, in place of the "
            "instance list",
            values,
        )

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Write the state of the store and of the nodes."""
        ctx.arguments()
        assert ctx.cfg is not None
        head: heads.Head | None = None
        operations: list[diff.Change] = []
        try:
            head = await ctx.heads.read()
            operations = _operators_changes(
                await ctx.heads.load_document(head)
            )
        except exceptions.StoreError as exc:
            # The state of the nodes is useful also when the store is down.
            ctx.out.error(f"the store does not answer: {exc}")
        live_nodes = await _select_nodes(ctx)
        if live_nodes is None:
            ctx.out.error("the instance list does not answer")
        async with aiohttp.ClientSession() as session:
            client = nodes.NodeClient(session, ctx.cfg.node_timeout)
            reports = await client.fetch_reports(live_nodes or [])
        _write_status(ctx, head, operations, reports)
        return _exit_code(head, live_nodes is not None, reports)


async def _select_nodes(ctx: base.Context) -> list[platform.Instance] | None:
    addresses = ctx.flags["nodes"].value
    if addresses:
        return [nodes.node_at(address) for address in addresses]
    assert ctx.platform is not None
    return await nodes.try_live_nodes(ctx.platform.instances)


def _operators_changes(doc: document.Document) -> list[diff.Change]:
    without_operations = doc.model_copy(
        update={"operations": document.Operations()}
    )
    return diff.diff_documents(without_operations, doc)


def _write_status(
    ctx: base.Context,
    head: heads.Head | None,
    operations: list[diff.Change],
    reports: list[nodes.NodeReport],
) -> None:
    if head is not None:
        ctx.out.table(
            ("GENERATION", "ACCEPTED", "OPERATOR", "DIGEST", "CHANGE"),
            [output.generation_row(head)],
        )
    for change in operations:
        ctx.out.line(str(change))
    if reports:
        generation = head.generation if head else 0
        changes.write_nodes(ctx, reports, generation)
    ctx.out.json(
        {
            "head": dataclasses.asdict(head) if head else None,
            "operations": [output.change_json(item) for item in operations],
            "nodes": changes.nodes_json(reports),
        }
    )


def _exit_code(
    head: heads.Head | None, listed: bool, reports: list[nodes.NodeReport]
) -> exits.ExitCode:
    if head is None or not listed:
        return exits.ExitCode.STORE_UNAVAILABLE
    serving = [
        report.generation is not None and report.generation >= head.generation
        for report in reports
    ]
    if all(serving):
        return exits.ExitCode.OK
    return exits.ExitCode.NOT_SEEN_EVERYWHERE
