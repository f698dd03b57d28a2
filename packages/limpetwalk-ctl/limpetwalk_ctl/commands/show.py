"""Command that shows the merged values of a folder."""

from collections.abc import Iterator
from typing import Any

from absl import flags

from limpetwalk import registry
from limpetwalk.conf import diff
from limpetwalk.conf import findings
from limpetwalk.conf import located

from .. import base
from .. import exits
from .. import folders

DEFAULT_SOURCE = "default"


@registry.register(registry.Kind.COMMAND, "show")
class Show:
    """Shows each value of a folder with the line that sets it."""

    help = "show a merged folder with the place of each value"
    usage = "show DIR"
    examples = ("show site/", "--json show site/")
    needs_platform = False

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define no flags."""

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Write all values with their sources."""
        (path,) = ctx.arguments("DIR")
        loaded = await folders.read(ctx, path)
        if loaded is None:
            return exits.ExitCode.FINDINGS
        values = list(_leaf_values(diff.mask_secrets(loaded.document), ()))
        rows = [
            (findings.format_path(key), value, _source_text(loaded.tree, key))
            for key, value in values
        ]
        ctx.out.table(
            ("PATH", "VALUE", "FROM"),
            [
                (name, diff.format_value(value), source)
                for name, value, source in rows
            ],
        )
        ctx.out.json(
            {
                "values": [
                    {"path": name, "value": value, "from": source}
                    for name, value, source in rows
                ]
            }
        )
        return exits.ExitCode.OK


def _leaf_values(
    value: Any, path: findings.KeyPath
) -> Iterator[tuple[findings.KeyPath, Any]]:
    if not isinstance(value, dict):
        yield path, value
        return
    for key in sorted(value):
        yield from _leaf_values(value[key], (*path, key))


def _source_text(tree: located.LocatedValue, path: findings.KeyPath) -> str:
    location = located.location_of(tree, path)
    return str(location) if location else DEFAULT_SOURCE
