"""Tells the story of one request from the logs of the entry nodes."""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import json
import pathlib
import sys
from typing import Any

from absl import flags

from limpetwalk import registry

from .. import base
from .. import exits

STANDARD_INPUT = "-"
COMMON_FIELDS = ("ts", "node", "event", "request")
# Events that change what a node believes, told beside a request's own.
BELIEFS = (
    "config.",
    "dependency.",
    "node.",
    "rollout.",
    "row.",
    "server.",
    "zones.",
)
# How long before a request the beliefs are told, seconds.
LOOK_BACK = 5.0


def parse_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the events of log lines; what comes before the JSON is skipped."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            held = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(held, dict) and "event" in held and "ts" in held:
            yield held


def story(
    events: Iterable[dict[str, Any]], request: str
) -> list[dict[str, Any]]:
    """Return the events of a request and the beliefs around it, by time.

    Beliefs are those of the nodes that handled the request, and of the
    servers it was sent to.
    """
    held = list(events)
    own = [each for each in held if each.get("request") == request]
    if not own:
        return []
    nodes = {each["node"] for each in own}
    servers = {each["server"] for each in own if each.get("server")}
    start = min(each["ts"] for each in own) - LOOK_BACK
    end = max(each["ts"] for each in own)
    around = [
        each
        for each in held
        if each["event"].startswith(BELIEFS)
        and each["node"] in nodes
        and start <= each["ts"] <= end
        and each.get("server", next(iter(servers), "")) in servers | {""}
    ]
    return sorted(own + around, key=lambda each: each["ts"])


@registry.register(registry.Kind.COMMAND, "explain")
class Explain:
    """Reads logs and prints the events of one request in order of time."""

    help = "tell the story of a request from the nodes' logs"
    usage = "explain ID FILE..."
    examples = ("explain 9c41d07be2a35f68 node-1.log node-2.log",)
    needs_platform = False

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define no flags."""

    async def handle(self, ctx: base.Context) -> exits.ExitCode:
        """Print the story."""
        if len(ctx.args) < 2:
            got = " ".join(ctx.args) or "none"
            raise base.UsageError(f"got {got}, expected ID FILE...")
        request, *paths = ctx.args
        try:
            lines = await asyncio.to_thread(_read, paths)
        except OSError as exc:
            ctx.out.error(str(exc))
            return exits.ExitCode.FINDINGS
        found = story(parse_lines(lines), request)
        if not found:
            ctx.out.error(f"no line names request {request!r}")
            return exits.ExitCode.NOT_FOUND
        start = found[0]["ts"]
        for each in found:
            fields = " ".join(
                f"{name}={value}"
                for name, value in each.items()
                if name not in COMMON_FIELDS and value not in ("", [], None)
            )
            at = each["ts"] - start
            ctx.out.line(f"{at:8.3f} {each['node']} {each['event']} {fields}")
        ctx.out.json({"events": found})
        return exits.ExitCode.OK


def _read(paths: Iterable[str]) -> list[str]:
    lines: list[str] = []
    for path in paths:
        if path == STANDARD_INPUT:
            lines += sys.stdin.read().splitlines()
        else:
            text = pathlib.Path(path).read_text(errors="replace")
            lines += text.splitlines()
    return lines
