"""Shows the generation in force and the nodes that serve it."""

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
    """Shows the head, operators' changes and each node's generation."""

    help = "show the generation in force, operators' changes and the nodes"
    usage = "status [--nodes ADDRESSES]"
    examples = (
        "--settings ctl.yaml status",
        "--settings ctl.yaml --json status",
        "--settings ctl.yaml status --nodes 10.20.1.5:9100,10.20.2.5:9100",
    )
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flag that names nodes."""
        flags.DEFINE_list(
            "nodes",
            [],
            "host:port of operators' interfaces to ask, in place of the "
            "instance list",
            values,
        )

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Show what the store and the nodes say."""
        ctx.arguments()
        assert ctx.cfg is not None
        head: heads.Head | None = None
        operations: list[diff.Change] = []
        try:
            head = await ctx.heads.read()
            operations = _operations(await ctx.heads.load_document(head))
        except exceptions.StoreError as exc:
            # The nodes are shown all the more when the store is down.
            ctx.out.error(f"the store does not answer: {exc}")
        found = await _nodes(ctx)
        if found is None:
            ctx.out.error("the instance list does not answer")
        async with aiohttp.ClientSession() as session:
            client = nodes.NodeClient(session, ctx.cfg.node_timeout)
            reports = await client.reports(found or [])
        _tell(ctx, head, operations, reports)
        return _exit_code(head, found is not None, reports)


async def _nodes(ctx: base.Context) -> list[platform.Instance] | None:
    named = ctx.flags["nodes"].value
    if named:
        return [nodes.named_node(address) for address in named]
    assert ctx.platform is not None
    return await nodes.try_live_nodes(ctx.platform.instances)


def _operations(doc: document.Document) -> list[diff.Change]:
    plain = doc.model_copy(update={"operations": document.Operations()})
    return diff.diff_documents(plain, doc)


def _tell(
    ctx: base.Context,
    head: heads.Head | None,
    operations: list[diff.Change],
    reports: list[nodes.NodeReport],
) -> None:
    if head is not None:
        ctx.out.table(
            ("GENERATION", "ACCEPTED", "OPERATOR", "DIGEST", "CHANGE"),
            [output.head_row(head)],
        )
    for change in operations:
        ctx.out.line(str(change))
    if reports:
        generation = head.generation if head else 0
        changes.tell_nodes(ctx, reports, generation)
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
    served = [
        report.generation is not None and report.generation >= head.generation
        for report in reports
    ]
    if all(served):
        return exits.ExitCode.OK
    return exits.ExitCode.NOT_SEEN_EVERYWHERE
