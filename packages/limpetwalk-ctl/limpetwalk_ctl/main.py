"""Entry point of limpetctl."""

import asyncio
from collections.abc import Sequence
import sys
from typing import Any
from typing import TextIO

from absl import flags
import uvloop

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import registry
from limpetwalk.platform import factory

from . import base
from . import exits
from . import output
from . import settings

COMMANDS = [
    "limpetwalk_ctl.commands.apply",
    "limpetwalk_ctl.commands.check",
    "limpetwalk_ctl.commands.diff",
    "limpetwalk_ctl.commands.history",
    "limpetwalk_ctl.commands.ledger",
    "limpetwalk_ctl.commands.outcome",
    "limpetwalk_ctl.commands.rollout",
    "limpetwalk_ctl.commands.server",
    "limpetwalk_ctl.commands.show",
    "limpetwalk_ctl.commands.status",
    "limpetwalk_ctl.commands.version",
    "limpetwalk_ctl.commands.zone",
]
PROGRAM = "limpetctl"


def run() -> None:
    """Run limpetctl with the arguments of the process."""
    sys.exit(main(sys.argv[1:], sys.stdout, sys.stderr))


def main(
    args: Sequence[str],
    stdout: TextIO,
    stderr: TextIO,
    open_platform: Any = factory.open_platform,
) -> exits.ExitCode:
    """Run one command and return the exit code.

    :param args: arguments after the program's name.
    :param stdout: stream of the answer.
    :param stderr: stream of what went wrong.
    :param open_platform: opens the platform's clients.
    """
    registry.load_plugins(COMMANDS)
    plain = output.Output(False, stdout, stderr)
    try:
        parsed = _parse(args)
    except (flags.Error, base.UsageError, exceptions.UnknownPlugin) as exc:
        plain.error(f"{exc}; try {PROGRAM} --help")
        return exits.ExitCode.USAGE
    if parsed is None:
        stdout.write(_overview())
        return exits.ExitCode.OK
    command, values, rest = parsed
    if values["help"].value:
        stdout.write(_command_help(command, values))
        return exits.ExitCode.OK
    out = output.Output(bool(values["json"].value), stdout, stderr)
    ctx = base.Context(values, rest, out, clocks.SystemClock())
    try:
        return uvloop.run(_handle(command, ctx, open_platform))
    except base.UsageError as exc:
        out.error(f"{exc}; usage: {PROGRAM} {command.usage}")
        return exits.ExitCode.USAGE
    except exceptions.StoreOutcomeUnknown as exc:
        out.error(
            f"the change may have been accepted ({exc}); "
            f"{PROGRAM} history tells once the store answers"
        )
        return exits.ExitCode.OUTCOME_UNKNOWN
    except exceptions.StoreError as exc:
        out.error(f"the platform does not answer, nothing changed: {exc}")
        return exits.ExitCode.STORE_UNAVAILABLE
    except exceptions.LimpetwalkError as exc:
        out.error(str(exc))
        return exits.ExitCode.FINDINGS


async def _handle(
    command: base.Command, ctx: base.Context, open_platform: Any
) -> exits.ExitCode:
    if not command.needs_platform:
        return await command.handle(ctx)
    path = ctx.flags["settings"].value
    if not path:
        raise base.UsageError("got no --settings, expected a file")
    outcome = await asyncio.to_thread(settings.read, path)
    if outcome.is_err():
        found = outcome.unwrap_err()
        ctx.out.findings(found)
        ctx.out.json(
            {"findings": [output.finding_json(item) for item in found]}
        )
        return exits.ExitCode.FINDINGS
    ctx.cfg = outcome.unwrap()
    ctx.platform = await open_platform(ctx.cfg.platform)
    try:
        return await command.handle(ctx)
    finally:
        await ctx.platform.close()


def _define_globals(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "settings", "", "YAML file with limpetctl's settings", values
    )
    flags.DEFINE_string(
        "operator", "", "name under which changes are recorded", values
    )
    flags.DEFINE_bool("json", False, "write JSON for programs", values)
    flags.DEFINE_bool("help", False, "show this help", values, short_name="h")


def _parse(
    args: Sequence[str],
) -> tuple[base.Command, flags.FlagValues, Sequence[str]] | None:
    """Return the command, its flags and its arguments; None for help."""
    leading = flags.FlagValues()
    leading.set_gnu_getopt(False)
    _define_globals(leading)
    rest = leading([PROGRAM, *args])[1:]
    if not rest:
        if leading["help"].value:
            return None
        raise base.UsageError("got no command")
    command = registry.get(registry.Kind.COMMAND, rest[0])()
    values = flags.FlagValues()
    _define_globals(values)
    command.define_flags(values)
    values.set_gnu_getopt(True)
    # Global flags stand before the command or after it.
    consumed = list(args[: len(args) - len(rest)])
    rest = values([PROGRAM, *consumed, *rest[1:]])[1:]
    return command, values, rest


def _overview() -> str:
    lines = [f"usage: {PROGRAM} [--settings FILE] [--json] COMMAND ...", ""]
    for name in registry.names(registry.Kind.COMMAND):
        command = registry.get(registry.Kind.COMMAND, name)
        lines.append(f"  {name:<10}{command.help}")
    lines += ["", f"{PROGRAM} COMMAND --help shows flags and examples", ""]
    return "\n".join(lines)


def _command_help(command: base.Command, values: flags.FlagValues) -> str:
    lines = [
        f"usage: {PROGRAM} [--settings FILE] {command.usage}",
        "",
        command.help,
        "",
        "examples:",
        *(f"  {PROGRAM} {example}" for example in command.examples),
        "",
        "flags:",
    ]
    for name in sorted(values):
        flag = values[name]
        if name == flag.name:
            lines.append(f"  --{name:<22}{flag.help}")
    return "\n".join(lines) + "\n"
