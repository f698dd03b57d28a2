"""Parser of the command line, and help texts."""

from collections.abc import Sequence

from absl import flags

from limpetwalk import registry

from . import base

PROGRAM = "limpetctl"


def _define_global_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "settings", "", "YAML file with limpetctl's settings", values
    )
    flags.DEFINE_string(
        "operator", "", "name under which changes are recorded", values
    )
    flags.DEFINE_bool("json", False, "write JSON for programs", values)
    flags.DEFINE_bool("help", False, "show this help", values, short_name="h")


def parse(
    args: Sequence[str],
) -> tuple[base.Command, flags.FlagValues, Sequence[str]] | None:
    """Return the command, its flags and its arguments; None for help.

    :param args: arguments after the program's name.
    :raises UsageError: when there is no command.
    :raises UnknownPlugin: when no such command is registered.
    :raises absl.flags.Error: when a flag is unknown or has a wrong value.
    """
    global_values = flags.FlagValues()
    global_values.set_gnu_getopt(False)
    _define_global_flags(global_values)
    rest = global_values([PROGRAM, *args])[1:]
    if not rest:
        if global_values["help"].value:
            return None
        raise base.UsageError("got no command")
    command = registry.get(registry.Kind.COMMAND, rest[0])()
    values = flags.FlagValues()
    _define_global_flags(values)
    command.define_flags(values)
    values.set_gnu_getopt(True)
    # Global flags may precede or follow the command, so those before it are
    # parsed again together with the rest.
    leading = list(args[: len(args) - len(rest)])
    rest = values([PROGRAM, *leading, *rest[1:]])[1:]
    return command, values, rest


def overview() -> str:
    """Return the help text that lists all commands."""
    lines = [f"usage: {PROGRAM} [--settings FILE] [--json] COMMAND ...", ""]
    for name in registry.names(registry.Kind.COMMAND):
        command = registry.get(registry.Kind.COMMAND, name)
        lines.append(f"  {name:<10}{command.help}")
    lines += ["", f"{PROGRAM} COMMAND --help shows flags and examples", ""]
    return "\n".join(lines)


def command_help(command: base.Command, values: flags.FlagValues) -> str:
    """Return the help text of one command.

    :param command: command to describe.
    :param values: flags that the command accepts.
    """
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
