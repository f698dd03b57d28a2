"""Command that shows the events of one request in the nodes' logs."""

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
# Prefixes of the events that change a node's view of the cluster. They are
# shown besides the events of the request.
CLUSTER_EVENT_PREFIXES = (
    "config.",
    "dependency.",
    "node.",
    "rollout.",
    "row.",
    "server.",
    "zones.",
)
# Cluster events are shown from this long before the request.
LOOK_BACK_SECONDS = 5.0


def parse_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the events of log lines.

    Text before the JSON object and lines without an event are skipped.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            entry = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(entry, dict) and "event" in entry and "ts" in entry:
            yield entry


def request_timeline(
    events: Iterable[dict[str, Any]], request: str
) -> list[dict[str, Any]]:
    """Return the events of a request and cluster events around it, by time.

    Cluster events are those of the nodes that handled the request, about no
    server or about a server to which the request was sent.

    :param events: events of the nodes' logs.
    :param request: identifier of the request.
    :returns: events in order of time; empty when none names the request.
    """
    all_events = list(events)
    request_events = [
        entry for entry in all_events if entry.get("request") == request
    ]
    if not request_events:
        return []
    nodes = {entry["node"] for entry in request_events}
    servers = {
        entry["server"] for entry in request_events if entry.get("server")
    }
    start = min(entry["ts"] for entry in request_events) - LOOK_BACK_SECONDS
    end = max(entry["ts"] for entry in request_events)
    cluster_events = [
        entry
        for entry in all_events
        if entry["event"].startswith(CLUSTER_EVENT_PREFIXES)
        and entry["node"] in nodes
        and start <= entry["ts"] <= end
        and entry.get("server", next(iter(servers), "")) in servers | {""}
    ]
    return sorted(
        request_events + cluster_events, key=lambda entry: entry["ts"]
    )


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
        """Print the events of the request."""
        if len(ctx.args) < 2:
            got = " ".join(ctx.args) or "none"
            raise base.UsageError(f"got {got}, expected ID FILE...")
        request, *paths = ctx.args
        try:
            lines = await asyncio.to_thread(_read_lines, paths)
        except OSError as exc:
            ctx.out.error(str(exc))
            return exits.ExitCode.FINDINGS
        timeline = request_timeline(parse_lines(lines), request)
        if not timeline:
            ctx.out.error(f"no line names request {request!r}")
            return exits.ExitCode.NOT_FOUND
        start = timeline[0]["ts"]
        for entry in timeline:
            fields = " ".join(
                f"{name}={value}"
                for name, value in entry.items()
                if name not in COMMON_FIELDS and value not in ("", [], None)
            )
            elapsed = entry["ts"] - start
            ctx.out.line(
                f"{elapsed:8.3f} {entry['node']} {entry['event']} {fields}"
            )
        ctx.out.json({"events": timeline})
        return exits.ExitCode.OK


def _read_lines(paths: Iterable[str]) -> list[str]:
    lines: list[str] = []
    for path in paths:
        if path == STANDARD_INPUT:
            lines += sys.stdin.read().splitlines()
        else:
            text = pathlib.Path(path).read_text(errors="replace")
            lines += text.splitlines()
    return lines
