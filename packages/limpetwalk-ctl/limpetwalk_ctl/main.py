"""Entry point of limpetctl."""

import asyncio
from collections.abc import Sequence
import os
import sys
from typing import Any
from typing import TextIO

from absl import flags
import uvloop

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import registry
from limpetwalk.conf import head as heads
from limpetwalk.providers import factory

from . import arguments
from . import base
from . import exits
from . import output
from . import settings

COMMANDS = [
    "limpetwalk_ctl.commands.apply",
    "limpetwalk_ctl.commands.check",
    "limpetwalk_ctl.commands.diff",
    "limpetwalk_ctl.commands.explain",
    "limpetwalk_ctl.commands.history",
    "limpetwalk_ctl.commands.ledger",
    "limpetwalk_ctl.commands.outcome",
    "limpetwalk_ctl.commands.preflight",
    "limpetwalk_ctl.commands.rollout",
    "limpetwalk_ctl.commands.server",
    "limpetwalk_ctl.commands.show",
    "limpetwalk_ctl.commands.status",
    "limpetwalk_ctl.commands.version",
    "limpetwalk_ctl.commands.zone",
]


def run() -> None:
    """Run limpetctl with the arguments of the process."""
    try:
        code = main(sys.argv[1:], sys.stdout, sys.stderr)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader closed the pipe early, as head does. Standard output is
        # redirected because Python would otherwise report an error when it
        # flushes the stream at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = exits.ExitCode.OK
    except KeyboardInterrupt:
        code = exits.ExitCode.INTERRUPTED
    sys.exit(code)


def main(
    args: Sequence[str],
    stdout: TextIO,
    stderr: TextIO,
    open_platform: Any = factory.open_platform,
) -> exits.ExitCode:
    """Run one command and return the exit code.

    :param args: arguments after the program's name.
    :param stdout: stream for the command's output.
    :param stderr: stream for errors.
    :param open_platform: opens the platform's clients.
    """
    registry.load_plugins(COMMANDS)
    plain_output = output.Output(False, stdout, stderr)
    try:
        parsed = arguments.parse(args)
    except (flags.Error, base.UsageError, exceptions.UnknownPlugin) as exc:
        plain_output.error(f"{exc}; try {arguments.PROGRAM} --help")
        return exits.ExitCode.USAGE
    if parsed is None:
        stdout.write(arguments.overview())
        return exits.ExitCode.OK
    command, values, rest = parsed
    if values["help"].value:
        stdout.write(arguments.command_help(command, values))
        return exits.ExitCode.OK
    out = output.Output(bool(values["json"].value), stdout, stderr)
    ctx = base.Context(values, rest, out, clocks.SystemClock())
    try:
        return uvloop.run(_run_command(command, ctx, open_platform))
    except base.UsageError as exc:
        out.error(f"{exc}; usage: {arguments.PROGRAM} {command.usage}")
        return exits.ExitCode.USAGE
    except exceptions.StoreOutcomeUnknown as exc:
        out.error(
            f"the change may have been accepted ({exc}); "
            f"{arguments.PROGRAM} history tells once the store answers"
        )
        return exits.ExitCode.OUTCOME_UNKNOWN
    except exceptions.StoreError as exc:
        out.error(f"the platform does not answer, nothing changed: {exc}")
        return exits.ExitCode.STORE_UNAVAILABLE
    except (heads.CorruptHead, heads.CorruptObject) as exc:
        out.error(f"the platform's answer is damaged, nothing changed: {exc}")
        return exits.ExitCode.STORE_UNAVAILABLE
    except exceptions.LimpetwalkError as exc:
        out.error(str(exc))
        return exits.ExitCode.FINDINGS


async def _run_command(
    command: base.Command, ctx: base.Context, open_platform: Any
) -> exits.ExitCode:
    if not command.needs_platform:
        return await command.handle(ctx)
    path = ctx.flags["settings"].value
    if not path:
        raise base.UsageError("got no --settings, expected a file")
    outcome = await asyncio.to_thread(settings.read, path)
    if outcome.is_err():
        settings_findings = outcome.unwrap_err()
        ctx.out.findings(settings_findings)
        ctx.out.json(
            {
                "findings": [
                    output.finding_json(item) for item in settings_findings
                ]
            }
        )
        return exits.ExitCode.FINDINGS
    ctx.cfg = outcome.unwrap()
    ctx.platform = await open_platform(ctx.cfg.platform)
    try:
        return await command.handle(ctx)
    finally:
        await ctx.platform.close()
